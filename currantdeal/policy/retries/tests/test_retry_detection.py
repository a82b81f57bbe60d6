from random import Random

from currantdeal.policy.load.shared_load import EntryLoad, LoadSums, PoolLoad
from currantdeal.policy.memory.decode_memory import MAX_FILL, DecodeEngineOrder
from currantdeal.policy.retries.retry_detection import (
    RETRY_MAX_FILL,
    RetryDetector,
)

CAPACITY = 40_000
TOKENS = 3_800
STREAM_S = 4.0
STEP_S = 0.05
NEW_WAIT_S = 0.55
RETRY_WAIT_S = 2.7
BURST_S = 8.0
ENGINES = 3
CALLERS = 83


def _serve_burst(retry_max_fill):
    """Return the numbers of callers served in time, late and not at all.

    The load of a burst exceeds the memory of three engines by a third; a
    refused caller retries once, after a second or two.
    """
    random = Random(5)
    load = EntryLoad()
    load.update_sums(PoolLoad(held={}, unreachable={}), now_s=0.0)
    engine_order = DecodeEngineOrder(load=load)
    engines = [f"d{n}" for n in range(ENGINES)]
    arrivals = sorted(random.uniform(0.0, BURST_S) for _ in range(CALLERS))
    waiting = []
    ends = []
    served = {"in time": 0, "late": 0, "lost": 0}
    retries = []
    for step in range(300):
        now_s = step * STEP_S
        load.update_sums(PoolLoad(held={}, unreachable={}), now_s=now_s)
        for end in [e for e in ends if e[0] <= now_s]:
            ends.remove(end)
            load.remove(end[1], TOKENS)
        waiting += [
            (a, "in time") for a in arrivals if now_s - STEP_S < a <= now_s
        ]
        waiting += [
            (r, "late") for r in retries if now_s - STEP_S < r <= now_s
        ]
        random.shuffle(waiting)
        still_waiting = []
        for since_s, kind in waiting:
            found = engine_order.order(
                engines,
                tokens=TOKENS,
                capacity=CAPACITY,
                distance=lambda name: 0,
                random=random,
                now_s=now_s,
                max_fill=MAX_FILL if kind == "in time" else retry_max_fill,
            )
            wait_s = NEW_WAIT_S if kind == "in time" else RETRY_WAIT_S
            if found:
                load.add(found[0], TOKENS)
                ends.append((now_s + STREAM_S, found[0]))
                served[kind] += 1
            elif now_s - since_s < wait_s:
                still_waiting.append((since_s, kind))
            elif kind == "in time":
                retries.append(now_s + random.uniform(0.8, 3.0))
            else:
                served["lost"] += 1
        waiting = still_waiting
    return served


def test_retrying_callers_do_not_make_new_ones_late():
    """Guards against a retry storm when a burst exceeds the engines' memory.

    With equal priority, retries take memory from new callers that could still
    be served in time, and those retry in turn.
    """
    equal = _serve_burst(MAX_FILL)
    limited = _serve_burst(RETRY_MAX_FILL)
    assert limited["in time"] > 1.1 * equal["in time"]
    assert limited["lost"] <= 0.1 * CALLERS
    assert sum(limited.values()) == CALLERS


def test_retry_is_detected_by_its_remaining_timeout():
    """Guards against retries that are taken for new callers.

    Callers of the route set timeouts of twelve to fourteen seconds; one that
    was refused after half a second and waited two more has less left.
    """
    random = Random(2)
    detector = RetryDetector()
    new = [
        detector.is_retry("drafts", random.uniform(12.0, 14.0))
        for _ in range(200)
    ]
    assert not any(new)
    assert detector.is_retry("drafts", 14.0 - 3.0)


def test_timeouts_are_compared_within_a_route():
    """Guards against taking new callers of a quick route for retries."""
    detector = RetryDetector()
    detector.is_retry("drafts", 14.0)
    assert not detector.is_retry("quick", 2.0)


def test_retry_is_detected_by_the_timeouts_that_other_entries_saw():
    """Guards against missed retries when each of many entries sees few."""
    others = [RetryDetector() for _ in range(20)]
    for seconds, detector in enumerate(others):
        detector.is_retry("drafts", 12.0 + seconds / 10)
    sums = LoadSums()
    for number, detector in enumerate(others):
        load = EntryLoad().report(
            unreachable=(), longest_timeouts_s=detector.longest_timeouts_s
        )
        sums.set_entry(number, load, now_s=0.0)
    alone, informed = RetryDetector(), RetryDetector()
    informed.set_shared_timeouts(sums.total(now_s=0.0).patience)
    assert not alone.is_retry("drafts", 10.5)
    assert informed.is_retry("drafts", 10.5)
    assert not informed.is_retry("drafts", 12.0)


def test_caller_with_a_huge_timeout_does_not_turn_others_into_retries():
    """Guards against one long timeout that makes all callers retries.

    Without the limit of the route, every other caller would be below it.
    """
    detector, informed = RetryDetector(), RetryDetector()
    detector.is_retry("drafts", 1e9, limit_s=14.0)
    informed.set_shared_timeouts(detector.longest_timeouts_s)
    assert not detector.is_retry("drafts", 12.0, limit_s=14.0)
    assert not informed.is_retry("drafts", 12.0, limit_s=14.0)


def test_shorter_timeout_of_a_route_does_not_turn_callers_into_retries():
    """Guards against demoting new callers after the route was changed."""
    detector = RetryDetector()
    detector.is_retry("drafts", 14.0, limit_s=14.0)
    assert not detector.is_retry("drafts", 6.0, limit_s=5.0)


def test_timeout_that_is_no_longer_used_decays():
    """Guards against taking all callers for retries after a change.

    The callers of the route now set half of their former timeout.
    """
    detector = RetryDetector()
    detector.is_retry("drafts", 14.0)
    for _ in range(1_000):
        detector.is_retry("drafts", 7.0)
    assert not detector.is_retry("drafts", 7.0)
