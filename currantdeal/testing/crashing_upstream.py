"""Stand-in for an upstream whose process ends under some requests."""

import asyncio

from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    send_event,
)

CRASH_AFTER_S = 0.02
"""Time from the beginning of a run to the crash."""


class CrashingUpstream(StandInUpstream):
    """An upstream that ends when it runs certain requests, and comes back.

    Its connections are reset and its port refuses new ones until it is back as
    another incarnation.  What else it runs takes some time, so that a crash
    meets other runs.

    Parameters
    ----------
    upstream : str
        Its name.
    crashes_under : callable
        Tells whether a ``SeenRequest`` ends the process.
    down_s : float
        Time until it listens again.
    work_s : float
        Time that a run takes; a stream spreads its events over it.
    on_back : callable
        Called with this stand-in when it listens again.
    crashes_in_prefill : bool
        Whether the call that prefills a prompt crashes, too.

    Attributes
    ----------
    sent, crashes : list of tuple
        Loop time, id and body of each request that crashes it as it came, and
        of each that did crash it.
    """

    def __init__(
        self,
        *,
        upstream,
        crashes_under,
        down_s=0.3,
        work_s=0.1,
        on_back=lambda standin: None,
        crashes_in_prefill=False,
    ):
        """Listen nowhere before ``start``."""
        super().__init__(upstream=upstream)
        self.crashes = []
        self.sent = []
        self._crashes_under = crashes_under
        self._down_s = down_s
        self._work_s = work_s
        self._on_back = on_back
        self._crashes_in_prefill = crashes_in_prefill
        self._writers = set()
        self._tasks = set()

    async def answer(self, request, writer):
        """Answer after some time, or crash."""
        if request.target.startswith("/v1/"):
            await super().answer(request, writer)
            return
        streams = request.is_generation and not request.is_prefill
        dies = self._crashes_under(request)
        if dies:
            self.sent.append((_now_s(), request.request_id, request.body))
        if request.is_prefill and not (dies and self._crashes_in_prefill):
            await super().answer(request, writer)
            return
        if streams:
            self.begin_stream(request, writer)
            await writer.drain()
        if dies:
            await asyncio.sleep(CRASH_AFTER_S)
            self._crash(request)
        elif streams:
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
        last = int(request.get("Last-Event-Id") or 0)
        for number in range(last + 1, EVENTS + 1):
            await asyncio.sleep(self._work_s / EVENTS)
            send_event(writer, number)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _crash(self, request):
        if not self.is_up:
            return
        self.crashes.append((_now_s(), request.request_id, request.body))
        self.stop()
        for writer in tuple(self._writers):
            writer.transport.abort()
        task = asyncio.ensure_future(self._come_back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self):
        await asyncio.sleep(self._down_s)
        host, _, port = self.address.rpartition(":")
        await self.start(host, int(port))
        self._on_back(self)


def _now_s():
    return asyncio.get_running_loop().time()
