"""Soaks processes beside callers and upstreams that stop to read.

Both have small receive buffers and take nothing for 0.5 to 5 s.  Verified is
that a fault or the deadline explains each answer that is not whole, and that
peers which acknowledge nothing are noticed.
"""

import asyncio
import math

from benchmarks.soak_scripts import ScriptedSoak
from currantdeal.testing.cut_upstream import SocketOwners
from currantdeal.testing.scripted_upstream import Script
from currantdeal.testing.stalled_peers import drop_packets, small_socket
from currantdeal.testing.stalling_caller import Row, StallingCall, call_bytes
from currantdeal.testing.stalling_rows import KINDS, PART_BYTES

STALL_S = (0.5, 5.0)
DEADLINE_S = 7.0
LARGEST_BYTES = 400_000
BODY = b"x" * 60_000

NOTICE_S = 2.5
"""Time in which a peer that acknowledges nothing is noticed: 2 s, and the way
of a request through the processes."""


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


class StallingSoak(ScriptedSoak):
    """A soak whose upstreams and some of whose callers stop to read."""

    rows = ROWS
    promise = "a peer that stops to read costs no answer"

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        super().__init__(**options)
        self._owners = SocketOwners(process_ids=self._entry_ids)

    def _entry_ids(self):
        return [e.process_id for e in self.cluster.entries if e.is_running]

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
        end = await self._row_callers[-1].send(name, address, call)
        took_s = loop.time() - began_s
        self.check(
            "an upstream that is gone is noticed",
            end.how == "whole"
            and end.status in (502, 503)
            and took_s < NOTICE_S,
            f"{name}: {end.request_id} {end.how} {end.status}, {took_s:.2f} s",
        )
