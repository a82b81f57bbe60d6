"""Connections that end before a request is sent, with real sockets."""

import asyncio
import math
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.node.errors import (
    ConnectError,
    ConnectionEndedError,
    InvalidResponseError,
    UnsendableRequestError,
)
from currantdeal.node.exchange import exchange
from currantdeal.node.head import Outgoing
from currantdeal.policy.answers.reset_outcome import ExchangePhase
from currantdeal.testing.platform_upstream import StandInUpstream

ID_HEADER = b"x-currantdeal-request-id"
DELAY_S = 0.05
ENDS = ["close", "reset", "answer"]


class _EndingUpstream(StandInUpstream):
    """Ends its first connections before it has received anything."""

    def __init__(self, *, endings, end="close"):
        super().__init__()
        self._endings = endings
        self._end = end
        self.accepted = 0

    async def _serve(self, reader, writer):
        self.accepted += 1
        if self.accepted > self._endings:
            await super()._serve(reader, writer)
            return
        if self._end == "answer":
            writer.write(b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n")
        sock = writer.get_extra_info("socket")
        set_reset_on_close(sock, self._end == "reset")
        writer.close()


def _request(**options):
    return Outgoing(
        method="POST",
        target="/order/1",
        headers=((b"host", b"u"), (ID_HEADER, b"r-1")),
        id_header=ID_HEADER,
        **options,
    )


@asynccontextmanager
async def _pool(standin):
    """Yield a pool whose new connections take a while to be used.

    So do those that are one of several ways to an upstream.
    """
    await standin.start()
    pool = ConnectionPool()
    open_now = pool.connector.open

    async def open_late(address, *, timeout_s):
        connection = await open_now(address, timeout_s=timeout_s)
        await asyncio.sleep(DELAY_S)
        return connection

    pool.connector.open = open_late
    yield pool
    standin.stop()


@pytest.mark.parametrize("end", ENDS)
def test_request_is_sent_on_another_connection_if_a_new_one_has_ended(end):
    """Guards against a request that fails though nothing of it was sent."""
    charges = []

    async def run():
        standin = _EndingUpstream(endings=1, end=end)
        async with _pool(standin) as pool:
            outgoing = _request(
                is_id_echoed=True, on_send=lambda: charges.append(1)
            )
            head, _ = await exchange(
                pool, standin.address, outgoing, timeout_s=1.0
            )
        return head, standin

    head, standin = asyncio.run(run())
    assert head.status == 200
    assert len(standin.requests) == len(charges) == 1
    assert standin.accepted == 2


@pytest.mark.parametrize("end", ENDS)
def test_upstream_that_ends_every_connection_is_not_reached(end):
    """Guards against endless attempts, and a request counted as sent."""
    charges = []

    async def run():
        standin = _EndingUpstream(endings=math.inf, end=end)
        async with _pool(standin) as pool:
            outgoing = _request(on_send=lambda: charges.append(1))
            with pytest.raises(ConnectError) as caught:
                await exchange(pool, standin.address, outgoing, timeout_s=1.0)
        return caught.value, standin

    exc, standin = asyncio.run(run())
    assert not exc.sent
    assert charges == standin.requests == []
    assert standin.accepted == 2


@pytest.mark.parametrize("end", ENDS)
def test_nothing_is_sent_on_a_connection_that_has_ended(end):
    """Guards against an error of the parser that no user expects."""
    charges = []

    async def run():
        standin = _EndingUpstream(endings=1, end=end)
        await standin.start()
        connection = await ConnectionPool().open(standin.address)
        assert connection.is_usable()
        await asyncio.sleep(DELAY_S)
        assert not connection.is_usable(retryable=True)
        with pytest.raises(ConnectionEndedError) as caught:
            connection.send(_request(on_send=lambda: charges.append(1)))
        return caught.value, connection

    exc, connection = asyncio.run(run())
    assert exc.phase is ExchangePhase.CONNECTING
    assert not connection.used
    assert charges == []


def test_idle_connection_that_has_ended_is_not_chosen():
    """Guards against the reuse of a connection whose upstream has left."""

    async def run():
        standin = StandInUpstream(script=_close_after_answer)
        await standin.start()
        pool = ConnectionPool()
        connections = []
        for number in range(3):
            outgoing = replace(
                _request(),
                headers=((ID_HEADER, b"%d" % number), (b"host", b"u")),
            )
            head, _ = await exchange(
                pool, standin.address, outgoing, timeout_s=1.0
            )
            assert head.status == 200
            connections.append(standin.open_connections)
            await asyncio.sleep(DELAY_S)
            assert not pool.is_connected(standin.address)
        return standin

    assert len(asyncio.run(run()).requests) == 3


async def _close_after_answer(standin, request, writer):
    await standin.answer(request, writer)
    writer.close()
    return True


def test_lost_request_counts_as_sent_if_no_other_connection_opens():
    """Guards against a request that may have run and counts as unsent."""

    async def reset_second(standin, request, writer):
        if len(standin.requests) == 2:
            writer.transport.abort()
            return True
        return False

    async def run():
        standin = StandInUpstream(script=reset_second)
        await standin.start()
        pool = ConnectionPool()
        outgoing = _request()
        await exchange(pool, standin.address, outgoing, timeout_s=1.0)

        async def open_none(address, *, timeout_s):
            raise ConnectError(f"{address} does not accept connections")

        pool.connector.open = open_none
        again = replace(
            outgoing, headers=((ID_HEADER, b"r-2"), (b"host", b"u"))
        )
        await exchange(
            pool, standin.address, again, timeout_s=1.0, retryable=True
        )

    with pytest.raises(InvalidResponseError) as caught:
        asyncio.run(run())
    assert caught.value.sent
    assert not caught.value.has_ended


@pytest.mark.parametrize(
    "fault",
    [
        {"headers": ((b"host", b"u"), (b"x-illegal", b"a\x00b"))},
        {"headers": ()},
        {"target": "/a b"},
        {"method": "B D"},
    ],
)
def test_request_that_cannot_be_encoded_is_not_sent(fault):
    """Guards against an error of the parser for bytes of other parties."""
    charges = []

    async def run():
        standin = StandInUpstream()
        await standin.start()
        request = _request(on_send=lambda: charges.append(1))
        with pytest.raises(UnsendableRequestError):
            await exchange(
                ConnectionPool(),
                standin.address,
                replace(request, **fault),
                timeout_s=1.0,
            )
        return standin

    assert asyncio.run(run()).requests == charges == []
