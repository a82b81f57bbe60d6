import asyncio
import contextlib
import itertools
from dataclasses import replace

import pytest

from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.node.errors import (
    InvalidResponseError,
    ResponseTimeoutError,
    UnchargedError,
)
from currantdeal.node.exchange import exchange
from currantdeal.node.head import Outgoing
from currantdeal.node.http_client import UpstreamConnection
from currantdeal.testing.platform_upstream import StandInUpstream

ID_HEADER = b"x-currantdeal-request-id"
IDS = itertools.count()


def _call():
    """Return a call with an id of its own, which its answer may lack."""
    call_id = f"c{next(IDS)}".encode()
    return Outgoing(
        method="POST",
        target="/v1/hold-take",
        headers=((b"host", b"u"), (ID_HEADER, call_id)),
        id_header=ID_HEADER,
    )


async def _reset_second_request(standin, request, writer):
    if len(standin.requests) == 2:
        writer.transport.abort()
        return True
    return False


async def _exchange_twice(*, retryable):
    standin = StandInUpstream(script=_reset_second_request)
    await standin.start()
    pool = ConnectionPool()
    for _ in range(2):
        head, _ = await exchange(
            pool, standin.address, _call(), timeout_s=1.0, retryable=retryable
        )
    return head, standin


def test_retryable_request_is_sent_again_after_a_reset():
    """An upstream closes an idle connection while a request is sent on it.

    The request is reset.  Unless the reservation is sent again, the engine
    counts as unreachable for half a second and the caller's request goes to
    another engine.
    """
    head, standin = asyncio.run(_exchange_twice(retryable=True))
    assert head.status == 200
    assert len(standin.requests) == 3


def test_other_request_is_not_sent_again():
    """The same reset hits a request that is not retryable and may have run."""
    with pytest.raises(InvalidResponseError) as caught:
        asyncio.run(_exchange_twice(retryable=False))
    assert caught.value.sent


async def _stop_at_second_request(standin, request, writer):
    if len(standin.requests) == 2:
        standin.stop()
        writer.transport.abort()
        return True
    return False


def test_request_counts_as_sent_when_the_upstream_ends():
    """Guards against treating a crash as a refused connection."""

    async def run():
        standin = StandInUpstream(script=_stop_at_second_request)
        await standin.start()
        pool = ConnectionPool()
        for _ in range(2):
            await exchange(
                pool, standin.address, _call(), timeout_s=1.0, retryable=True
            )

    with pytest.raises(InvalidResponseError) as caught:
        asyncio.run(run())
    assert caught.value.sent


def _is_reused(extra_headers, *, idle_s, retryable):
    """Return whether a second exchange reuses the connection of the first."""

    async def script(standin, request, writer):
        standin.send(request, writer, 200, b"ok", *extra_headers)
        await writer.drain()
        return True

    async def run():
        loop = asyncio.get_running_loop()
        standin = StandInUpstream(script=script)
        await standin.start()
        pool = ConnectionPool()
        await exchange(pool, standin.address, _call(), timeout_s=1.0)
        began_s = loop.time()
        loop.time = lambda: began_s + idle_s
        connection = await pool.acquire(
            standin.address, _call(), retryable=retryable
        )
        return connection.used

    return asyncio.run(run())


def test_idle_connection_is_reused_within_the_keep_alive_time():
    """Guards against connection churn at an engine.

    80 entries each call the engine every six seconds.  If each call opened a
    new connection, the engine would spend a millisecond on each, at the
    expense of its users' requests.
    """
    keep_alive = ("Keep-Alive: timeout=10",)
    assert _is_reused(keep_alive, idle_s=7.0, retryable=True)
    assert not _is_reused(keep_alive, idle_s=9.0, retryable=True)
    assert not _is_reused(keep_alive, idle_s=7.0, retryable=False)
    assert _is_reused(keep_alive, idle_s=3.0, retryable=False)
    assert not _is_reused((), idle_s=5.0, retryable=True)


def test_a_request_of_a_caller_is_not_sent_uncounted():
    """Guards against a path that leaves out the charge of an arrival."""

    async def run():
        standin = StandInUpstream()
        await standin.start()
        request = replace(_call(), is_id_echoed=True)
        with pytest.raises(UnchargedError):
            await exchange(
                ConnectionPool(), standin.address, request, timeout_s=1.0
            )
        return standin.requests

    assert asyncio.run(run()) == []


class _Transport(asyncio.Transport):
    """Keeps whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.is_paused = False

    def is_closing(self):
        return False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def write(self, data):
        pass

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


def _receive(connection, data):
    connection.get_buffer(-1)[: len(data)] = data
    connection.buffer_updated(len(data))


def test_bytes_after_an_answer_are_not_read():
    """Guards against memory that fills with what follows a whole answer."""

    async def run():
        connection = UpstreamConnection(address="u")
        transport = _Transport()
        connection.connection_made(transport)
        connection.send(_call())
        _receive(connection, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")
        _receive(connection, b"\r\n{}")
        assert not transport.is_paused
        _receive(connection, b"x")
        assert transport.is_paused

    asyncio.run(run())


@pytest.mark.parametrize("limit", [65_536, 1_024])
def test_answers_that_have_ended_take_no_memory(limit):
    """Guards against a sum that keeps answers whose exchange has ended."""

    async def script(standin, request, writer):
        standin.send(request, writer, 200, b"x" * 4_096)
        await writer.drain()
        return True

    async def run():
        standin = StandInUpstream(script=script)
        await standin.start()
        pool = ConnectionPool()
        for _ in range(3):
            with contextlib.suppress(InvalidResponseError):
                await exchange(
                    pool, standin.address, _call(), timeout_s=1.0, limit=limit
                )
        return pool.buffered_bytes

    assert asyncio.run(run()) == 0


@pytest.mark.parametrize("is_awaited", [True, False])
def test_late_response_is_awaited_for_its_time_alone(is_awaited):
    """Guards against connections that stay open to a silent upstream."""

    async def stay_silent(standin, request, writer):
        await asyncio.sleep(30.0)
        return True

    async def run():
        standin = StandInUpstream(script=stay_silent)
        await standin.start()
        pool, late = ConnectionPool(), []
        connection = await pool.open(standin.address, timeout_s=1.0)
        pool.release(connection)
        with pytest.raises(ResponseTimeoutError):
            await exchange(
                pool,
                standin.address,
                _call(),
                timeout_s=0.05,
                retryable=True,
                on_late=late.append,
            )
        assert connection.is_open
        if is_awaited:
            with pytest.raises(ResponseTimeoutError):
                await late[0].receive(timeout_s=0.05, rest_s=0.05)
        else:
            late[0].discard()
        return connection.is_open

    assert not asyncio.run(run())
