"""Peers that stop to read for a while, or vanish without a reset."""

import asyncio
import ctypes
import socket
import struct

from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_chunk,
)

SMALL_BUFFER_BYTES = 4_096
"""Receive buffer of a peer whose window closes after a few bytes."""

EVENT_BYTES = 16_384
"""Data of one event of a large stream."""

UNREAD_PATIENCE_S = 1.1
"""Time after which an impatient upstream cuts an answer that is not read."""

UNREAD_STALL_S = 4.0
"""Longest wait of a caller for such an upstream to cut its answer."""

_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_DROP_ALL = struct.pack("HBBI", 6, 0, 0, 0)
"""A socket filter of one instruction: return 0 bytes of each packet."""


def small_socket():
    """Return an unconnected socket with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


def drop_packets(sock):
    """Drop all that arrives at a socket, as if its host had lost power."""
    program = ctypes.create_string_buffer(_DROP_ALL)
    packed = struct.pack("HP", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, packed)


def admit_packets(sock):
    """Let packets arrive again."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)


async def exchange_with_stall(
    address, raw, *, stall_s, first_bytes=300, until=None
):
    """Send a request, take a little, stop to read, then take all the rest.

    Parameters
    ----------
    until : asyncio.Event or None
        Ends the stall; ``stall_s`` is the longest one then.

    Returns
    -------
    bytes
        All that was received; it ends with ``<reset>`` after a reset.
    """
    loop = asyncio.get_running_loop()
    received = bytearray()
    with small_socket() as sock:
        try:
            await loop.sock_connect(sock, address)
            await loop.sock_sendall(sock, raw)
            received += await loop.sock_recv(sock, first_bytes)
            if until is None:
                await asyncio.sleep(stall_s)
            else:
                async with asyncio.timeout(stall_s):
                    await until.wait()
            while data := await loop.sock_recv(sock, 65_536):
                received += data
        except ConnectionError:
            received += b"<reset>"
    return bytes(received)


def stream_of(next_size, *, duration_s=0.0, is_framed=True):
    """Return a script that answers generations with events of many bytes.

    Parameters
    ----------
    next_size : callable
        Returns the bytes of data of the next answer.
    duration_s : float
        Time over which its events are spread.
    is_framed : bool
        Whether it is sent in chunks; otherwise its connection ends it.
    """

    async def script(standin, request, writer):
        if not request.is_generation or request.is_prefill:
            return False
        size = next_size()
        standin.begin_stream(request, writer, is_framed=is_framed)
        count = -(-size // EVENT_BYTES)
        for number in range(count):
            data = b"x" * min(EVENT_BYTES, size - number * EVENT_BYTES)
            event = b"id: %d\ndata: %s\n\n" % (number + 1, data)
            if is_framed:
                send_chunk(writer, event)
            else:
                writer.write(event)
            await writer.drain()
            await asyncio.sleep(duration_s / count)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        return True

    return script


def impatient_stream(size, *, on_cut):
    """Return a script that cuts its answer to a generation if it is not read.

    Parameters
    ----------
    size : int
        Bytes of data of the answer, at least.
    on_cut : callable
        Called once it has cut an answer.
    """
    event = b"id: 1\ndata: %s\n\n" % (b"x" * EVENT_BYTES)

    async def script(standin, request, writer):
        if not request.is_generation or request.is_prefill:
            return False
        standin.begin_stream(request, writer)
        try:
            for _ in range(-(-size // EVENT_BYTES)):
                send_chunk(writer, event)
                async with asyncio.timeout(UNREAD_PATIENCE_S):
                    await writer.drain()
        except TimeoutError:
            writer.transport.abort()
            on_cut()
        return True

    return script


class LateReader(StandInUpstream):
    """An upstream that reads nothing of a new connection for a while.

    Parameters
    ----------
    stall_s : float
        Seconds before it begins to read.
    """

    def __init__(self, *, stall_s, **options):
        """Create a stand-in that does not listen before ``start``."""
        super().__init__(**options)
        self._stall_s = stall_s

    async def start(self, host="127.0.0.1", port=0):
        """Listen with a small receive buffer."""
        sock = small_socket()
        sock.bind((host, port))
        self._server = await asyncio.start_server(
            self._serve_late, sock=sock, limit=SMALL_BUFFER_BYTES
        )
        self.address = "{}:{}".format(*sock.getsockname())
        self.is_up = True

    async def _serve_late(self, reader, writer):
        await asyncio.sleep(self._stall_s)
        await self._serve(reader, writer)
