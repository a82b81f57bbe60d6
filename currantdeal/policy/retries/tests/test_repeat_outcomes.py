"""Load pattern: calls that fail wherever they run, among others."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy.load.shared_load import LoadSums, PoolLoad
from currantdeal.policy.retries.repeat_outcomes import (
    MAX_FAILED_SHARE,
    MIN_REPEATS,
    WINDOW_S,
    RepeatOutcomes,
)

ENTRIES = 40


def test_entries_learn_together_that_repeats_of_a_service_fail():
    """Guards against a budget that is spent on calls that always fail."""
    random = Random(3)
    entries = [RepeatOutcomes() for _ in range(ENTRIES)]
    sums = LoadSums()
    for number in range(ENTRIES):
        entry = entries[number]
        failed = random.random() < 0.75
        entry.record("reads", failed=failed, now_s=1.0)
        entry.record("orders", failed=not failed, now_s=1.0)
        if number == 0:
            entry.record_denied("reads", now_s=1.0)
            entry.record_denied("orders", now_s=1.0)
        load = PoolLoad(
            held={}, unreachable={}, repeats=entry.counts(now_s=1.0)
        )
        sums.set_entry(number, load, now_s=1.0)
    total = sums.total(now_s=1.1).repeats
    assert total["reads"][0] == ENTRIES
    assert total["reads"][2] == 1
    for entry in entries:
        assert entry.pays("reads", now_s=1.1)
        entry.update_sums(total)
        assert not entry.pays("reads", now_s=1.1)
        assert entry.pays("orders", now_s=1.1)


@given(st.lists(st.booleans(), max_size=60))
def test_repeats_pay_unless_enough_of_them_failed(outcomes):
    """Guards against giving up repeats after a few failures."""
    known = RepeatOutcomes()
    known.record_denied("reads", now_s=0.0)
    for failed in outcomes:
        known.record("reads", failed=failed, now_s=0.0)
    share = sum(outcomes) / max(1, len(outcomes))
    expected = len(outcomes) < MIN_REPEATS or share <= MAX_FAILED_SHARE
    assert known.pays("reads", now_s=0.0) is expected


def test_service_that_recovers_is_repeated_again():
    """Guards against judging a service by an outage that is over."""
    known = RepeatOutcomes()
    known.record_denied("reads", now_s=0.0)
    for _ in range(MIN_REPEATS):
        known.record("reads", failed=True, now_s=0.0)
    assert not known.pays("reads", now_s=WINDOW_S)
    assert known.pays("reads", now_s=WINDOW_S + 0.1)


def test_nothing_is_withheld_while_the_budget_lasts():
    """Guards against losing the few that a repeat would serve."""
    known = RepeatOutcomes()
    for _ in range(2 * MIN_REPEATS):
        known.record("reads", failed=True, now_s=0.0)
    assert known.pays("reads", now_s=0.1)
