"""Ends of links that the asking entry has not read to their end."""

import asyncio
import socket

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.adapters.metrics import Metrics
from currantdeal.node.link_messages import LinkCall
from currantdeal.node.link_server import WRITE_BUFFER_BYTES, LinkServer
from currantdeal.node.peers import FrameReader, pack_frame
from currantdeal.policy.health.links import Links
from currantdeal.testing.stalled_peers import small_socket

ANSWER_BYTES = 1_048_576
SEND_BUFFER_BYTES = 16_384


async def _send_answer(reader, writer):
    writer.write(b"x" * ANSWER_BYTES)
    await writer.drain()
    writer.close()


async def _finished_link(server):
    """Return a link whose upstream has ended, with bytes in the process."""
    while True:
        for link in server._accepted:
            has_ended = link._far is not None and link._far.is_closing()
            if has_ended and link._transport.get_write_buffer_size():
                return link
        await asyncio.sleep(0.01)


async def _read_link_answer(sock):
    frames, answer = FrameReader(), None
    while answer is None:
        data = await asyncio.get_running_loop().sock_recv(sock, 1)
        answer = frames.receive(data)


async def _read_to_end(sock):
    loop = asyncio.get_running_loop()
    size = 0
    try:
        while data := await loop.sock_recv(sock, 65_536):
            size += len(data)
    except ConnectionResetError:
        return size, "reset"
    return size, "closed"


async def _end_early(end):
    """Return how much arrives of an answer that a helper ends early."""
    loop = asyncio.get_running_loop()
    upstream = await asyncio.start_server(_send_answer, "127.0.0.1", 0)
    server = LinkServer(
        links=Links(),
        is_upstream=lambda address: True,
        on_doubt=lambda address, why: None,
        metrics=Metrics(),
    )
    await server.start("127.0.0.1", 0)
    # Accepted connections inherit the size.
    server._server.sockets[0].setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
    )
    address = "{}:{}".format(*upstream.sockets[0].getsockname())
    with small_socket() as sock:
        await loop.sock_connect(sock, server.address)
        call = LinkCall(address=address, timeout_s=1.0)
        await loop.sock_sendall(sock, pack_frame(FrameKind.CALL, 1, call))
        received = 0
        async with asyncio.timeout(5.0):
            await _read_link_answer(sock)
            # Most is read, until the rest fits into the helper.
            while received < ANSWER_BYTES - WRITE_BUFFER_BYTES:
                received += len(await loop.sock_recv(sock, 4_096))
            end(server, await _finished_link(server))
            rest, ending = await _read_to_end(sock)
    upstream.close()
    return received + rest, ending


def test_link_that_is_reset_early_does_not_end_in_order():
    """Guards against a part of an answer that looks whole."""
    size, end = asyncio.run(_end_early(lambda server, link: server.abort()))
    assert size < ANSWER_BYTES
    assert end == "reset"


def test_link_whose_rest_is_in_the_kernel_ends_in_order():
    """Guards against a whole answer that is reset as its helper ends."""

    def end_once_written(server, link):
        sock = link._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, ANSWER_BYTES)
        link._transport._write_ready()
        assert not link._transport.get_write_buffer_size()
        server.abort()

    size, end = asyncio.run(_end_early(end_once_written))
    assert size == ANSWER_BYTES
    assert end == "closed"
