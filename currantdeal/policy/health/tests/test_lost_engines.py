"""Load pattern: engines go dark while others only preempt their streams."""

from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy.health.lost_engines import (
    MAX_KNOWN,
    MIN_REFUSALS,
    Corroboration,
    LostEngines,
    ProbeResult,
    should_probe,
)

ALL = Corroboration(is_reported=True, heartbeats_stopped=True)
PARTIAL = [
    Corroboration(is_reported=reported, heartbeats_stopped=stopped)
    for reported, stopped in ((False, False), (True, False), (False, True))
]
NO_PROOF = st.sampled_from([ProbeResult.ANSWERED, ProbeResult.UNANSWERED])


@given(st.lists(NO_PROOF, max_size=20), st.sampled_from(PARTIAL))
def test_silence_of_any_length_alone_ends_nothing(results, corroboration):
    """Guards against ending a stream that its engine would continue."""
    engines = LostEngines()
    for result in results:
        engines.record_probe("d1", result)
        assert not engines.is_lost("d1", corroboration)


@given(st.lists(NO_PROOF, max_size=20))
def test_engine_that_has_just_answered_is_not_lost(results):
    """Guards against findings that outlive a partition."""
    engines = LostEngines()
    for result in (*results, ProbeResult.ANSWERED, ProbeResult.UNANSWERED):
        engines.record_probe("d1", result)
    assert not engines.is_lost("d1", ALL)


def test_refused_connections_end_the_wait_at_once_for_that_process_alone():
    """Guards against blaming the next process at an address."""
    engines = LostEngines()
    for _ in range(MIN_REFUSALS):
        assert not engines.is_lost(("d1", 1), PARTIAL[0])
        engines.record_probe(("d1", 1), ProbeResult.REFUSED)
    assert engines.is_lost(("d1", 1), PARTIAL[0])
    assert not engines.is_lost(("d1", 2), ALL)


def test_engine_that_answers_after_a_refusal_has_not_ended():
    """Guards against streams that are cut after a refusal on the way."""
    engines = LostEngines()
    for _ in range(MIN_REFUSALS):
        engines.record_probe("d1", ProbeResult.REFUSED)
    engines.record_reached("d1")
    assert not engines.is_lost("d1", ALL)


def test_findings_are_bounded():
    """Guards against memory that grows with the crashes of a long time."""
    engines = LostEngines()
    for number in range(2 * MAX_KNOWN):
        engines.record_probe(number, ProbeResult.REPLACED)
    known = [n for n in range(2 * MAX_KNOWN) if engines.is_proved(n)]
    assert known == list(range(MAX_KNOWN, 2 * MAX_KNOWN))


def test_engine_that_others_report_is_probed_earlier():
    assert not should_probe(0, is_reported=True)
    assert should_probe(1, is_reported=True)
    assert not should_probe(3, is_reported=False)
    assert should_probe(4, is_reported=False)
