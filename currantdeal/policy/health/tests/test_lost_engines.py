"""Load pattern: engines go dark while others only preempt their streams."""

import itertools
import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy.health.lost_engines import (
    MAX_KNOWN,
    MIN_DARK_S,
    MIN_REFUSALS,
    Corroboration,
    LostEngines,
    ProbeResult,
    should_probe,
)

NEVER_S = -math.inf
NOW_S = 2 * MIN_DARK_S
ALL, *PARTIAL = (
    Corroboration(
        contact_s=NEVER_S, is_reported=reported, heartbeats_stopped=stopped
    )
    for reported, stopped in itertools.product((True, False), repeat=2)
)
NO_PROOF = st.sampled_from(
    [ProbeResult.ANSWERED, ProbeResult.UNANSWERED, ProbeResult.DELAYED]
)
PROBES = st.lists(
    st.tuples(NO_PROOF, st.sampled_from([0.0, 0.3, 1.2, MIN_DARK_S])),
    max_size=20,
)


def _record(engines, *results):
    for result in results:
        engines.record_probe("d1", result, now_s=0.0)


@given(PROBES, st.sampled_from(PARTIAL))
def test_silence_of_any_length_alone_ends_nothing(probes, corroboration):
    """Guards against ending a stream that its engine would continue."""
    engines, now_s = LostEngines(), 0.0
    for result, pause_s in probes:
        now_s += pause_s
        engines.record_probe("d1", result, now_s=now_s)
        assert not engines.is_lost("d1", corroboration, now_s=now_s)


@given(PROBES)
def test_engine_that_has_just_answered_is_not_lost(probes):
    """Guards against findings that outlive a partition."""
    engines, now_s = LostEngines(), 0.0
    last = ((ProbeResult.ANSWERED, 0.0), (ProbeResult.UNANSWERED, MIN_DARK_S))
    for result, pause_s in (*probes, *last):
        now_s += pause_s
        engines.record_probe("d1", result, now_s=now_s)
    assert not engines.is_lost("d1", ALL, now_s=now_s + MIN_DARK_S)


@given(PROBES)
def test_engine_is_not_lost_before_it_was_dark_for_long(probes):
    """Guards against streams that end as their engine pauses.

    Whatever else lost sight of it, it has answered or sent bytes, or was
    not asked, within the shortest time.
    """
    engines, now_s, dark_s = LostEngines(), 0.0, math.inf
    for result, pause_s in probes:
        now_s += pause_s
        engines.record_probe("d1", result, now_s=now_s)
        if result is ProbeResult.ANSWERED:
            dark_s = math.inf
        elif result is ProbeResult.UNANSWERED:
            dark_s = min(dark_s, now_s)
        if engines.is_lost("d1", ALL, now_s=now_s):
            assert now_s - dark_s >= MIN_DARK_S


@pytest.mark.parametrize("contact_s", [NEVER_S, 0.0, 0.1, MIN_DARK_S, NOW_S])
def test_bytes_of_any_stream_show_that_an_engine_goes_on(contact_s):
    """Guards against a full engine, whose health checks wait for a slot."""
    engines = LostEngines()
    _record(engines, *[ProbeResult.UNANSWERED] * 9)
    seen = replace(ALL, contact_s=contact_s)
    is_lost = engines.is_lost("d1", seen, now_s=MIN_DARK_S)
    assert is_lost is (contact_s <= 0.0)


def test_probes_during_a_pause_of_this_process_show_nothing():
    """Guards against a pause of this process taken for one of all engines."""
    engines = LostEngines()
    _record(engines, ProbeResult.UNANSWERED, *[ProbeResult.DELAYED] * 9)
    assert not engines.is_lost("d1", ALL, now_s=NOW_S)


def test_refused_connections_end_the_wait_at_once_for_that_process_alone():
    """Guards against blaming the next process at an address."""
    engines = LostEngines()
    for _ in range(MIN_REFUSALS):
        assert not engines.is_lost(("d1", 1), PARTIAL[-1], now_s=0.0)
        engines.record_probe(("d1", 1), ProbeResult.REFUSED, now_s=0.0)
    assert engines.is_lost(("d1", 1), PARTIAL[-1], now_s=0.0)
    assert not engines.is_lost(("d1", 2), ALL, now_s=NOW_S)


def test_engine_that_answers_after_a_refusal_has_not_ended():
    """Guards against streams that are cut after a refusal on the way."""
    engines = LostEngines()
    _record(engines, *[ProbeResult.REFUSED] * MIN_REFUSALS)
    engines.record_reached("d1")
    assert not engines.is_lost("d1", ALL, now_s=NOW_S)


def test_findings_are_bounded():
    """Guards against memory that grows with the crashes of a long time."""
    engines = LostEngines()
    for number in range(2 * MAX_KNOWN):
        engines.record_probe(number, ProbeResult.REPLACED, now_s=0.0)
    known = [n for n in range(2 * MAX_KNOWN) if engines.is_proved(n)]
    assert known == list(range(MAX_KNOWN, 2 * MAX_KNOWN))


def test_engine_that_others_report_is_probed_earlier():
    assert not should_probe(0, is_reported=True)
    assert should_probe(1, is_reported=True)
    assert not should_probe(3, is_reported=False)
    assert should_probe(4, is_reported=False)
