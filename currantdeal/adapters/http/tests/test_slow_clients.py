"""Load pattern: clients that stop to read for a while, and some that left."""

import asyncio
import itertools
import time

import pytest

from currantdeal.adapters.http.messages import Response
from currantdeal.adapters.http.tests.server_builders import (
    StreamBody,
    instance,
    text_response,
)
from currantdeal.testing.stalled_peers import (
    drop_packets,
    exchange_with_stall,
    small_socket,
)

GET = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
SIZES = (10_000, 180_000, 4_194_304)
STALLS_S = (2.0, 6.0, 13.0)
EVENT = b"e" * 200

GONE_S = 5.5
"""Time in which a client that acknowledges nothing is noticed."""

IDLE_GONE_S = 7.5
"""The same while nothing is sent to it, which only a probe can find."""


async def _stalls(port, stalls_s):
    return await asyncio.gather(
        *(
            exchange_with_stall(("127.0.0.1", port), GET, stall_s=stall_s)
            for stall_s in stalls_s
        )
    )


@pytest.mark.parametrize("size", SIZES)
def test_client_that_stops_to_read_gets_the_whole_answer(size):
    """Guards against a closed window that is taken for a lost client."""
    with instance(lambda request: text_response(size)) as port:
        answers = asyncio.run(_stalls(port, STALLS_S))
    bodies = [each.partition(b"\r\n\r\n")[2] for each in answers]
    assert [len(body) for body in bodies] == [size] * len(STALLS_S)


def test_client_that_stops_to_read_gets_the_whole_stream():
    """Guards against a stream that is cut while its client is busy."""

    def handler(request):
        events = itertools.repeat(EVENT, 300)
        return Response(
            body=StreamBody(events=events, wait=lambda n: time.sleep(0.01))
        )

    with instance(handler, threads=3) as port:
        answers = asyncio.run(_stalls(port, STALLS_S))
    for answer in answers:
        assert answer.endswith(b"0\r\n\r\n")
        assert answer.count(EVENT) == 300


async def _closed_after(port, body, limit_s, leave):
    """Return the seconds after which a stream is closed, or the limit."""
    loop = asyncio.get_running_loop()
    with small_socket() as sock:
        await loop.sock_connect(sock, ("127.0.0.1", port))
        await loop.sock_sendall(sock, GET)
        await leave(loop, sock)
        start_s = loop.time()
        while not body.is_closed and loop.time() < start_s + limit_s:
            await asyncio.sleep(0.02)
        return loop.time() - start_s


async def _leave_while_reading(loop, sock):
    end_s = loop.time() + 1.0
    while loop.time() < end_s:
        await loop.sock_recv(sock, 65_536)
    drop_packets(sock)


async def _leave_stalled(loop, sock):
    await asyncio.sleep(1.0)
    drop_packets(sock)


async def _stall(loop, sock):
    """Leave bytes unread until the server's buffers are full."""
    await asyncio.sleep(1.0)


@pytest.mark.parametrize("leave", [_leave_while_reading, _leave_stalled])
def test_client_that_is_gone_frees_its_engine(leave):
    """Guards against a stream that is kept up for a client that left."""
    body = StreamBody(
        events=itertools.repeat(EVENT), wait=lambda n: time.sleep(0.01)
    )
    with instance(lambda request: Response(body=body)) as port:
        taken_s = asyncio.run(_closed_after(port, body, GONE_S, leave))
    assert taken_s < GONE_S


def test_client_that_is_gone_before_its_answer_is_noticed():
    """Guards against a prefill for a client that left."""
    seen = StreamBody(events=(), wait=None)

    def handler(request):
        end_s = time.monotonic() + 2 * IDLE_GONE_S
        while not request.is_disconnected() and time.monotonic() < end_s:
            time.sleep(0.02)
        seen.close()
        return Response()

    with instance(handler) as port:
        taken_s = asyncio.run(
            _closed_after(port, seen, IDLE_GONE_S, _leave_stalled)
        )
    assert taken_s < IDLE_GONE_S


def test_client_that_takes_nothing_holds_no_engine_for_long():
    """Guards against clients that hold threads and memory by not reading."""
    body = StreamBody(events=itertools.repeat(EVENT), wait=lambda n: None)
    with instance(lambda request: Response(body=body)) as port:
        taken_s = asyncio.run(_closed_after(port, body, 6.0, _stall))
    assert taken_s < 6.0
