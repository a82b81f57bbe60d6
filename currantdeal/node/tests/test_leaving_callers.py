"""Callers that end their connection before they have read the answer."""

import asyncio
import socket

import pytest

from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.node.http_server import HttpServer
from currantdeal.routing import CallerLimits
from currantdeal.testing.stalled_peers import drop_packets, small_socket

GET = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER_BYTES = 180_000
ABANDON_S = 0.5
"""Time in which work for a caller who has left ends."""


async def _half_closed_caller(handler, *, before_s):
    """Return a server, and a caller who has read nothing of its answer."""
    server = HttpServer(handler=handler, limits=CallerLimits)
    await server.start("127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    sock = small_socket()
    await loop.sock_connect(sock, server.address)
    await loop.sock_sendall(sock, GET)
    await asyncio.sleep(before_s)
    sock.shutdown(socket.SHUT_WR)
    return server, sock


async def _read(sock):
    loop = asyncio.get_running_loop()
    received = bytearray()
    async with asyncio.timeout(2.0):
        while data := await loop.sock_recv(sock, 65_536):
            received += data
    return received.partition(b"\r\n\r\n")[2]


def test_answer_that_has_ended_outlives_the_end_of_its_requests():
    """Guards against a whole answer that is lost with its caller's side."""

    async def answer(request, responder):
        responder.deadline_s = asyncio.get_running_loop().time() + 30.0
        responder.answer(200, (), b"x" * ANSWER_BYTES)

    async def run():
        server, sock = await _half_closed_caller(answer, before_s=1.0)
        # The kernel would drop it after some probes if nothing held it.
        await asyncio.sleep(4.0)
        with sock:
            body = await _read(sock)
        await asyncio.sleep(0.6)
        return body, len(server.connections)

    body, left = asyncio.run(run())
    assert len(body) == ANSWER_BYTES
    assert left == 0


def test_request_of_a_caller_who_left_is_abandoned_though_bytes_wait():
    """Guards against work, and memory held, for a caller who has left."""
    ends = []

    async def endless(request, responder):
        responder.begin(200, ())
        source = _Sending()
        try:
            while True:
                await responder.send(b"x" * 65_536, source)
                await asyncio.sleep(0.005)
        finally:
            ends.append(responder.connection_end.value)

    async def run():
        server, sock = await _half_closed_caller(endless, before_s=1.0)
        await asyncio.sleep(ABANDON_S)
        sock.close()
        return list(ends), len(server.connections), server.unsent.total_bytes

    assert asyncio.run(run()) == (["closed"], 0, 0)


class _Sending:
    """An upstream that always has more to send."""

    has_ended = False
    held_up_s = 0.0

    def __init__(self):
        self.ended = asyncio.get_running_loop().create_future()


@pytest.mark.parametrize(
    ("vanishes", "end"), [(False, "reset"), (True, "gone")]
)
def test_end_of_a_caller_who_left_after_its_requests_is_told_apart(
    vanishes, end
):
    """Guards against a reset that a log calls a silent host."""
    ends = []

    async def answer(request, responder):
        responder.deadline_s = asyncio.get_running_loop().time() + 30.0
        responder.answer(200, (), b"x" * ANSWER_BYTES)

    async def run():
        server, sock = await _half_closed_caller(answer, before_s=0.5)
        server.on_untaken = lambda request, size, end: ends.append(end.value)
        # Its kernel would repeat an end that is not acknowledged.
        await asyncio.sleep(0.2)
        if vanishes:
            drop_packets(sock)
            await asyncio.sleep(3.0)
        else:
            set_reset_on_close(sock, True)
            sock.close()
            await asyncio.sleep(0.8)
        sock.close()

    asyncio.run(run())
    assert ends == [end]


def test_second_request_is_abandoned_as_its_caller_ends_with_the_first():
    """Guards against work for a caller who left as the next request began."""

    async def run():
        release, ended = asyncio.Event(), asyncio.Event()
        begun = []

        async def answer(request, responder):
            begun.append(request)
            if len(begun) == 1:
                await release.wait()
                responder.answer(200, (), b"")
                return
            try:
                await asyncio.sleep(10.0)
            finally:
                ended.set()

        server = HttpServer(handler=answer, limits=CallerLimits)
        await server.start("127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, server.address)
            await loop.sock_sendall(sock, 2 * GET)
            await asyncio.sleep(0.1)
            # The server reads the end in the turn in which the answer ends.
            release.set()
            sock.shutdown(socket.SHUT_WR)
            await asyncio.sleep(ABANDON_S)
        return ended.is_set() or len(begun) == 1

    assert asyncio.run(run())
