"""Load pattern: upstreams that share hosts, so their pace changes."""

from random import Random

from currantdeal.policy.health.pace import FADE_S
from currantdeal.policy.health.upstream_health import (
    UpstreamHealth,
    order_upstreams,
)
from currantdeal.registry.tests.builders import an_upstream

A, B = (an_upstream(upstream=n, address=f"{n}:1", slots=6) for n in "ab")


def _first(health, *, now_s):
    ordered = order_upstreams(
        (A, B),
        health,
        distance=lambda record: 0,
        random=Random(1),
        now_s=now_s,
    )
    return ordered[0].upstream


def test_upstream_whose_work_takes_longer_counts_as_fuller():
    """Guards against sending half of the work to the slower of two."""
    health = UpstreamHealth()
    health.record_load("a", 2, now_s=0.0, pace=2.0)
    health.record_load("b", 3, now_s=0.0, pace=1.0)
    assert _first(health, now_s=0.01) == "b"
    health.record_load("a", 0, now_s=0.02, pace=3.0)
    health.record_load("b", 0, now_s=0.02, pace=1.0)
    assert _first(health, now_s=0.03) == "b"


def test_figure_that_is_out_of_date_decides_nothing():
    """Guards against avoiding an upstream for a moment that is over."""
    health = UpstreamHealth()
    health.record_load("a", 2, now_s=0.0, pace=2.0)
    health.record_load("b", 3, now_s=0.0, pace=1.0)
    assert _first(health, now_s=FADE_S) == "a"


def test_figure_that_changes_ten_times_a_second_is_followed():
    """Guards against a choice no better than chance on shared hosts."""
    random, health = Random(5), UpstreamHealth()
    chosen_s, even_s = 0.0, 0.0
    for step in range(400):
        now_s = 0.1 * step
        paces = {name: random.uniform(0.6, 2.4) for name in "ab"}
        for name, pace in paces.items():
            health.record_load(name, 1, now_s=now_s, pace=pace)
        chosen_s += paces[_first(health, now_s=now_s + 0.05)]
        even_s += sum(paces.values()) / 2
    assert chosen_s < 0.9 * even_s


def test_upstreams_without_a_figure_are_ordered_as_before():
    health = UpstreamHealth()
    for requests in range(7):
        health.record_load("a", requests, now_s=0.0)
        assert health.load("a", 6, now_s=0.1) == requests / 6
