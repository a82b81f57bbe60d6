from random import Random

from currantdeal.policy.health.upstream_health import (
    MAX_EJECTION_S,
    UNRESPONSIVE_S,
    UpstreamHealth,
    order_upstreams,
)
from currantdeal.registry.tests.builders import an_upstream

GOOD, BAD, THIRD = (
    an_upstream(upstream=name, address=f"{name}:1")
    for name in ("good", "bad", "third")
)
ALL = (GOOD, BAD, THIRD)


def _share_of_first_choices(name, health, *, now_s, tries=300):
    random = Random(1)
    first = [
        order_upstreams(
            ALL,
            health,
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
    health = UpstreamHealth()
    for number in range(20):
        health.record_answer("bad", error=number % 2 == 0)
        health.record_answer("good", error=number % 7 == 0)
        health.record_answer("third", error=number % 7 == 0)
    assert _share_of_first_choices("bad", health, now_s=0.0) < 0.05


def test_ejection_time_of_a_silent_upstream_grows():
    """Guards against frequent attempts at an upstream that never answers.

    It accepts connections, so each attempt costs a caller half of its time.
    """
    health = UpstreamHealth()
    now_s = 0.0
    attempts = 0
    while now_s < 30.0:
        if not health.is_ejected("bad", now_s=now_s):
            health.eject("bad", now_s=now_s)
            attempts += 1
        now_s += 0.1
    assert attempts <= 12
    assert not health.is_ejected("bad", now_s=now_s + MAX_EJECTION_S)


def test_ejected_upstream_is_readmitted_after_a_good_answer():
    health = UpstreamHealth()
    for _ in range(5):
        health.eject("bad", now_s=0.0)
    health.record_answer("bad", error=False)
    assert not health.is_ejected("bad", now_s=0.1)


def test_ejected_upstreams_are_tried_when_all_are_ejected():
    health = UpstreamHealth()
    for record in ALL:
        health.eject(record.upstream, now_s=0.0)
    found = order_upstreams(
        ALL,
        health,
        distance=lambda record: 0,
        random=Random(1),
        now_s=0.1,
    )
    assert len(found) == 3


def test_burst_is_spread_evenly_over_upstreams():
    """Guards against an upstream that gets more of a burst than others.

    Thirty requests arrive at once for three upstreams of six slots.
    """
    health = UpstreamHealth()
    random = Random(1)
    for _ in range(30):
        chosen = order_upstreams(
            ALL,
            health,
            distance=lambda record: 0,
            random=random,
            now_s=0.0,
        )[0]
        health.request_started(chosen.upstream)
    counts = [health.outstanding(r.upstream) for r in ALL]
    assert counts == [10, 10, 10]


def test_near_upstream_is_preferred_until_it_is_busier():
    health = UpstreamHealth()
    distances = {"good": 0.03, "bad": 0.0, "third": 0.03}
    chosen = []
    for _ in range(9):
        record = order_upstreams(
            ALL,
            health,
            distance=lambda record: distances[record.upstream],
            random=Random(1),
            now_s=0.0,
        )[0]
        health.request_started(record.upstream)
        chosen.append(record.upstream)
    assert chosen[0] == "bad"
    assert len(set(chosen)) == 3


def test_stale_load_report_is_ignored():
    """Guards against avoiding an idle upstream for an old load report.

    The report is seconds old and its requests have ended since.
    """
    health = UpstreamHealth()
    health.record_load("bad", 6, now_s=0.0)
    assert health.load("bad", 6, now_s=0.5) == 1.0
    assert health.load("bad", 6, now_s=5.0) == 0.0


def test_upstream_that_timed_out_is_reported_until_it_answers():
    """Guards against an unresponsive engine that each entry has to detect.

    Among many entries, every single one would lose a request to it.
    """
    health = UpstreamHealth()
    health.record_timeout("p1", now_s=0.0)
    assert health.unresponsive(now_s=0.1) == ("p1",)
    assert not health.is_ejected("p1", now_s=0.1)
    health.record_answer("p1", error=False, now_s=0.2)
    assert health.unresponsive(now_s=0.3) == ()


def test_timeout_is_reported_for_a_bounded_time():
    """Guards against an engine that is avoided for ever after one timeout."""
    health = UpstreamHealth()
    health.record_timeout("p1", now_s=0.0)
    assert health.unresponsive(now_s=UNRESPONSIVE_S) == ()
