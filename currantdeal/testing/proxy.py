"""Forwards TCP and UDP between two addresses and injects network faults.

All proxies of a process share one event loop, which runs on a separate
thread.  Bytes that a partition holds back are delivered when it heals, as
TCP's retransmission would do, except on connections that
``FaultProxy.stall_open_connections`` stalled permanently.

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
import threading
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.testing.errors import HarnessError

CHUNK_BYTES = 65_536
QUEUE_CHUNKS = 256
PARTITION_POLL_S = 0.01
BIND_ATTEMPTS = 20
_RESET = object()


class Cut(str, Enum):
    """Directions in which a partition holds back all bytes."""

    NONE = "none"
    TO_TARGET = "to-target"
    TO_SOURCE = "to-source"
    BOTH = "both"


@dataclass(frozen=True, kw_only=True)
class LinkFaults:
    """Faults that a proxy injects.

    Parameters
    ----------
    delay_s : float
        Delay in each direction, in seconds.
    bytes_per_s : float
        Maximum rate of each connection and direction; 0 for no limit.
    cut : Cut
        Directions that are partitioned, for open and new connections, which
        stay open.
    refuse : bool
        True to reset new connections at once.
    """

    delay_s: float = 0.0
    bytes_per_s: float = 0.0
    cut: Cut = Cut.NONE
    refuse: bool = False


class _Connection:
    """A forwarded connection: one socket on each side."""

    def __init__(self, *, task):
        self.task = task
        self.stalled = False
        self.writers = []

    def close(self, *, reset):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if reset and sock is not None:
                with contextlib.suppress(OSError):
                    set_reset_on_close(sock, True)
            writer.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    """Forwards datagrams to the target, and drops them in a partition."""

    def __init__(self, *, target, faults):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._faults = faults
        self._transport = None
        self.forwarded = 0

    def connection_made(self, transport):
        self._transport = transport

    def datagram_received(self, data, addr):
        faults = self._faults()
        if faults.cut not in (Cut.TO_TARGET, Cut.BOTH):
            loop = asyncio.get_running_loop()
            loop.call_later(faults.delay_s, self._send, data)

    def error_received(self, exc):
        # The target's port is closed and the datagram is lost, which UDP
        # allows.
        pass

    def _send(self, data):
        if not self._transport.is_closing():
            self.forwarded += len(data)
            self._transport.sendto(data, self._target)


class FaultProxy:
    """Listens on one address and forwards to another.

    Datagrams to the same port number are forwarded to the target only; a
    partition in that direction drops them.

    Parameters
    ----------
    target : str
        ``IP:PORT`` to forward to.
    address : str
        ``IP:PORT`` to listen on; port 0 picks a free one.
    faults : LinkFaults
        Initial faults; none by default.
    """

    def __init__(self, *, target, address="127.0.0.1:0", faults=None):
        """Listen and begin to forward."""
        self._target = target
        self._faults = faults or LinkFaults()
        self._connections = set()
        self._forwarded = {Cut.TO_TARGET: 0, Cut.TO_SOURCE: 0}
        listener, receiver = _bind(address)
        self._address = "{}:{}".format(*listener.getsockname()[:2])
        self._datagrams = _Datagrams(
            target=target, faults=lambda: self._faults
        )
        self._server, self._receiver = _run_on_loop(
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
        """Faults that are currently injected."""
        return self._faults

    @property
    def bytes_to_target(self):
        """Bytes forwarded to the target so far."""
        return self._forwarded[Cut.TO_TARGET]

    @property
    def bytes_to_source(self):
        """Bytes forwarded to the connecting side so far."""
        return self._forwarded[Cut.TO_SOURCE]

    @property
    def datagram_bytes(self):
        """Bytes of datagrams forwarded so far."""
        return self._datagrams.forwarded

    @property
    def open_connections(self):
        """Number of open connections."""
        return len(self._connections)

    def set_faults(self, faults):
        """Replace the faults, for open connections as well."""
        self._faults = faults

    def stall_open_connections(self):
        """Stall every open connection permanently; new ones work."""
        _run_on_loop(self._stall_all())

    def reset_open_connections(self):
        """Reset every open connection."""
        _run_on_loop(self._close_all(reset=True))

    def close_open(self):
        """Close every open connection, without a reset."""
        _run_on_loop(self._close_all(reset=False))

    def close(self):
        """Stop listening and close every connection."""
        _run_on_loop(self._stop())

    async def _listen(self, listener, receiver):
        server = await asyncio.start_server(
            self._handle_connection, sock=listener
        )
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._datagrams, sock=receiver
        )
        return server, transport

    async def _stop(self):
        self._server.close()
        self._receiver.close()
        await self._close_all(reset=True)
        tasks = [connection.task for connection in self._connections]
        for task in tasks:
            # A stalled connection would wait forever.
            task.cancel()
        await asyncio.gather(*tasks)

    async def _stall_all(self):
        for connection in self._connections:
            connection.stalled = True

    async def _close_all(self, *, reset):
        for connection in list(self._connections):
            connection.close(reset=reset)

    async def _handle_connection(self, reader, writer):
        # The event loop holds no strong reference to a task.
        connection = _Connection(task=asyncio.current_task())
        connection.writers.append(writer)
        self._connections.add(connection)
        try:
            await self._forward(connection, reader, writer)
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            connection.close(reset=True)
        finally:
            self._connections.discard(connection)
            connection.close(reset=False)

    async def _forward(self, connection, reader, writer):
        if self._faults.refuse:
            connection.close(reset=True)
            return
        await self._wait_unblocked(connection, Cut.TO_TARGET)
        await asyncio.sleep(self._faults.delay_s)
        host, _, port = self._target.rpartition(":")
        target_reader, target_writer = await asyncio.open_connection(
            host, port
        )
        connection.writers.append(target_writer)
        for endpoint in (writer, target_writer):
            endpoint.get_extra_info("socket").setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
        async with asyncio.TaskGroup() as group:
            for source, sink, direction in (
                (reader, target_writer, Cut.TO_TARGET),
                (target_reader, writer, Cut.TO_SOURCE),
            ):
                chunks = asyncio.Queue(QUEUE_CHUNKS)
                group.create_task(self._read(source, chunks))
                group.create_task(
                    self._write(connection, chunks, sink, direction)
                )

    async def _read(self, reader, chunks):
        loop = asyncio.get_running_loop()
        chunk = b"more"
        while chunk:
            chunk = await _read_chunk(reader)
            due_s = loop.time() + self._faults.delay_s
            await chunks.put((due_s, chunk))

    async def _write(self, connection, chunks, writer, direction):
        loop = asyncio.get_running_loop()
        while True:
            due_s, chunk = await chunks.get()
            await asyncio.sleep(due_s - loop.time())
            await self._wait_unblocked(connection, direction)
            if chunk is _RESET:
                connection.close(reset=True)
                return
            if not chunk:
                await _send_eof(writer)
                return
            if self._faults.bytes_per_s:
                await asyncio.sleep(len(chunk) / self._faults.bytes_per_s)
            self._forwarded[direction] += len(chunk)
            writer.write(chunk)
            await writer.drain()

    async def _wait_unblocked(self, connection, direction):
        while self._is_blocked(connection, direction):
            await asyncio.sleep(PARTITION_POLL_S)

    def _is_blocked(self, connection, direction):
        cut = self._faults.cut
        return connection.stalled or cut in (direction, Cut.BOTH)


def _bind(address):
    """Return a listener and a datagram socket with one port number."""
    host, _, port = address.rpartition(":")
    for _ in range(BIND_ATTEMPTS):
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


async def _read_chunk(reader):
    """Return the next bytes; empty at an orderly end, ``_RESET`` at a reset.

    An answer without a length ends in one way or the other.
    """
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        return _RESET


async def _send_eof(writer):
    with contextlib.suppress(OSError):
        if writer.can_write_eof():
            writer.write_eof()


def open_tasks():
    """Return the number of tasks that forward for all proxies."""

    async def count():
        return len(asyncio.all_tasks()) - 1

    return _run_on_loop(count())


@lru_cache(maxsize=1)
def _loop():
    loop = asyncio.new_event_loop()
    threading.Thread(
        target=loop.run_forever, name="fault-proxies", daemon=True
    ).start()
    return loop


def _run_on_loop(work):
    return asyncio.run_coroutine_threadsafe(work, _loop()).result()
