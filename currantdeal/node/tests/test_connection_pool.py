import asyncio

import pytest

from currantdeal.node.connection_pool import ConnectionPool, exchange
from currantdeal.node.errors import BrokenAnswerError
from currantdeal.node.head import Outgoing
from currantdeal.testing.platform_upstream import StandInUpstream

CALL = Outgoing(
    method="POST", target="/v1/hold-take", headers=((b"host", b"u"),)
)


async def _reset_on_second(standin, request, writer):
    if len(standin.seen) == 2:
        writer.transport.abort()
        return True
    return False


async def _twice(*, harmless):
    standin = StandInUpstream(script=_reset_on_second)
    await standin.start()
    pool = ConnectionPool()
    for _ in range(2):
        head, _ = await exchange(
            pool, standin.address, CALL, timeout_s=1.0, harmless=harmless
        )
    return head, standin


def test_a_reservation_outlives_a_connection_that_was_given_up():
    """An upstream drops a kept connection without a word.

    What is sent next on it is reset.  Unless the reservation is sent again,
    the engine counts as out of reach for half a second and its caller is
    sent elsewhere.
    """
    head, standin = asyncio.run(_twice(harmless=True))
    assert head.status == 200
    assert len(standin.seen) == 3


def test_what_may_run_once_is_not_sent_again():
    """The same happens to a request that may have run before the reset."""
    with pytest.raises(BrokenAnswerError) as caught:
        asyncio.run(_twice(harmless=False))
    assert caught.value.sent


async def _ends_on_second(standin, request, writer):
    if len(standin.seen) == 2:
        standin.stop()
        writer.transport.abort()
        return True
    return False


def test_request_under_which_an_upstream_ended_counts_as_sent():
    """Guards against a crash that is taken for a refused connection."""

    async def run():
        standin = StandInUpstream(script=_ends_on_second)
        await standin.start()
        pool = ConnectionPool()
        for _ in range(2):
            await exchange(
                pool, standin.address, CALL, timeout_s=1.0, harmless=True
            )

    with pytest.raises(BrokenAnswerError) as caught:
        asyncio.run(run())
    assert caught.value.sent


def _is_kept(kept, *, idle_s, harmless):
    """Return whether a second exchange finds the connection of the first."""

    async def script(standin, request, writer):
        standin.send(request, writer, 200, b"ok", *kept)
        await writer.drain()
        return True

    async def run():
        loop = asyncio.get_running_loop()
        standin = StandInUpstream(script=script)
        await standin.start()
        pool = ConnectionPool()
        await exchange(pool, standin.address, CALL, timeout_s=1.0)
        began_s = loop.time()
        loop.time = lambda: began_s + idle_s
        connection = await pool.take(standin.address, harmless=harmless)
        return connection.used

    return asyncio.run(run())


def test_an_idle_connection_serves_as_long_as_the_upstream_says():
    """Eighty entries ask an engine every six seconds each.

    If each of them opened a connection every time, the engine would spend a
    millisecond of its work on each, and its users would pay for it.
    """
    named = ("Keep-Alive: timeout=10",)
    assert _is_kept(named, idle_s=7.0, harmless=True)
    assert not _is_kept(named, idle_s=9.0, harmless=True)
    assert not _is_kept(named, idle_s=7.0, harmless=False)
    assert _is_kept(named, idle_s=3.0, harmless=False)
    assert not _is_kept((), idle_s=5.0, harmless=True)
