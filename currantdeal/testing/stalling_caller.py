"""Sends requests whose answers are taken late, slowly or in parts."""

import asyncio
import contextlib
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

from currantdeal.testing.answer_shapes import parse_answer
from currantdeal.testing.entry_world import GENERATION, request_bytes
from currantdeal.testing.scripted_upstream import Script
from currantdeal.testing.stalled_peers import SMALL_BUFFER_BYTES

LIMIT_S = 32.0
"""Time after which a caller leaves: longer than any timeout in force."""

WATCH_INTERVAL_S = 0.05
CHUNK_BYTES = 65_536
_TCP_CLOSED = 7
_STREAMS = ("note", "draft")


@dataclass(frozen=True, kw_only=True)
class StallingCall:
    """A request, and how its answer is taken.

    Parameters
    ----------
    row : str
        Name under which it is counted.
    kind : str
        Name of its route.
    script : Script
        What the upstream does.
    body : bytes
        Body of the request.
    sending_s : float
        Seconds over which the body is sent in chunks; 0 sends it at once,
        with its length.
    first_bytes : int
        Bytes that are taken before the stall.
    stall_s : float
        Seconds for which nothing is taken.
    bytes_per_s : float
        Rate at which the rest is taken.
    buffer_bytes : int
        Size of the receive buffer.
    deadline_s : float
        Deadline that it names.
    """

    row: str
    kind: str
    script: Script = Script()
    body: bytes = b"x"
    sending_s: float = 0.0
    first_bytes: int = 300
    stall_s: float = 0.0
    bytes_per_s: float = float("inf")
    buffer_bytes: int = SMALL_BUFFER_BYTES
    deadline_s: float = 14.0

    @property
    def deadline_ms(self):
        """The deadline in whole milliseconds, as its header names it."""
        return int(self.deadline_s * 1e3)


@dataclass(frozen=True, kw_only=True)
class Row:
    """Calls of one kind, as callers send them.

    Parameters
    ----------
    draw : callable
        Draws a ``StallingCall`` with a random generator.
    per_s : float
        Callers per second.
    most_calls : int
        The most calls that a caller sends on one connection.
    """

    draw: Callable
    per_s: float
    most_calls: int = 1


@dataclass(frozen=True, kw_only=True)
class CallEnd:
    """How a request ended.

    Parameters
    ----------
    call : StallingCall
        The request.
    request_id, entry : str
        Its id, and the instance that it was sent to.
    began_s, sent_s, ended_s : float
        When its first and its last byte were sent and when it ended; a reset
        during a stall counts from when the caller's kernel received it.
    status : int
        Status of its answer; 0 without a head.
    how : str
        ``whole``, ``wrong`` (an answer to its proper end with other bytes),
        ``reset``, ``closed``, ``timeout`` or ``unconnected``.
    received : int
        Bytes that were received.
    """

    call: StallingCall
    request_id: str
    entry: str
    began_s: float
    sent_s: float
    ended_s: float
    status: int
    how: str
    received: int

    @property
    def served(self):
        """Whether the whole answer of an upstream was received."""
        return self.how == "whole" and self.status == 200


