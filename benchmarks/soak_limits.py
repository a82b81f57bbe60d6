"""Soaks processes beside upstreams that limit their requests.

Some upstreams name a limit in their answers, change it and lift it again,
while entries and control instances are killed, paused, stopped, partitioned
and lose disks.  Verified is how many requests each of them gets.
"""

import asyncio
import time
from dataclasses import dataclass

from benchmarks.soak_nodes import NodeSoak, end_tasks
from benchmarks.soak_upstreams import SoakUpstream
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.rate_bound import (
    WINDOW_S,
    allowed_requests,
    most_in_window,
)

LIMITED = ("s0", "s1", "d1")
"""Upstreams that name limits; the others always have room."""

RATES_PER_S = (0.5, 2.0, 3.0, 8.0)
SPREAD_S = 1.0
"""Time from a change of a limit until all entries observe it.

An entry that is partitioned from control learns the limit from its own first
answer.
"""

SHORTEST_S = 3.0
LONGEST_S = 12.0
"""Times for which a limit does not change."""


@dataclass(frozen=True, kw_only=True)
class _Period:
    """Time in which an upstream named the same limit."""

    upstream: str
    rate_per_s: float
    began_s: float
    ended_s: float


class LimitingSoak(NodeSoak):
    """A soak in which some upstreams limit their requests."""

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        super().__init__(**options)
        self._periods = []
        self._tasks = []

    def _make_upstreams(self):
        # A proxy would hold requests back and pass them on together.
        return [
            self._limited(upstream) if upstream.name in LIMITED else upstream
            for upstream in super()._make_upstreams()
        ]

    def _limited(self, upstream):
        standin = StandInUpstream(
            upstream=upstream.name, script=upstream.standin.script
        )
        return SoakUpstream(
            name=upstream.name,
            service=upstream.service,
            stage=upstream.stage,
            standin=standin,
        )

    async def _prepare_round(self, number):
        limited = [u for u in self.upstreams if u.name in LIMITED]
        self._tasks = [
            asyncio.ensure_future(self._change_limits(upstream.standin))
            for upstream in limited
        ]

    async def _end_round(self):
        end_tasks(self._tasks)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _change_limits(self, standin):
        while True:
            rate_per_s = self.rng.choice(RATES_PER_S)
            standin.extra_headers = (f"Server-Limit: {rate_per_s}",)
            began_s = time.monotonic()
            try:
                await self._pause()
            finally:
                self._periods.append(
                    _Period(
                        upstream=standin.upstream,
                        rate_per_s=rate_per_s,
                        began_s=began_s,
                        ended_s=time.monotonic(),
                    )
                )
            if self.rng.random() < 0.3:
                standin.extra_headers = ()
                await self._pause()

    async def _pause(self):
        await asyncio.sleep(self.rng.uniform(SHORTEST_S, LONGEST_S))

    def _verify(self):
        super()._verify()
        for period in self._periods:
            most = most_in_window(self._arrivals_s(period))
            allowed = allowed_requests(period.rate_per_s)
            self.check(
                "a limit holds over all entries",
                most <= allowed,
                f"{period}: {most} requests in {WINDOW_S} s of {allowed}",
            )

    def _arrivals_s(self, period):
        standin = next(
            u.standin for u in self.upstreams if u.name == period.upstream
        )
        return [
            request.received_s
            for request in standin.requests
            if not request.is_system_call
            and period.began_s + SPREAD_S < request.received_s < period.ended_s
        ]
