import pytest

from currantdeal.core import Ran
from currantdeal.policy.reset_outcome import (
    CallKind,
    Moment,
    RepeatBy,
    Told,
    has_moment,
    reset_outcome,
)

PAIRS = [
    (kind, moment)
    for kind in CallKind
    for moment in Moment
    if has_moment(kind, moment)
]
UNSAFE_TO_RETRY = (CallKind.NON_IDEMPOTENT, CallKind.STREAM, CallKind.ORDER)
"""Kinds of calls whose second run does harm."""


@pytest.mark.parametrize(("kind", "moment"), PAIRS)
def test_not_run_is_said_only_before_anything_was_sent(kind, moment):
    """Guards against reporting "not run" for a call that may have run."""
    found = reset_outcome(kind, moment)
    assert (found.ran is Ran.NO) == (moment is Moment.CONNECTING)
    if found.told is Told.NOT_RUN:
        assert found.ran is Ran.NO


@pytest.mark.parametrize(("kind", "moment"), PAIRS)
def test_what_runs_once_is_never_sent_again(kind, moment):
    """Guards against a non-idempotent call that runs twice after a reset."""
    found = reset_outcome(kind, moment)
    if kind in UNSAFE_TO_RETRY and moment is not Moment.CONNECTING:
        assert found.repeat_by is RepeatBy.NOBODY
        assert not found.by_entry


@pytest.mark.parametrize(("kind", "moment"), PAIRS)
def test_started_stream_is_cut_or_resumed(kind, moment):
    """Guards against an error answer in the middle of a stream."""
    found = reset_outcome(kind, moment)
    started = moment in (Moment.BETWEEN_EVENTS, Moment.WITHIN_EVENT)
    assert (found.told is Told.CUT) == started
    assert (found.repeat_by is RepeatBy.RESUMED) == (
        started and kind is CallKind.RESUMABLE_STREAM
    )


@pytest.mark.parametrize(
    "kind",
    [CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM, CallKind.AUXILIARY],
)
def test_safe_call_is_retried_at_every_moment(kind):
    """Guards against failures that a retry at another upstream would avoid."""
    moments = [m for m in Moment if has_moment(kind, m)]
    assert all(reset_outcome(kind, m).by_entry for m in moments)


@pytest.mark.parametrize("kind", [k for k in CallKind])
def test_only_streams_have_moments_between_events(kind):
    if kind in (CallKind.STREAM, CallKind.RESUMABLE_STREAM):
        return
    for moment in (Moment.BETWEEN_EVENTS, Moment.WITHIN_EVENT):
        with pytest.raises(ValueError, match=kind.value):
            reset_outcome(kind, moment)
