"""Tests of the policy's decisions under load by what callers receive.

Each run uses one seed, so its figures are reproducible.  Bounds that are not
targets themselves leave a margin for the variation between seeds.
"""

from functools import cache

import pytest

from benchmarks.baseline import Baseline
from benchmarks.current import Current
from benchmarks.deployments import EKUNDAYO, NUBE
from benchmarks.experiments.burst import measure_burst
from benchmarks.experiments.hot_caller import measure_hot
from benchmarks.experiments.hot_prefix import measure_prefix
from benchmarks.experiments.long_among_short import measure_mix
from benchmarks.experiments.slow_upstream import measure_slow
from benchmarks.runner import run
from benchmarks.scenario import steady

SEED = 1
MAX_WASTE = 0.02
USERS = pytest.mark.parametrize(
    "user", [NUBE, EKUNDAYO], ids=lambda user: user.name
)


@cache
def _at(user, load, router=Current):
    return run(steady(user, load, measured_s=30.0), router, seed=SEED)


def _assert_kept(measures):
    assert measures.wasted_prefill < MAX_WASTE
    assert measures.violations == 0


@USERS
@pytest.mark.parametrize("load", [1.5, 3.0])
def test_overload_costs_no_goodput(user, load):
    """Guards against congestion collapse under sustained overload.

    Without early refusals and reservations all answers become late: callers
    time out while the engines compute work that is discarded.
    """
    measures = _at(user, load)
    assert measures.good_per_s >= 0.9 * _at(user, 1.0).good_per_s
    assert measures.late < 0.01
    _assert_kept(measures)


@USERS
def test_plain_router_collapses_under_the_same_overload(user):
    """Verifies that the overload of the other tests is severe enough.

    The plain router sends requests to random engines and retries on error.
    Few of its answers are in time; otherwise the other tests would prove
    nothing.
    """
    measures = _at(user, 3.0, Baseline)
    assert measures.good_per_s < 0.5 * _at(user, 1.0).good_per_s


@USERS
def test_burst_has_no_effect_on_later_callers(user):
    """Guards against a standing queue after a burst.

    Four times the capacity arrives for five seconds.  Without refusals, the
    backlog of the burst delays later callers too.
    """
    measures = measure_burst(user, Current, SEED)
    assert measures.details["goodput_after"] >= 0.95
    assert measures.late < 0.01
    _assert_kept(measures)


@USERS
def test_noisy_neighbour_takes_no_goodput_from_other_callers(user):
    """Guards against unfair refusals beside a noisy neighbour.

    One caller sends twice the capacity of all engines.  If requests were
    served first come, first served, the other callers would be refused.
    """
    measures = measure_hot(user, Current, SEED)
    assert measures.details["polite_kept"] >= 0.95
    _assert_kept(measures)


@USERS
def test_hot_prefix_is_computed_once_and_spread(user):
    """Guards against lost cache hits and hot spots with a shared prefix.

    Most prompts begin with one long catalogue.  Computing it for each request
    exceeds the prefill capacity; sending all of them to one engine overloads
    that engine.
    """
    measures = measure_prefix(user, Current, SEED)
    assert measures.goodput >= 0.97
    _assert_kept(measures)


@USERS
def test_slow_engine_is_detected_and_receives_less_work(user):
    """Guards against routing streams to a slow engine (a gray failure).

    A decode engine becomes four times slower without reporting errors.  Every
    stream on it misses the latency target between outputs.
    """
    measures = measure_slow(user, Current, SEED)
    assert measures.details["goodput_once_found"] >= 0.93
    _assert_kept(measures)


@USERS
def test_long_and_short_requests_do_not_starve_each_other(user):
    """Guards against head-of-line blocking and starvation of long requests.

    One request in ten has a prompt of some ten thousand tokens.  Short ones
    may queue behind it, or take every free piece of memory before it gets
    enough.  Many long requests cannot be in time even on idle engines.
    """
    measures = measure_mix(user, Current, SEED)
    plain = measure_mix(user, Baseline, SEED)
    assert measures.details["goodput_short"] >= 0.95
    assert (
        measures.details["goodput_long"] >= 4 * plain.details["goodput_long"]
    )
    assert measures.late < 0.01
    _assert_kept(measures)


def test_same_seed_gives_the_same_result():
    first = run(steady(NUBE, 1.5, measured_s=5.0), Current, seed=3)
    assert first == run(steady(NUBE, 1.5, measured_s=5.0), Current, seed=3)
