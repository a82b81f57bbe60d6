"""Decisions under load, judged by what callers receive.

Each run follows one seed, so it gives the same figures every time.  Bounds
leave room for the scatter that other seeds showed, but for those that are
targets of their own.
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


def _assert_kept(found):
    assert found.wasted_prefill < MAX_WASTE
    assert found.violations == 0


@USERS
@pytest.mark.parametrize("load", [1.5, 3.0])
def test_overload_costs_no_goodput(user, load):
    """More requests come than the engines can carry, for a long time.

    Without early refusals and reservations everything becomes late: callers
    wait in vain while the engines are busy with work that is thrown away.
    """
    found = _at(user, load)
    assert found.good_per_s >= 0.9 * _at(user, 1.0).good_per_s
    assert found.late < 0.01
    _assert_kept(found)


@USERS
def test_plain_router_breaks_down_under_the_same_overload(user):
    """Requests go to random engines and are retried on error.

    Callers get hardly an answer in time; were it otherwise, the overload of
    the other tests would prove nothing.
    """
    found = _at(user, 3.0, Baseline)
    assert found.good_per_s < 0.5 * _at(user, 1.0).good_per_s


@USERS
def test_burst_is_over_when_it_is_over(user):
    """Four times the capacity arrives for five seconds.

    Without refusals the queue that it leaves makes later callers wait too.
    """
    found = measure_burst(user, Current, SEED)
    assert found.details["goodput_after"] >= 0.95
    assert found.late < 0.01
    _assert_kept(found)


@USERS
def test_polite_callers_beside_a_hot_one_lose_nothing(user):
    """One caller sends twice what all engines can carry.

    First come, first served, the others would be refused for its sake.
    """
    found = measure_hot(user, Current, SEED)
    assert found.details["polite_kept"] >= 0.95
    _assert_kept(found)


@USERS
def test_hot_prefix_is_computed_once_and_spread(user):
    """Most prompts begin with one long catalogue.

    Computed anew for each request it takes more prefill than there is; sent
    to one engine only, that engine is overloaded.
    """
    found = measure_prefix(user, Current, SEED)
    assert found.goodput >= 0.97
    _assert_kept(found)


@USERS
def test_slow_engine_is_found_and_gets_less(user):
    """A decode engine gets four times slower and reports no error.

    Every stream that is sent there misses the target between its outputs.
    """
    found = measure_slow(user, Current, SEED)
    assert found.details["goodput_once_found"] >= 0.93
    _assert_kept(found)


@USERS
def test_long_jobs_and_short_ones_both_get_through(user):
    """One request in ten has a prompt of some ten thousand tokens.

    Short ones wait behind it, or take every piece of memory before it finds
    enough.  A good part of the long ones cannot be in time even alone.
    """
    found = measure_mix(user, Current, SEED)
    plain = measure_mix(user, Baseline, SEED)
    assert found.details["goodput_short"] >= 0.95
    assert found.details["goodput_long"] >= 4 * plain.details["goodput_long"]
    assert found.late < 0.01
    _assert_kept(found)


def test_same_seed_gives_the_same_result():
    first = run(steady(NUBE, 1.5, measured_s=5.0), Current, seed=3)
    assert first == run(steady(NUBE, 1.5, measured_s=5.0), Current, seed=3)
