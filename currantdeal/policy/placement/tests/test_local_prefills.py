from itertools import pairwise
from random import Random

from currantdeal.policy.placement.local_prefills import LocalPrefills

PREFILL_S = 0.15
NOTICE_S = 0.03


def _count_overlaps(*, notify):
    """Return how many prefills start while another one is in progress.

    Nine entries send sixty prompts, of 0.15 s each, to one engine in thirty
    seconds.  The other entries are notified after 0.03 s, or never.
    """
    random = Random(4)
    views = [LocalPrefills() for _ in range(9)]
    starts = []
    notices = []
    for arrived_s in sorted(random.uniform(0.0, 30.0) for _ in range(60)):
        for known_s, entry in [n for n in notices if n[0] <= arrived_s]:
            notices.remove((known_s, entry))
            for number, view in enumerate(views):
                if number != entry:
                    view.start("d1", PREFILL_S, now_s=known_s - NOTICE_S)
        entry = random.randrange(9)
        wait_s = views[entry].free_in_s("d1", now_s=arrived_s)
        views[entry].start("d1", PREFILL_S, now_s=arrived_s)
        starts.append(arrived_s + wait_s)
        if notify:
            notices.append((arrived_s + NOTICE_S, entry))
    starts.sort()
    return sum(b - a < PREFILL_S for a, b in pairwise(starts))


def test_prefills_of_many_entries_rarely_overlap_at_one_engine():
    """Guards against concurrent prefills that make an engine's streams late.

    Without notices a quarter of the prefills overlap; with them, only those
    that start before a notice arrives.
    """
    assert _count_overlaps(notify=False) > 10
    assert _count_overlaps(notify=True) < _count_overlaps(notify=False) / 3


def test_waiting_prefill_is_recorded_before_it_starts():
    """Guards against two entries that wait for the same prefill to end.

    If each notified the others only at its start, both would start together.
    """
    prefills = LocalPrefills()
    prefills.start("d1", PREFILL_S, now_s=0.0)
    first_s = prefills.free_in_s("d1", now_s=0.1)
    prefills.start("d1", PREFILL_S, now_s=0.1)
    second_s = prefills.free_in_s("d1", now_s=0.1)
    assert second_s >= first_s + PREFILL_S
