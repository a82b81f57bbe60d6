import pytest

from currantdeal.core import Ran
from currantdeal.policy.answers.reset_outcome import (
    CallKind,
    ExchangePhase,
    RetryBy,
    SenderResult,
    has_phase,
    reset_outcome,
)

PAIRS = [
    (kind, phase)
    for kind in CallKind
    for phase in ExchangePhase
    if has_phase(kind, phase)
]
UNSAFE_TO_RETRY = (CallKind.NON_IDEMPOTENT, CallKind.STREAM, CallKind.ORDER)
"""Kinds of calls whose second run does harm."""


@pytest.mark.parametrize(("kind", "phase"), PAIRS)
def test_not_run_is_said_only_before_anything_was_sent(kind, phase):
    """Guards against reporting "not run" for a call that may have run."""
    found = reset_outcome(kind, phase)
    assert (found.ran is Ran.NO) == (phase is ExchangePhase.CONNECTING)
    if found.sender_result is SenderResult.NOT_RUN:
        assert found.ran is Ran.NO


@pytest.mark.parametrize(("kind", "phase"), PAIRS)
def test_what_runs_once_is_never_sent_again(kind, phase):
    """Guards against a non-idempotent call that runs twice after a reset."""
    found = reset_outcome(kind, phase)
    if kind in UNSAFE_TO_RETRY and phase is not ExchangePhase.CONNECTING:
        assert found.retry_by is RetryBy.NOBODY
        assert not found.retryable_by_entry


@pytest.mark.parametrize(("kind", "phase"), PAIRS)
def test_started_stream_is_cut_or_resumed(kind, phase):
    """Guards against an error answer in the middle of a stream."""
    found = reset_outcome(kind, phase)
    started = phase in (
        ExchangePhase.BETWEEN_EVENTS,
        ExchangePhase.WITHIN_EVENT,
    )
    assert (found.sender_result is SenderResult.CUT) == started
    assert (found.retry_by is RetryBy.RESUMED) == (
        started and kind is CallKind.RESUMABLE_STREAM
    )


@pytest.mark.parametrize(
    "kind",
    [CallKind.IDEMPOTENT, CallKind.RESUMABLE_STREAM, CallKind.AUXILIARY],
)
def test_safe_call_is_retried_at_every_moment(kind):
    """Guards against failures that a retry at another upstream would avoid."""
    phases = [m for m in ExchangePhase if has_phase(kind, m)]
    assert all(reset_outcome(kind, m).retryable_by_entry for m in phases)


@pytest.mark.parametrize("kind", [k for k in CallKind])
def test_only_streams_have_moments_between_events(kind):
    if kind in (CallKind.STREAM, CallKind.RESUMABLE_STREAM):
        return
    for phase in (ExchangePhase.BETWEEN_EVENTS, ExchangePhase.WITHIN_EVENT):
        with pytest.raises(ValueError, match=kind.value):
            reset_outcome(kind, phase)