class StallingCaller:
    """Sends one call after the other, on one connection while it is kept.

    Parameters
    ----------
    entry : str
        Instance that the calls are sent to.
    address : tuple
        Its host and port.
    """

    def __init__(self, *, entry, address):
        """Open no connection yet."""
        self._entry = entry
        self._address = address
        self._sock = None

    async def send(self, call, request_id):
        """Send a call and return its ``CallEnd``."""
        loop = asyncio.get_running_loop()
        exchange = _Exchange(call=call, request_id=request_id)
        began_s = loop.time()
        how = "unconnected"
        try:
            if self._sock is None:
                self._sock = await _connect(self._address, call.buffer_bytes)
            async with asyncio.timeout(LIMIT_S):
                how = await exchange.run(self._sock)
        except TimeoutError:
            how = "timeout"
        except OSError:
            how = "unconnected" if self._sock is None else "reset"
        if how != "whole" or exchange.closes:
            self.close()
        return CallEnd(
            call=call,
            request_id=request_id,
            entry=self._entry,
            began_s=began_s,
            sent_s=exchange.sent_s or loop.time(),
            ended_s=exchange.reset_s or loop.time(),
            status=exchange.status,
            how=how,
            received=len(exchange.received),
        )

    def close(self):
        """Close the connection, if there is one."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None


class RowCallers:
    """Callers that come at the rates of rows.

    Parameters
    ----------
    addresses : callable
        Returns host and port of each entry by instance.
    rng : random.Random
        Draws times, entries and calls.
    rows : tuple of Row
        What the callers send.
    scale : float
        Multiple of the rows' rates.
    prefix : str
        Prefix of the request ids.

    Attributes
    ----------
    ends : list of CallEnd
        How the calls ended.
    """

    def __init__(self, *, addresses, rng, rows, scale=1.0, prefix="c"):
        """Send nothing before ``start``."""
        self.ends = []
        self._addresses = addresses
        self._rng = rng
        self._rows = rows
        self._scale = scale
        self._prefix = prefix
        self._count = 0
        self._tasks = ()
        self._coming = False

    def start(self):
        """Let callers come."""
        self._coming = True
        # Each row draws from a generator of its own, so that the seed alone
        # determines its calls.
        self._tasks = [
            asyncio.ensure_future(
                self._call_row(row, random.Random(self._rng.random()))
            )
            for row in self._rows
        ]

    async def stop(self):
        """Let no more callers come, and wait for the last call."""
        self._coming = False
        await asyncio.gather(*self._tasks)

    async def send(self, entry, address, call):
        """Send one call; it is not counted."""
        caller = StallingCaller(entry=entry, address=address)
        end = await caller.send(call, self._next_id())
        caller.close()
        return end

    async def _call_row(self, row, rng):
        tasks = []
        while self._coming:
            await asyncio.sleep(rng.expovariate(row.per_s * self._scale))
            addresses = self._addresses()
            place = rng.choice(sorted(addresses.items()))
            count = rng.randint(1, row.most_calls)
            calls = [row.draw(rng) for _ in range(count)]
            tasks.append(asyncio.ensure_future(self._call(place, calls)))
        await asyncio.gather(*tasks)

    async def _call(self, place, calls):
        entry, address = place
        caller = StallingCaller(entry=entry, address=address)
        for call in calls:
            end = await caller.send(call, self._next_id())
            self.ends.append(end)
            if end.how != "whole":
                break
        caller.close()

    def _next_id(self):
        self._count += 1
        return f"{self._prefix}{self._count}"


class _Exchange:
    """One request on a connection."""

    def __init__(self, *, call, request_id):
        self._call = call
        self._id = request_id
        self._loop = asyncio.get_running_loop()
        self.received = bytearray()
        self.sent_s = self.reset_s = None
        self._head = b""

    @property
    def status(self):
        return int(self.received[9:12] or 0)

    @property
    def closes(self):
        return b"connection: close" in self._head

    async def run(self, sock):
        """Return how the exchange ends."""
        await self._send(sock)
        call = self._call
        if not await self._take(sock, call.first_bytes):
            return "closed"
        if call.stall_s:
            await self._stall(sock)
        while not self._has_ended:
            count = min(CHUNK_BYTES, int(min(call.bytes_per_s / 20, 1e6)))
            if not await self._take(sock, count):
                return "closed"
            await asyncio.sleep(count / call.bytes_per_s)
        return "whole" if self._is_right else "wrong"

    async def _send(self, sock):
        raw = call_bytes(self._call, self._id)
        if not self._call.sending_s:
            await self._loop.sock_sendall(sock, raw)
        else:
            await self._send_in_chunks(sock, raw)
        self.sent_s = self._loop.time()

    async def _send_in_chunks(self, sock, raw):
        head, _, body = raw.partition(b"\r\n\r\n")
        length = b"Content-Length: %d" % len(body)
        head = head.replace(length, b"Transfer-Encoding: chunked")
        await self._loop.sock_sendall(sock, head + b"\r\n\r\n")
        size = max(1, len(body) // 4)
        parts = [body[n : n + size] for n in range(0, len(body), size)]
        for part in parts:
            await asyncio.sleep(self._call.sending_s / len(parts))
            chunk = b"%x\r\n%s\r\n" % (len(part), part)
            await self._loop.sock_sendall(sock, chunk)
        await self._loop.sock_sendall(sock, b"0\r\n\r\n")

    async def _take(self, sock, count):
        data = await self._loop.sock_recv(sock, count)
        self.received += data
        if not self._head:
            head, separator, _ = self.received.partition(b"\r\n\r\n")
            self._head = bytes(head + separator).lower() if separator else b""
        return data

    async def _stall(self, sock):
        """Take nothing; note when the kernel learns of a reset."""
        ends_s = self._loop.time() + self._call.stall_s
        while (now_s := self._loop.time()) < ends_s:
            state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            if state[0] == _TCP_CLOSED and self.reset_s is None:
                self.reset_s = now_s
            await asyncio.sleep(min(WATCH_INTERVAL_S, ends_s - now_s))

    @property
    def _has_ended(self):
        if b"transfer-encoding: chunked" in self._head:
            return self.received.endswith(b"\r\n0\r\n\r\n")
        length = self._head.partition(b"content-length: ")[2].split()
        if not length:
            return False
        return len(self.received) - len(self._head) >= int(length[0])

    @property
    def _is_right(self):
        if self.status != 200:
            return True
        answer = parse_answer(bytes(self.received))
        return answer.body == self._call.script.body()


def call_bytes(call, request_id):
    """Return the bytes of the request of a call."""
    more = [call.script.header]
    if call.kind in _STREAMS:
        more += GENERATION
    raw = request_bytes(
        f"/{call.kind}/1", body=call.body, more=more, close=False
    ).replace(b"Id: r-1", b"Id: " + request_id.encode())
    deadline = b"Deadline-Ms: %d" % call.deadline_ms
    return raw.replace(b"Deadline-Ms: 3000", deadline)


async def _connect(address, buffer_bytes):
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, address)
    except BaseException:
        with contextlib.suppress(OSError):
            sock.close()
        raise
    return sock
