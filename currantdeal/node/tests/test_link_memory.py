"""Memory that an entry uses for the links of others, with real sockets."""

import asyncio
from contextlib import suppress

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.adapters.metrics import Metrics
from currantdeal.node.link_messages import LinkCall, LinkOutcome
from currantdeal.node.link_server import WRITE_BUFFER_BYTES, LinkServer
from currantdeal.node.peers import FrameReader, pack_frame
from currantdeal.policy.health.links import Links

LINKS = 8
MAX_LINK_BYTES = 2 * WRITE_BUFFER_BYTES
"""Bytes that one direction of a link may hold."""


async def _open_link(server, address):
    """Return the streams of a link, whose answer was read."""
    reader, writer = await asyncio.open_connection(
        *server.address, limit=WRITE_BUFFER_BYTES
    )
    call = LinkCall(address=address, timeout_s=1.0)
    writer.write(pack_frame(FrameKind.CALL, 1, call))
    answer = None
    frames = FrameReader()
    while answer is None:
        answer = frames.receive(await reader.readexactly(1))
    assert answer.outcome is LinkOutcome.CONNECTED
    return reader, writer


async def _largest_buffer(server, *, for_s=1.0):
    """Return the most bytes that one direction of a link holds for a while."""
    loop = asyncio.get_running_loop()
    end_s, largest = loop.time() + for_s, 0
    while loop.time() < end_s:
        for link in tuple(server._accepted):
            for end in (link._transport, link._far):
                if end is not None:
                    largest = max(largest, end.get_write_buffer_size())
        await asyncio.sleep(0.0)
    return largest


def _run(serve, after_open):
    async def run():
        upstream = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = upstream.sockets[0].getsockname()
        server = LinkServer(
            links=Links(),
            is_upstream=lambda address: True,
            on_doubt=lambda address, why: None,
            metrics=Metrics(),
        )
        await server.start("127.0.0.1", 0)
        links = [
            await _open_link(server, f"{host}:{port}") for _ in range(LINKS)
        ]
        tasks = [asyncio.ensure_future(after_open(*link)) for link in links]
        largest = await _largest_buffer(server)
        for task in tasks:
            task.cancel()
        server.abort()
        upstream.close()
        return largest

    return asyncio.run(run())


async def _flood(reader, writer):
    """Send bytes until the connection ends."""
    try:
        while True:
            writer.write(b"x" * 1_048_576)
            await writer.drain()
    except (ConnectionError, asyncio.CancelledError):
        # The test has ended; the server would log this as an error.
        writer.close()


async def _ignore(reader, writer):
    with suppress(asyncio.CancelledError):
        await asyncio.sleep(30.0)


def test_endless_answer_to_an_entry_that_does_not_read_takes_little_memory():
    """Guards against a helper that keeps what the asking entry reads late."""
    assert 0 < _run(_flood, _ignore) <= MAX_LINK_BYTES


def test_endless_request_to_an_upstream_that_does_not_read_takes_little():
    """Guards against a helper that keeps what an upstream reads late."""
    assert 0 < _run(_ignore, _flood) <= MAX_LINK_BYTES
