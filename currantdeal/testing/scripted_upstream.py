"""Provide a stand-in upstream that works as each request asks it to."""

import asyncio
import contextlib
import time
from dataclasses import asdict, dataclass
from functools import partial

import msgspec

from currantdeal.testing.pause_gate import PauseGate
from currantdeal.testing.platform_upstream import (
    ReceivedRequest,
    StandInUpstream,
    read_request,
    send_chunk,
    send_json,
)
from currantdeal.testing.stalled_peers import (
    SMALL_BUFFER_BYTES,
    drop_packets,
    small_socket,
)

SCRIPT_HEADER = "X-Script"
"""Header of a request that holds its ``Script`` as JSON."""

LEAVE_POLL_S = 0.02

_HANDLE = {"KvHandle": "kv-1", "Tokens": 9, "Version": 1}


@dataclass(frozen=True, kw_only=True)
class Script:
    """How upstreams handle a request.

    Parameters
    ----------
    untaken_s : float
        Seconds for which nothing of the body is read.
    prefill_s : float
        Duration of the prefill of a generation.
    work_s : float
        Seconds before the answer begins.
    events, event_bytes : int
        Number of events of a stream, or of equal parts of another answer,
        and their sizes.
    gap_s : float
        Seconds between two events.
    pause_s : float
        Further seconds before the event in the middle.
    vanishes : bool
        Whether its host loses power before the body is read.
    """

    untaken_s: float = 0.0
    prefill_s: float = 0.0
    work_s: float = 0.0
    events: int = 1
    event_bytes: int = 100
    gap_s: float = 0.0
    pause_s: float = 0.0
    vanishes: bool = False

    @property
    def header(self):
        """The line of the header that carries this script."""
        return f"{SCRIPT_HEADER}: {msgspec.json.encode(asdict(self)).decode()}"

    def part(self, number):
        """Return the bytes of an event, numbered from 1."""
        head = b"id: %d\ndata: " % number
        return head.ljust(self.event_bytes - 2, b"x") + b"\n\n"

    def body(self):
        """Return the whole body of an answer."""
        return b"".join(self.part(n + 1) for n in range(self.events))


@dataclass(kw_only=True)
class Work:
    """The work of an upstream on a request.

    Parameters
    ----------
    request : ReceivedRequest
        The request.
    upstream : str
        The upstream.
    began_s, ended_s : float
        When it began, and when all of its answer was handed to the kernel or
        its sender left.
    """

    request: ReceivedRequest
    upstream: str
    began_s: float
    ended_s: float = float("inf")

    def end(self):
        """Record that it ends now, unless it has ended."""
        self.ended_s = min(self.ended_s, time.monotonic())


class ScriptedUpstream(StandInUpstream):
    """An upstream with small buffers that follows the ``Script`` of a request.

    Parameters
    ----------
    owners : currantdeal.testing.cut_upstream.SocketOwners or None
        Tells which process has opened a connection.

    Attributes
    ----------
    works : list of Work
        Work on generations and plain requests, prefills among them.
    refused : set of int
        Ids of processes whose connections are reset.
    gate : PauseGate
        Stops its work and its answers.
    most_runs : int or None
        Streams for which it has memory; unlimited by default.
    """

    def __init__(self, *, owners=None, **options):
        """Create a stand-in that does not listen before ``start``."""
        super().__init__(**options)
        self.works = []
        self.refused = set()
        self.gate = PauseGate()
        self.most_runs = None
        self._owners = owners
        self._writers = {}
        self._unread = {}
        self._runs = 0

    async def start(self, host="127.0.0.1", port=0):
        """Listen with a small receive buffer."""
        sock = small_socket()
        sock.bind((host, port))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=SMALL_BUFFER_BYTES
        )
        self.address = "{}:{}".format(*sock.getsockname())
        self.incarnation += 1
        self.is_up = True

    def refuse(self, process_ids):
        """Reset the open connections and all new ones of some processes."""
        self.refused.update(process_ids)
        for writer, owner in tuple(self._writers.items()):
            if owner in self.refused:
                writer.transport.abort()

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            owner = await self._owner_of(writer)
            if owner in self.refused:
                writer.transport.abort()
                return
            self._writers[writer] = owner
            while await self._serve_one(reader, writer):
                pass
        self._writers.pop(writer, None)
        writer.close()

    async def _owner_of(self, writer):
        if self._owners is None:
            return None
        ends = [writer.get_extra_info(n) for n in ("peername", "sockname")]
        return await self._owners.owner_of(*ends)

    async def _serve_one(self, reader, writer):
        request = await read_request(
            reader, before_body=partial(self._begin_body, writer)
        )
        if request is None:
            return False
        self._record(request)
        script = script_of(request)
        if script is None or request.is_system_call:
            await self.gate.pass_call()
            if request.target == "/v1/hold-take" and self._is_full:
                send_json(request, writer, {}, status=503)
                return True
            if not (self.script and await self.script(self, request, writer)):
                await self.answer(request, writer)
            return True
        work = Work(
            request=request,
            upstream=self.upstream,
            began_s=time.monotonic(),
        )
        self.works.append(work)
        watch = asyncio.ensure_future(_note_leave(reader, work))
        try:
            await self._work(request, writer, script)
        finally:
            watch.cancel()
            work.end()
        return True

    async def _work(self, request, writer, script):
        if request.is_prefill:
            await asyncio.sleep(script.prefill_s)
            await self.gate.pass_work()
            send_json(request, writer, _HANDLE)
        elif request.is_generation:
            self._runs += 1
            try:
                await self._send_stream(request, writer, script)
            finally:
                self._runs -= 1
        else:
            await asyncio.sleep(script.work_s)
            await self.gate.pass_work()
            self.send(request, writer, 200, script.body())
        await writer.drain()

    @property
    def _is_full(self):
        return self.most_runs is not None and self._runs >= self.most_runs

    async def _begin_body(self, writer, request):
        # It has reached the upstream, which may read its body much later.
        self._unread[id(request.headers)] = len(self.requests)
        self.requests.append(request)
        await _stall(writer, request)

    def _record(self, request):
        """Record a request; it takes the place of the one without a body."""
        number = self._unread.pop(id(request.headers), None)
        if number is None:
            self.requests.append(request)
        else:
            self.requests[number] = request

    async def _send_stream(self, request, writer, script):
        await asyncio.sleep(script.work_s)
        await self.gate.pass_work()
        self.begin_stream(request, writer)
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, script.events + 1):
            if number == script.events // 2 + 1:
                await asyncio.sleep(script.pause_s)
            await asyncio.sleep(script.gap_s)
            await self.gate.pass_work()
            send_chunk(writer, script.part(number))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def script_of(request):
    """Return the ``Script`` of a ``ReceivedRequest``, or None."""
    raw = request.get(SCRIPT_HEADER)
    return msgspec.json.decode(raw, type=Script) if raw else None


async def _note_leave(reader, work):
    """Wait until the sender of a request leaves, and record it."""
    while not (reader.at_eof() or reader.exception()):
        await asyncio.sleep(LEAVE_POLL_S)
    work.end()


async def _stall(writer, request):
    script = script_of(request)
    if script is None:
        return
    if script.vanishes:
        drop_packets(writer.get_extra_info("socket"))
    await asyncio.sleep(script.untaken_s)
