"""Soaks processes beside callers and upstreams that stop to read.

Both have small receive buffers and take nothing for 0.5 to 5 s.  Verified is
that a fault or the deadline explains each answer that is not whole, and that
peers which acknowledge nothing are noticed.
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
from currantdeal.testing.cut_upstream import SocketOwners
from currantdeal.testing.entry_world import LIMITS, config_body
from currantdeal.testing.scripted_upstream import Script, ScriptedUpstream
from currantdeal.testing.stall_play import callers_addresses
from currantdeal.testing.stall_verdicts import judge, works_by_request
from currantdeal.testing.stalled_peers import drop_packets, small_socket
from currantdeal.testing.stalling_caller import (
    Row,
    RowCallers,
    StallingCall,
    call_bytes,
)
from currantdeal.testing.stalling_rows import KINDS, PART_BYTES

STALL_S = (0.5, 5.0)
DEADLINE_S = 7.0
TIMEOUT_MS = 14_000
LARGEST_BYTES = 400_000
BODY = b"x" * 60_000

NOTICE_S = 2.5
"""Time in which a peer that acknowledges nothing is noticed: 2 s, and the way
of a request through the processes."""

EXPLAINED = (
    "served",
    "refused",
    "ended",
    "unconnected",
    "crossed",
    "late",
    "outlasted",
)


def _draw_kind(rng):
    return rng.choice(KINDS)


def draw_slow_caller(rng):
    """Draw a caller that stops to read its answer."""
    size = int(PART_BYTES * math.exp(rng.uniform(0.0, math.log(40))))
    return StallingCall(
        row="slow caller",
        kind=_draw_kind(rng),
        script=Script(
            events=min(size, LARGEST_BYTES) // PART_BYTES,
            event_bytes=PART_BYTES,
            gap_s=rng.uniform(0.0, 0.02),
        ),
        stall_s=rng.uniform(*STALL_S),
        deadline_s=DEADLINE_S,
    )


def draw_slow_upstream(rng):
    """Draw a request whose upstream stops to read its body."""
    return StallingCall(
        row="slow upstream",
        kind=rng.choice(KINDS[:2]),
        script=Script(untaken_s=rng.uniform(*STALL_S)),
        body=BODY,
        deadline_s=DEADLINE_S,
    )


ROWS = (
    Row(draw=draw_slow_caller, per_s=6.0, most_calls=3),
    Row(draw=draw_slow_upstream, per_s=2.0),
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


class StallingSoak(NodeSoak):
    """A soak whose upstreams and some of whose callers stop to read."""

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        self._disturbed = []
        self._slow_callers = []
        super().__init__(**options)
        self._owners = SocketOwners(process_ids=self._entry_ids)

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

    def _entry_ids(self):
        return [e.process_id for e in self.cluster.entries if e.is_running]

    def _addresses(self):
        return callers_addresses(self.cluster.entries)

    async def _prepare_round(self, number):
        callers = RowCallers(
            addresses=self._addresses,
            rng=random.Random(self.rng.randrange(1 << 30)),
            rows=ROWS,
            prefix=f"w{number}-",
        )
        callers.start()
        self._slow_callers.append(callers)

    async def _end_round(self):
        await self._slow_callers[-1].stop()

    async def _stop_entry(self):
        await self._check_gone_caller()
        await self._check_gone_upstream()
        await super()._stop_entry()

    async def _check_gone_caller(self):
        """Check that an entry lets go of a caller without power."""
        name, address = self.rng.choice(sorted(self._addresses().items()))
        script = Script(events=LARGEST_BYTES // PART_BYTES, event_bytes=10_000)
        call = StallingCall(row="gone", kind="menu", script=script)
        try:
            took_s = await self._time_to_notice(
                address, call_bytes(call, f"gone-{name}")
            )
        except OSError as exc:
            # The entry has not recovered; the soak goes on to report it.
            self.check("a caller that is gone is noticed", False, repr(exc))
            return
        self.check(
            "a caller that is gone is noticed",
            took_s < NOTICE_S,
            f"{name}: {took_s:.2f} s",
        )

    async def _time_to_notice(self, address, request):
        """Return how long an entry keeps a caller that lost its power."""
        loop = asyncio.get_running_loop()
        with small_socket() as sock:
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, request)
            await loop.sock_recv(sock, 300)
            drop_packets(sock)
            began_s = loop.time()
            ends = (sock.getpeername(), sock.getsockname())
            while (
                await self._owners.owner_of(*ends) is not None
                and loop.time() < began_s + 2 * NOTICE_S
            ):
                await asyncio.sleep(0.05)
        return loop.time() - began_s

    async def _check_gone_upstream(self):
        """Check that an order at an upstream without power fails soon."""
        loop = asyncio.get_running_loop()
        name, address = self.rng.choice(sorted(self._addresses().items()))
        call = StallingCall(
            row="gone", kind="order", script=Script(vanishes=True), body=BODY
        )
        began_s = loop.time()
        end = await self._slow_callers[-1].send(name, address, call)
        took_s = loop.time() - began_s
        self.check(
            "an upstream that is gone is noticed",
            end.how == "whole"
            and end.status in (502, 503)
            and took_s < NOTICE_S,
            f"{name}: {end.request_id} {end.how} {end.status}, {took_s:.2f} s",
        )

    def _violations(self, runs):
        works = works_by_request(u.standin for u in self.upstreams)
        ends = [end for c in self._slow_callers for end in c.ends]
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
            "a peer that stops to read costs no answer",
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


class StallingFaultInjector(NodeFaultInjector):
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
        # The slow callers reach the entries without a proxy.
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
