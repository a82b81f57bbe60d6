"""Provide a stand-in upstream that crashes on certain requests."""

import asyncio

from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_bytes,
    send_event,
)

CRASH_AFTER_S = 0.02
"""Time from the start of execution to the crash, in seconds."""


class CrashingUpstream(StandInUpstream):
    """An upstream that crashes when it executes certain requests.

    A crash resets its connections, and its port refuses new ones until it
    restarts as a new incarnation. Other requests take some time to execute, so
    that a crash also interrupts concurrent requests.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    crashes_on : callable
        Returns whether a ``ReceivedRequest`` crashes the process.
    down_s : float
        Time from a crash until it listens again, in seconds.
    work_s : float
        Execution time of a request in seconds; a stream spreads its events
        over it.
    on_restart : callable
        Called with this stand-in after it listens again.
    crashes_in_prefill : bool
        Whether the prefill call of such a request crashes as well.
    events_before_crash : int
        Events of a stream that are sent before the crash.
    is_framed : bool
        False if streams have neither a length nor chunks, and a crash closes
        the connections in order.

    Attributes
    ----------
    sent, crashes : list of tuple
        Event loop time, id and body of each such request when it arrived, and
        of each that caused a crash.
    """

    def __init__(
        self,
        *,
        upstream,
        crashes_on,
        down_s=0.3,
        work_s=0.1,
        on_restart=lambda standin: None,
        crashes_in_prefill=False,
        events_before_crash=0,
        is_framed=True,
    ):
        """Create a stand-in that does not listen before ``start``."""
        super().__init__(upstream=upstream)
        self.crashes = []
        self.sent = []
        self._crashes_on = crashes_on
        self._down_s = down_s
        self._work_s = work_s
        self._on_restart = on_restart
        self._crashes_in_prefill = crashes_in_prefill
        self._events_before_crash = events_before_crash
        self._is_framed = is_framed
        self._writers = set()
        self._tasks = set()

    async def answer(self, request, writer):
        """Send the response after the execution time, or crash."""
        if request.target.startswith("/v1/"):
            await super().answer(request, writer)
            return
        is_stream = request.is_generation and not request.is_prefill
        crashes_now = self._crashes_on(request)
        if crashes_now:
            self.sent.append((_now_s(), request.request_id, request.body))
        if request.is_prefill and not (
            crashes_now and self._crashes_in_prefill
        ):
            await super().answer(request, writer)
            return
        if is_stream:
            self.begin_stream(request, writer, is_framed=self._is_framed)
            await writer.drain()
        if crashes_now:
            if is_stream:
                await self._send_events(
                    request, writer, self._events_before_crash
                )
            await asyncio.sleep(CRASH_AFTER_S)
            self._crash(request)
        elif is_stream:
            await self._stream(request, writer)
        else:
            await asyncio.sleep(self._work_s)
            self.send(request, writer, 200, request.body)
            await writer.drain()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _stream(self, request, writer):
        await self._send_events(request, writer, EVENTS)
        if self._is_framed:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        await writer.drain()

    async def _send_events(self, request, writer, end):
        last = int(request.get("Last-Event-Id") or 0)
        for number in range(last + 1, end + 1):
            await asyncio.sleep(self._work_s / EVENTS)
            if self._is_framed:
                send_event(writer, number)
            else:
                writer.write(event_bytes(number))
            await writer.drain()

    def _crash(self, request):
        if not self.is_up:
            return
        self.crashes.append((_now_s(), request.request_id, request.body))
        self.stop()
        for writer in tuple(self._writers):
            if self._is_framed:
                writer.transport.abort()
            else:
                writer.close()
        task = asyncio.ensure_future(self._restart())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restart(self):
        await asyncio.sleep(self._down_s)
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))
        self._on_restart(self)


def _now_s():
    return asyncio.get_running_loop().time()
