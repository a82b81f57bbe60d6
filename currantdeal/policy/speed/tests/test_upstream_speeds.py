"""Estimates of speed from the work of upstreams."""

from random import Random

import msgspec
import pytest

from currantdeal.policy.load.shared_load import LoadSums, PoolLoad
from currantdeal.policy.speed.paces import (
    UNKNOWN_SPEED,
    Work,
    process_key,
    unusual_paces,
)
from currantdeal.policy.speed.upstream_speeds import (
    FORGET_S,
    UpstreamSpeeds,
)
from currantdeal.registry.tests.builders import an_upstream

WORK_S = 0.1

EVEN_TOLERANCE = 0.03  # what deployments with even pools may lose


def _do_work(speeds, slowdowns, *, from_s, to_s, noise=0.0, random=None):
    """Record a piece of work at each upstream five times a second."""
    random = random or Random(1)
    for step in range(round((to_s - from_s) * 5)):
        for name, slowdown in slowdowns.items():
            speeds.record(
                name,
                Work.PREFILL,
                expected_s=WORK_S,
                took_s=WORK_S * slowdown * random.lognormvariate(0.0, noise),
                now_s=from_s + step / 5,
            )


def _factor(speeds, name, now_s):
    return speeds.estimate(name, Work.PREFILL, now_s=now_s).factor


def test_engine_that_turns_slow_and_recovers_is_followed():
    """Guards against an estimate that outlives the slow episode."""
    even = {f"p{n}": 1.0 for n in range(8)}
    speeds = UpstreamSpeeds()
    _do_work(speeds, even, from_s=0, to_s=20)
    assert _factor(speeds, "p0", 20.0) == 1.0
    _do_work(speeds, {**even, "p0": 3.0}, from_s=20, to_s=28)
    assert _factor(speeds, "p0", 28.0) > 2.0
    _do_work(speeds, even, from_s=28, to_s=36)
    assert _factor(speeds, "p0", 36.0) == pytest.approx(1.0)


@pytest.mark.parametrize("seed", range(5))
def test_even_pool_with_noisy_times_is_served_as_without_estimates(seed):
    """Guards against choices that fluctuate within the error."""
    speeds, random = UpstreamSpeeds(), Random(seed)
    even = {f"p{n}": 1.0 for n in range(30)}
    for second in range(20):
        _do_work(
            speeds,
            even,
            from_s=second,
            to_s=second + 1,
            noise=0.55,
            random=random,
        )
        errors = [abs(_factor(speeds, n, second + 1.0) - 1) for n in even]
        assert sum(errors) / len(errors) <= EVEN_TOLERANCE


def test_cold_start_has_no_history():
    """Guards against the history of a process's predecessor at its name."""
    speeds = UpstreamSpeeds()
    before, after = (
        process_key(an_upstream(started_ms=started)) for started in (1, 2)
    )
    _do_work(speeds, {"p1": 1.0, "p2": 1.0, before: 4.0}, from_s=0, to_s=4)
    assert _factor(speeds, before, 4.0) > 1.5
    assert speeds.estimate(after, Work.PREFILL, now_s=4.0) == UNKNOWN_SPEED


def test_wrong_estimate_without_work_is_forgotten():
    """Guards against an engine that is never tried again."""
    speeds = UpstreamSpeeds()
    wrong = {"prefill/": {"p0": (100, 900, 9), "": (9_000, 9_000, 90)}}
    for step in range(20):
        speeds.update(wrong, now_s=step * 0.9)
        if step == 1:
            assert _factor(speeds, "p0", 0.9) > 2.0
    assert _factor(speeds, "p0", 19 * 0.9) == 1.0


def test_error_grows_with_age():
    speeds = UpstreamSpeeds()
    _do_work(speeds, {"p0": 2.0, "p1": 1.0}, from_s=0, to_s=3)
    young = speeds.estimate("p0", Work.PREFILL, now_s=3.0)
    old = speeds.estimate("p0", Work.PREFILL, now_s=6.0)
    assert old.error > young.error
    assert old.age_s == pytest.approx(young.age_s + 3.0)


