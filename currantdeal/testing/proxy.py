"""TCP and UDP proxy that injects faults between any two parties.

All proxies of a process share one event loop on a thread of its own.  Bytes
that a fault holds back are delivered when it is lifted, as TCP would do
after a silent partition, unless the connection was silenced for good.

Examples
--------
>>> from currantdeal.testing.proxy import FaultProxy, LinkFaults
>>> proxy = FaultProxy(target="127.0.0.1:9")
>>> proxy.set_faults(LinkFaults(delay_s=0.012))
>>> proxy.close()
"""

import asyncio
import contextlib
import socket
import struct
import threading
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from currantdeal.testing.errors import HarnessError

BLOCK = 65_536
QUEUE_BLOCKS = 256
HOLD_POLL_S = 0.01
BIND_TRIES = 20
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Cut(str, Enum):
    """Directions in which nothing gets through."""

    NONE = "none"
    TO_TARGET = "to-target"
    TO_SOURCE = "to-source"
    BOTH = "both"


@dataclass(frozen=True, kw_only=True)
class LinkFaults:
    """What a proxy does to the bytes that pass.

    Parameters
    ----------
    delay_s : float
        Delay in each direction, in seconds.
    bytes_per_s : float
        Rate of each connection and direction; 0 for no limit.
    cut : Cut
        Directions that are silently held, for old and new connections.
    refuse : bool
        New connections are reset at once.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    cut: Cut = Cut.NONE
    refuse: bool = False


class _Connection:
    """One connection and its two directions."""

    def __init__(self):
        self.silenced = False
        self.writers = []

    def close(self, *, reset):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if reset and sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            writer.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams one way, and loses them while the way is cut."""

    def __init__(self, *, target, faults):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._faults = faults
        self._transport = None
        self.passed = 0

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        faults = self._faults()
        if faults.cut not in (Cut.TO_TARGET, Cut.BOTH):
            loop = asyncio.get_running_loop()
            loop.call_later(faults.delay_s, self._send, data)

    def error_received(self, exc):
        # The target's port is closed; the datagram is lost, which is what
        # a datagram may be.
        pass

    def _send(self, data):
        if not self._transport.is_closing():
            self.passed += len(data)
            self._transport.sendto(data, self._target)


