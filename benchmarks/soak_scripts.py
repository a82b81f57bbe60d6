"""Soaks processes beside upstreams that work as each request asks them to.

Verified is that a fault or the deadline explains each answer that is not
whole.
"""

import asyncio
import math
import random
import time
from dataclasses import dataclass

from benchmarks.soak_callers import Attempt, verify_attempts
from benchmarks.soak_node_faults import LONGEST_S, NodeFaultInjector
from benchmarks.soak_nodes import QUIET_S, NodeSoak
from benchmarks.soak_upstreams import SoakUpstream, echo
from currantdeal.testing.entry_world import LIMITS, config_body
from currantdeal.testing.scripted_upstream import ScriptedUpstream
from currantdeal.testing.stall_play import callers_addresses
from currantdeal.testing.stall_verdicts import judge, works_by_request
from currantdeal.testing.stalling_caller import RowCallers

TIMEOUT_MS = 14_000

EXPLAINED = (
    "served",
    "refused",
    "ended",
    "unconnected",
    "crossed",
    "late",
    "outlasted",
)


@dataclass(kw_only=True)
class Disturbance:
    """A fault at a process or at the link to an upstream.

    Parameters
    ----------
    place : str
        Name of the process or the upstream.
    began_s, ended_s : float
        When it was injected and when it was undone.
    """

    place: str
    began_s: float
    ended_s: float = math.inf


class ScriptedSoak(NodeSoak):
    """A soak with callers whose upstreams follow scripts.

    Attributes
    ----------
    rows : tuple of Row
        What these callers send.
    promise : str
        What is checked of each of their calls.
    """

    rows = ()
    promise = ""

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        self._disturbed = []
        self._row_callers = []
        super().__init__(**options)

    def begin_disturbance(self, place):
        """Record a fault that has been injected; return it."""
        now_s = asyncio.get_running_loop().time()
        self._disturbed.append(Disturbance(place=place, began_s=now_s))
        return self._disturbed[-1]

    def _make_upstreams(self):
        # A proxy takes what its target does not, so that only the engines,
        # which get small bodies, are behind one.
        return [
            SoakUpstream(
                name=upstream.name,
                service=upstream.service,
                stage=upstream.stage,
                standin=ScriptedUpstream(
                    upstream=upstream.name,
                    script=None if upstream.stage else echo,
                ),
                proxied=bool(upstream.stage),
            )
            for upstream in super()._make_upstreams()
        ]

    def _config_body(self, version):
        limits = {**LIMITS, "IdleTimeoutMs": 15_000}
        return config_body(
            version=version, timeout_ms=TIMEOUT_MS + version, limits=limits
        )

    def _addresses(self):
        return callers_addresses(self.cluster.entries)

    async def _prepare_round(self, number):
        callers = RowCallers(
            addresses=self._addresses,
            rng=random.Random(self.rng.randrange(1 << 30)),
            rows=self.rows,
            prefix=f"w{number}-",
        )
        callers.start()
        self._row_callers.append(callers)

    async def _end_round(self):
        await self._row_callers[-1].stop()

    def _violations(self, runs):
        works = works_by_request(u.standin for u in self.upstreams)
        ends = [end for c in self._row_callers for end in c.ends]
        for end in ends:
            self._check_end(end, works.get(end.request_id, ()))
        return super()._violations(runs) + verify_attempts(
            [_attempt_of(end) for end in ends], runs
        )

    def _check_end(self, end, works):
        signalled_s = max(
            (s for n, s in self.stops if n == end.entry and s < end.ended_s),
            default=math.inf,
        )
        verdict = judge(end, works, signalled_s)
        self.checked[f"{end.call.row}: {verdict}"] += 1
        self.check(
            self.promise,
            verdict in EXPLAINED or self._was_disturbed(end, works),
            f"{end.request_id} at {end.entry}: {verdict}, {end.call.kind}, "
            f"{end.how} {end.status}, {self._wall_s(end.began_s):.3f} to "
            f"{self._wall_s(end.ended_s):.3f}",
        )

    @staticmethod
    def _wall_s(loop_s):
        """Return the time of a log line for a time of the event loop."""
        return loop_s + time.time() - time.monotonic()

    def _was_disturbed(self, end, works):
        """Return whether a fault may explain how a call ended.

        It may do so for some time after it was undone, in which processes
        learn of it.
        """
        places = {end.entry, *(work.upstream for work in works)}
        if not works:
            places.update(u.name for u in self.upstreams if u.proxy)
        return any(
            found.place in places
            and found.began_s < end.ended_s
            and end.began_s < found.ended_s + QUIET_S
            for found in self._disturbed
        )


class RecordingFaultInjector(NodeFaultInjector):
    """Injects the random faults and records where and when."""

    def __init__(self, *, soak):
        """Prepare the kinds of faults without injecting any."""
        super().__init__(soak=soak)
        self._place = ""

    def _undo_later(self, undo, *, process=None, longest_s=LONGEST_S):
        place = process.settings["instance"] if process else self._place
        disturbance = self._soak.begin_disturbance(place)

        def end():
            undo()
            disturbance.ended_s = asyncio.get_running_loop().time()

        super()._undo_later(end, process=process, longest_s=longest_s)

    def _disturb_link(self, proxy, name):
        places = (u.name for u in self._soak.upstreams if u.proxy is proxy)
        # The callers of the rows reach the entries without a proxy.
        self._place = next(places, "")
        instant = self._soak.begin_disturbance(self._place)
        instant.ended_s = instant.began_s
        return super()._disturb_link(proxy, name)


def _attempt_of(end):
    """Return the ``Attempt`` of a call, without its body."""
    return Attempt(
        request_id=end.request_id,
        kind=end.call.kind,
        entry=end.entry,
        began_s=end.began_s,
        ended_s=end.ended_s,
        status=end.status,
    )
