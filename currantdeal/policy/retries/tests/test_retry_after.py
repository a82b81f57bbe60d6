from random import Random

from currantdeal.policy.retries.retry_after import (
    RefusalReason,
    choose_retry_after_s,
)


def test_retries_of_a_refused_burst_are_spread():
    """Guards against a thundering herd of retries.

    Sixty callers are refused at the same moment.  With the same retry-after
    time they would cause the next burst.
    """
    random = Random(1)
    times = [
        choose_retry_after_s(RefusalReason.MEMORY, 14.0, random)
        for _ in range(60)
    ]
    for tenth in range(8, 30):
        concurrent = [t for t in times if tenth <= 10 * t < tenth + 1]
        assert len(concurrent) <= 12


def test_retry_after_is_well_within_the_time_left():
    random = Random(1)
    for refusal_reason in set(RefusalReason) - {RefusalReason.QUARANTINE}:
        assert choose_retry_after_s(refusal_reason, 0.6, random) <= 0.2


def test_retry_after_in_quarantine_ignores_the_time_left():
    """Guards against early retries of a query of death."""
    random = Random(1)
    for time_left_s in (0.0, 0.6, 14.0):
        wait_s = choose_retry_after_s(
            RefusalReason.QUARANTINE, time_left_s, random
        )
        assert wait_s >= 60.0