class FaultProxy:
    """Listens on one address and forwards to another.

    Datagrams to the same port number are forwarded one way; a cut towards
    the target loses them.

    Parameters
    ----------
    target : str
        ``IP:PORT`` to forward to.
    address : str
        ``IP:PORT`` to listen on; port 0 picks a free one.
    faults : LinkFaults
        Faults from the start.
    """

    def __init__(self, *, target, address="127.0.0.1:0", faults=None):
        """Listen and forward at once."""
        self._target = target
        self._faults = faults or LinkFaults()
        self._connections = set()
        self._passed = {Cut.TO_TARGET: 0, Cut.TO_SOURCE: 0}
        listener, receiver = _bind(address)
        self._address = "{}:{}".format(*listener.getsockname()[:2])
        self._datagrams = _Datagrams(
            target=target, faults=lambda: self._faults
        )
        self._server, self._receiver = _on_loop(
            self._listen(listener, receiver)
        )

    @property
    def address(self):
        """``IP:PORT`` that the proxy listens on."""
        return self._address

    @property
    def target(self):
        """``IP:PORT`` that the proxy forwards to."""
        return self._target

    @property
    def faults(self):
        """Faults that are set."""
        return self._faults

    @property
    def bytes_to_target(self):
        """Bytes sent on to the target so far."""
        return self._passed[Cut.TO_TARGET]

    @property
    def bytes_to_source(self):
        """Bytes sent on to those who connected, so far."""
        return self._passed[Cut.TO_SOURCE]

    @property
    def datagram_bytes(self):
        """Bytes of datagrams sent on so far."""
        return self._datagrams.passed

    @property
    def open_connections(self):
        """Number of connections that are open."""
        return len(self._connections)

    def set_faults(self, faults):
        """Replace the faults; they hold for open connections as well."""
        self._faults = faults

    def silence_open(self):
        """Hold every open connection for good; new ones work."""
        _on_loop(self._silence())

    def reset_open(self):
        """Reset every open connection."""
        _on_loop(self._close_all(reset=True))

    def drop_open(self):
        """Close every open connection without a reset."""
        _on_loop(self._close_all(reset=False))

    def close(self):
        """Stop listening and close every connection."""
        _on_loop(self._stop())

    async def _listen(self, listener, receiver):
        server = await asyncio.start_server(self._accepted, sock=listener)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._datagrams, sock=receiver
        )
        return server, transport

    async def _stop(self):
        self._server.close()
        self._receiver.close()
        await self._close_all(reset=True)

    async def _silence(self):
        for connection in self._connections:
            connection.silenced = True

    async def _close_all(self, *, reset):
        for connection in list(self._connections):
            connection.close(reset=reset)

    async def _accepted(self, reader, writer):
        connection = _Connection()
        connection.writers.append(writer)
        self._connections.add(connection)
        try:
            await self._forward(connection, reader, writer)
        except (OSError, ExceptionGroup):
            connection.close(reset=True)
        finally:
            self._connections.discard(connection)
            connection.close(reset=False)

    async def _forward(self, connection, reader, writer):
        if self._faults.refuse:
            connection.close(reset=True)
            return
        await self._wait_open(connection, Cut.TO_TARGET)
        await asyncio.sleep(self._faults.delay_s)
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, port)
        connection.writers.append(far_writer)
        for one in (writer, far_writer):
            one.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        async with asyncio.TaskGroup() as group:
            for source, sink, direction in (
                (reader, far_writer, Cut.TO_TARGET),
                (far_reader, writer, Cut.TO_SOURCE),
            ):
                blocks = asyncio.Queue(QUEUE_BLOCKS)
                group.create_task(self._read(source, blocks))
                group.create_task(
                    self._write(connection, blocks, sink, direction)
                )

    async def _read(self, reader, blocks):
        loop = asyncio.get_running_loop()
        block = b"more"
        while block:
            block = await _read_block(reader)
            due_s = loop.time() + self._faults.delay_s
            await blocks.put((due_s, block))

    async def _write(self, connection, blocks, writer, direction):
        loop = asyncio.get_running_loop()
        while True:
            due_s, block = await blocks.get()
            await asyncio.sleep(due_s - loop.time())
            await self._wait_open(connection, direction)
            if not block:
                await _end(writer)
                return
            if self._faults.bytes_per_s:
                await asyncio.sleep(len(block) / self._faults.bytes_per_s)
            self._passed[direction] += len(block)
            writer.write(block)
            await writer.drain()

    async def _wait_open(self, connection, direction):
        while self._holds(connection, direction):
            await asyncio.sleep(HOLD_POLL_S)

    def _holds(self, connection, direction):
        cut = self._faults.cut
        return connection.silenced or cut in (direction, Cut.BOTH)


def _bind(address):
    """Return a listener and a datagram socket with one port number."""
    host, _, port = address.rpartition(":")
    for _ in range(BIND_TRIES):
        listener = socket.create_server((host, int(port)), backlog=256)
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            receiver.bind(listener.getsockname()[:2])
        except OSError:
            listener.close()
            receiver.close()
        else:
            return listener, receiver
    raise HarnessError(f"no port for both TCP and UDP at {address}")


async def _read_block(reader):
    # A reset on one side reaches the other as an end; a party that needs to
    # tell them apart gets resets from ``reset_open``.
    try:
        return await reader.read(BLOCK)
    except OSError:
        return b""


async def _end(writer):
    with contextlib.suppress(OSError):
        if writer.can_write_eof():
            writer.write_eof()


@lru_cache(maxsize=1)
def _loop():
    loop = asyncio.new_event_loop()
    threading.Thread(
        target=loop.run_forever, name="fault-proxies", daemon=True
    ).start()
    return loop


def _on_loop(work):
    return asyncio.run_coroutine_threadsafe(work, _loop()).result()
