"""Load pattern: processes that stand still, at both ends of their channels."""

import asyncio

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.adapters.metrics import Metrics
from currantdeal.node.link_messages import LinkCall
from currantdeal.node.link_server import LinkServer
from currantdeal.node.messages import ConfigNotice
from currantdeal.node.peers import PeerConnection, connect_peer, pack_frame
from currantdeal.policy.health.links import Links
from currantdeal.testing.stalled_peers import small_socket

STALL_S = 3.0
NOTICE_BYTES = 50_000
NOTICES = 40
ANSWER_BYTES = 1_000_000


class _PausedPeer(PeerConnection):
    """A process that reads nothing of its channel for a while."""

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(STALL_S, transport.resume_reading)


async def _notices_through_a_stall():
    """Return the numbers of notices that a paused process receives."""
    loop = asyncio.get_running_loop()
    received = []

    def accept():
        return _PausedPeer(
            on_notice=lambda channel, one: received.append(one.version),
            on_call=None,
            on_lost=_ignore,
        )

    with small_socket() as listener:
        listener.bind(("127.0.0.1", 0))
        server = await loop.create_server(accept, sock=listener)
        channel = await connect_peer(
            "{}:{}".format(*listener.getsockname()), on_notice=_ignore
        )
        for version in range(NOTICES):
            packed = bytes(NOTICE_BYTES)
            channel.notify(ConfigNotice(version=version, packed=packed))
            await asyncio.sleep(STALL_S / NOTICES)
        await asyncio.sleep(0.5)
        server.close()
    return received


def _ignore(*args):
    return None


def test_process_that_stands_still_keeps_its_channel():
    """Guards against notices that are lost because a process is paused."""
    assert asyncio.run(_notices_through_a_stall()) == list(range(NOTICES))


async def _send_answer(reader, writer):
    writer.write(bytes(ANSWER_BYTES))
    await writer.drain()
    writer.close()


async def _answer_through_a_link():
    """Return the bytes that an entry reads late through a helper."""
    loop = asyncio.get_running_loop()
    upstream = await asyncio.start_server(_send_answer, "127.0.0.1", 0)
    host, port = upstream.sockets[0].getsockname()
    helper = LinkServer(
        links=Links(),
        is_upstream=lambda address: True,
        on_doubt=_ignore,
        metrics=Metrics(),
    )
    await helper.start("127.0.0.1", 0)
    call = LinkCall(address=f"{host}:{port}", timeout_s=1.0)
    received = 0
    with small_socket() as sock:
        await loop.sock_connect(sock, helper.address)
        await loop.sock_sendall(sock, pack_frame(FrameKind.CALL, 1, call))
        await asyncio.sleep(STALL_S)
        while data := await loop.sock_recv(sock, 65_536):
            received += len(data)
    return received


def test_entry_that_reads_late_gets_the_answer_through_a_link():
    """Guards against a link that is cut because its caller is slow."""
    assert asyncio.run(_answer_through_a_link()) > ANSWER_BYTES
