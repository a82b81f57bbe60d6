from random import Random

from currantdeal.policy.standing import (
    MAX_EJECTION_S,
    UNRESPONSIVE_S,
    Standings,
    in_order,
)
from currantdeal.registry.tests.builders import an_upstream

GOOD, BAD, THIRD = (
    an_upstream(upstream=name, address=f"{name}:1")
    for name in ("good", "bad", "third")
)
ALL = (GOOD, BAD, THIRD)


def _share_of_first_choices(name, standings, *, now_s, tries=300):
    random = Random(1)
    first = [
        in_order(
            ALL,
            standings,
            distance=lambda record: 0,
            random=random,
            now_s=now_s,
        )[0].upstream
        for _ in range(tries)
    ]
    return first.count(name) / tries


def test_upstream_with_many_errors_gets_few_requests():
    """Guards against a gray failure: half of the answers are errors.

    Health checks pass and the upstream is never full, so balancing by load
    alone would prefer it.
    """
    standings = Standings()
    for number in range(20):
        standings.answered("bad", error=number % 2 == 0)
        standings.answered("good", error=number % 7 == 0)
        standings.answered("third", error=number % 7 == 0)
    assert _share_of_first_choices("bad", standings, now_s=0.0) < 0.05


def test_ejection_time_of_a_silent_upstream_grows():
    """Guards against frequent attempts at an upstream that never answers.

    It accepts connections, so each attempt costs a caller half of its time.
    """
    standings = Standings()
    now_s = 0.0
    attempts = 0
    while now_s < 30.0:
        if not standings.is_out("bad", now_s=now_s):
            standings.unreachable("bad", now_s=now_s)
            attempts += 1
        now_s += 0.1
    assert attempts <= 12
    assert not standings.is_out("bad", now_s=now_s + MAX_EJECTION_S)


def test_ejected_upstream_is_readmitted_after_a_good_answer():
    standings = Standings()
    for _ in range(5):
        standings.unreachable("bad", now_s=0.0)
    standings.answered("bad", error=False)
    assert not standings.is_out("bad", now_s=0.1)


def test_ejected_upstreams_are_tried_when_all_are_ejected():
    standings = Standings()
    for record in ALL:
        standings.unreachable(record.upstream, now_s=0.0)
    found = in_order(
        ALL,
        standings,
        distance=lambda record: 0,
        random=Random(1),
        now_s=0.1,
    )
    assert len(found) == 3


def test_burst_is_spread_evenly_over_upstreams():
    """Guards against an upstream that gets more of a burst than others.

    Thirty requests arrive at once for three upstreams of six slots.
    """
    standings = Standings()
    random = Random(1)
    for _ in range(30):
        chosen = in_order(
            ALL,
            standings,
            distance=lambda record: 0,
            random=random,
            now_s=0.0,
        )[0]
        standings.began(chosen.upstream)
    counts = [standings.outstanding(r.upstream) for r in ALL]
    assert counts == [10, 10, 10]


def test_near_upstream_is_preferred_until_it_is_busier():
    standings = Standings()
    distances = {"good": 2, "bad": 0, "third": 2}
    chosen = []
    for _ in range(9):
        record = in_order(
            ALL,
            standings,
            distance=lambda record: distances[record.upstream],
            random=Random(1),
            now_s=0.0,
        )[0]
        standings.began(record.upstream)
        chosen.append(record.upstream)
    assert chosen[0] == "bad"
    assert len(set(chosen)) == 3


def test_stale_load_report_is_ignored():
    """Guards against avoiding an idle upstream for an old load report.

    The report is seconds old and its requests have ended since.
    """
    standings = Standings()
    standings.reported("bad", 6, now_s=0.0)
    assert standings.load("bad", 6, now_s=0.5) == 1.0
    assert standings.load("bad", 6, now_s=5.0) == 0.0


def test_upstream_that_timed_out_is_reported_until_it_answers():
    """Guards against an unresponsive engine that each entry has to detect.

    Among many entries, every single one would lose a request to it.
    """
    standings = Standings()
    standings.timed_out("p1", now_s=0.0)
    assert standings.unresponsive(now_s=0.1) == ("p1",)
    assert not standings.is_out("p1", now_s=0.1)
    standings.answered("p1", error=False, now_s=0.2)
    assert standings.unresponsive(now_s=0.3) == ()


def test_timeout_is_reported_for_a_bounded_time():
    """Guards against an engine that is avoided for ever after one timeout."""
    standings = Standings()
    standings.timed_out("p1", now_s=0.0)
    assert standings.unresponsive(now_s=UNRESPONSIVE_S) == ()
