from random import Random

from currantdeal.policy.return_time import Shortage, return_after_s


def test_a_refused_burst_does_not_come_back_together():
    """Sixty callers are refused in the same moment.

    Told the same time, they would make the next burst.
    """
    random = Random(1)
    times = [return_after_s(Shortage.MEMORY, 14.0, random) for _ in range(60)]
    for tenth in range(8, 30):
        together = [t for t in times if tenth <= 10 * t < tenth + 1]
        assert len(together) <= 12


def test_nobody_is_sent_away_for_longer_than_its_time():
    random = Random(1)
    for shortage in set(Shortage) - {Shortage.QUARANTINE}:
        assert return_after_s(shortage, 0.6, random) <= 0.2


def test_quarantined_request_is_not_called_back_within_its_time():
    """Guards against a refusal that brings a query of death back at once."""
    random = Random(1)
    for time_left_s in (0.0, 0.6, 14.0):
        wait_s = return_after_s(Shortage.QUARANTINE, time_left_s, random)
        assert wait_s >= 60.0
