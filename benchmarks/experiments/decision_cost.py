"""Measures the processor time of a decision over the number of upstreams.

A decision covers all work of the policy for one request at its entry:
admission, queueing, the choice of both engines and the update after the
reservation.  It is timed with warm caches of hints and loads, as under
traffic; the result is the median over several rounds.
"""

import time
from dataclasses import dataclass
from random import Random
from statistics import median

from currantdeal.core import (
    LoadReport,
    Role,
    Upstream,
    UpstreamKind,
    Work,
    WorkKind,
)
from currantdeal.policy import Plan, Pools, Scheduler

SUMMARY = "processor time of a decision with 10 to 1,360 upstreams known"
SIZES = (10, 42, 170, 680, 1_360)
REGIONS = ("north", "south")
CALLERS = 200
PREFIXES = 100
ROUNDS = 9
PER_ROUND = 500


@dataclass(frozen=True, kw_only=True)
class CostPoint:
    """Median time of a decision with some number of upstreams."""

    upstreams: int
    decision_us: float


@dataclass(frozen=True, kw_only=True)
class DecisionCost:
    """Result of the experiment.

    Parameters
    ----------
    growth : float
        Time with 680 upstreams over time with 42; about 16 if the time grew
        linearly.
    """

    experiment: str
    seed: int
    points: tuple[CostPoint, ...]
    growth: float

    def render(self):
        """Return a human-readable table."""
        lines = [
            f"{point.upstreams:6} upstreams {point.decision_us:8.1f} us"
            for point in self.points
        ]
        return "\n".join([*lines, f"growth from 42 to 680: {self.growth:.2f}"])


def run(*, seed):
    """Return a ``DecisionCost``."""
    points = tuple(
        CostPoint(upstreams=size, decision_us=_measure(size, seed))
        for size in SIZES
    )
    cost = {point.upstreams: point.decision_us for point in points}
    return DecisionCost(
        experiment="decision-cost",
        seed=seed,
        points=points,
        growth=cost[680] / cost[42],
    )


def _measure(size, seed):
    rng = Random(seed)
    upstreams = [_upstream(index) for index in range(size)]
    reports = {up.upstream_id: _report(up, rng) for up in upstreams}
    pools = Pools(
        prefills=tuple(up for up in upstreams if Role.PREFILL in up.roles),
        decodes=tuple(up for up in upstreams if Role.DECODE in up.roles),
    )
    scheduler = Scheduler(
        entry="i1", rng=rng, load=reports.get, pools=lambda work: pools
    )
    times = [_round(scheduler, rng, number) for number in range(ROUNDS)]
    return 1e6 * median(times[1:])


def _round(scheduler, rng, number):
    works = [_work(rng, number * PER_ROUND + i) for i in range(PER_ROUND)]
    now_s = float(number)
    began = time.process_time()
    for work in works:
        now_s += 0.001
        scheduler.submit(work, now_s=now_s)
        for message in scheduler.poll(now_s=now_s):
            if isinstance(message, Plan):
                scheduler.record_reserved(message, now_s=now_s)
    return (time.process_time() - began) / PER_ROUND


def _work(rng, index):
    prefix = 1_000 * rng.randrange(PREFIXES)
    return Work(
        request_id=f"r{index}",
        caller=f"caller-{rng.randrange(CALLERS)}",
        kind=WorkKind.CHAT,
        target="m",
        region=rng.choice(REGIONS),
        prompt_tokens=3_000,
        max_output_tokens=500,
        prefix_keys=tuple(range(prefix, prefix + 8)),
    )


def _upstream(index):
    region = REGIONS[index % 2]
    return Upstream(
        upstream_id=f"u{index}",
        incarnation=1,
        address="127.0.0.1:1",
        kind=UpstreamKind.ENGINE,
        roles=((Role.PREFILL, Role.DECODE)[index // 2 % 2],),
        targets=("m",),
        region=region,
        data_center=f"{region}-1",
        pieces_total=2_400,
        link_bytes_per_s=4e9,
        kv_bytes_per_token=100_000,
    )


def _report(upstream, rng):
    return LoadReport(
        upstream_id=upstream.upstream_id,
        incarnation=1,
        running=8,
        queued_tokens=rng.randrange(4_000),
        pieces_free=rng.randrange(2_400),
        step_s=0.02,
        prefill_tokens_per_s=8_000.0,
    )