def test_sums_that_stop_leave_the_own_measurements():
    """Guards against sums of a partitioned control instance used for good."""
    speeds = UpstreamSpeeds()
    sums = {"prefill/": {"p0": (900, 2_700, 9), "": (9_000, 9_000, 90)}}
    speeds.update(sums, now_s=0.0)
    assert _factor(speeds, "p0", 1.0) > 2.0
    later_s = FORGET_S + 1.0
    _do_work(speeds, {"p0": 1.0, "p1": 3.0}, from_s=later_s - 3, to_s=later_s)
    assert _factor(speeds, "p0", later_s) < 1.0
    assert _factor(speeds, "p1", later_s) > 1.0


def test_entries_with_little_work_know_all_by_the_sums():
    """Guards against estimates that need many measurements of one entry.

    Each of forty entries sends one prompt to one of eight engines.
    """
    sums = LoadSums()
    for number in range(40):
        speeds = UpstreamSpeeds()
        slowdown = 1.7 if number % 8 < 3 else 0.7
        speeds.record(
            f"p{number % 8}",
            Work.PREFILL,
            expected_s=WORK_S,
            took_s=WORK_S * slowdown,
            now_s=0.0,
        )
        load = PoolLoad(
            held={}, unreachable={}, paces=speeds.report(now_s=0.0)
        )
        if number % 2:
            sums.set_entry(f"entry-{number}", load, now_s=0.0)
        else:
            sums.set_control(f"control-{number}", load, now_s=0.0)
    speeds = UpstreamSpeeds()
    speeds.update(unusual_paces(sums.total_paces(now_s=1.0)), now_s=1.0)
    assert all(_factor(speeds, f"p{n}", 1.0) > 1.2 for n in range(3))
    assert sums.total_paces(now_s=9.0) == {}


def test_reports_without_paces_leave_the_last_ones():
    sums = LoadSums()
    paces = {"prefill/": {"p0": (100, 200, 1)}}
    full = PoolLoad(held={}, unreachable={}, paces=paces)
    empty = PoolLoad(held={"p0": 1}, unreachable={})
    sums.set_entry("e", full, now_s=0.0)
    sums.set_entry("e", empty, now_s=0.3)
    assert sums.total_paces(now_s=0.5) == paces
    sums.remove_entry("e")
    assert sums.total_paces(now_s=0.5) == {}


def test_reports_of_builds_without_paces_are_read():
    """Guards against entries that can't follow an older control instance."""
    raw = msgspec.msgpack.encode({"held": {"p0": 1}, "unreachable": {}})
    assert msgspec.msgpack.decode(raw, type=PoolLoad).paces == {}


def test_paces_of_three_thousand_engines_are_short():
    """Guards against an exchange that grows with engines alike."""
    even = {f"i-{n:010x}:{n:x}": (1_000, 1_000, 40) for n in range(3_000)}
    slow = {name: (1_000, 2_000, 40) for name in list(even)[:30]}
    sent = unusual_paces({"decode/model": {**even, **slow}})
    assert set(sent["decode/model"]) == {*slow, ""}
    assert len(msgspec.msgpack.encode(sent)) < 30 * 32


def test_work_of_different_kinds_and_pools_is_kept_apart():
    speeds = UpstreamSpeeds()
    _do_work(speeds, {"p0": 3.0, "p1": 1.0}, from_s=0, to_s=4)
    for work, pool in ((Work.PLAIN, ""), (Work.PREFILL, "model")):
        found = speeds.estimate("p0", work, pool=pool, now_s=4.0)
        assert found == UNKNOWN_SPEED
    assert FORGET_S > 4.0


def test_factors_are_those_of_the_unusual_upstreams():
    """Guards against factors of a pool that differ from its estimates."""
    speeds = UpstreamSpeeds()
    even = {f"p{n}": 1.0 for n in range(9)}
    _do_work(speeds, {**even, "p0": 3.0, "p1": 3.0}, from_s=0, to_s=4)
    factors = speeds.factors(Work.PREFILL, now_s=4.0)
    assert factors.items() >= {
        (name, _factor(speeds, name, 4.0)) for name in ("p0", "p1")
    }
    assert speeds.factors(Work.DECODE, now_s=4.0) == {}
    assert speeds.factors(Work.PREFILL, now_s=4.0 + 2 * FORGET_S) == {}
