"""Whether the system reports facts of connections, as one watch learns it."""

import asyncio
import socket

from currantdeal.adapters import watched_socket
from currantdeal.node.peer_watch import (
    LOOK_INTERVAL_S,
    MAX_BLANK_LOOKS,
    peer_watch,
)
from currantdeal.node.sockets import prepare_socket
from currantdeal.testing.stalled_peers import drop_packets

GONE_S = 2.5
"""Time in which a lost peer is noticed: 2 s, and one more look."""

BUSY_PEERS = 5 * MAX_BLANK_LOOKS


class _Echo(asyncio.Protocol):
    def connection_made(self, transport):
        self.transport = transport
        self.peer = prepare_socket(transport)

    def data_received(self, data):
        self.transport.write(data)
        self.peer.record_write()


async def _connect(count):
    server = await asyncio.get_running_loop().create_server(
        _Echo, "127.0.0.1", 0
    )
    address = server.sockets[0].getsockname()
    return [await asyncio.open_connection(*address) for _ in range(count)]


async def _exchange(clients):
    for _, writer in clients:
        writer.write(b"x")
    for reader, _ in clients:
        await reader.readexactly(1)


async def _keep_busy(for_s):
    """Return whether facts are reported, after a look at busy peers."""
    first, *clients = await _connect(1 + BUSY_PEERS)
    # It starts the looks, and leaves before the first one.
    await _exchange([first])
    first[1].transport.abort()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    while loop.time() < end_s:
        await _exchange(clients)
    return peer_watch().has_facts


def test_busy_connections_do_not_hide_that_facts_are_reported():
    """Guards against a burst after which slow peers are taken for gone."""
    found = asyncio.run(_keep_busy(2 * LOOK_INTERVAL_S))
    assert found is not False


async def _stay_without_facts(looks):
    """Return whether facts are reported, and the kernel's timeout."""
    clients = await _connect(1)
    await _exchange(clients)
    while len(looks) < MAX_BLANK_LOOKS:
        await asyncio.sleep(LOOK_INTERVAL_S)
    (peer,) = peer_watch()._peers
    sock = peer.transport.get_extra_info("socket")
    timeout_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    return peer_watch().has_facts, timeout_ms


def test_kernel_keeps_its_timeout_where_no_facts_are_reported(monkeypatch):
    """Guards against lost peers that nobody notices on other systems."""
    looks = []
    monkeypatch.setattr(watched_socket, "read_facts", looks.append)
    has_facts, timeout_ms = asyncio.run(_stay_without_facts(looks))
    assert len(looks) == MAX_BLANK_LOOKS
    assert has_facts is False
    assert timeout_ms > 0


async def _lose_two():
    """Lose two peers, and return whether the second one is noticed.

    The callback of the first one raises an error.
    """
    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda _, found: errors.append(found))
    clients = await _connect(2)
    await _exchange(clients)
    peers = sorted(peer_watch()._peers, key=lambda peer: peer.written_s)
    lost = loop.create_future()

    def fail(exc):
        raise KeyError("missing")

    peers[0].on_gone = fail
    peers[1].on_gone = lost.set_result
    for _, writer in clients:
        drop_packets(writer.get_extra_info("socket"))
    for peer in peers:
        peer.transport.write(b"x")
        peer.record_write()
    async with asyncio.timeout(GONE_S):
        await lost
    return errors


def test_failed_callback_leaves_no_other_peer_unwatched():
    """Guards against lost peers that nobody notices after an error."""
    (error,) = asyncio.run(_lose_two())
    assert isinstance(error["exception"], KeyError)
