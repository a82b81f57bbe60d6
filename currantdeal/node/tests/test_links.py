"""Both ends of links through other entries, with real sockets."""

import asyncio
import gc
import random
from contextlib import asynccontextmanager, suppress

import pytest

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.adapters.metrics import Metrics
from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.node.connection_pool import ConnectionPool
from currantdeal.node.errors import (
    ConnectError,
    ConnectRefusedError,
    InvalidResponseError,
    LinkError,
)
from currantdeal.node.exchange import exchange
from currantdeal.node.head import Outgoing
from currantdeal.node.http_server import HttpServer
from currantdeal.node.link_client import LinkClient
from currantdeal.node.link_messages import LinkCall
from currantdeal.node.link_server import LinkServer
from currantdeal.node.peer_watch import LOOK_INTERVAL_S, peer_watch
from currantdeal.node.peers import FrameReader, pack_frame
from currantdeal.platform.calls import PlatformCalls
from currantdeal.policy.health.links import CheckResult, Links, Reach
from currantdeal.policy.placement.helper_choice import HelperChoice
from currantdeal.testing.platform_upstream import HEALTH_PATH, StandInUpstream
from currantdeal.testing.stalled_peers import LateReader, small_socket

TIMEOUT_S = 1.0
CUT = CheckResult(direct=False, others=Reach.REACHED)


class _World:
    """An asking pool, helpers and an upstream."""

    def __init__(self, *, standin, helpers):
        self.standin = standin
        self.helpers = helpers
        self.pool = ConnectionPool()
        self.pool.connector.link_client = LinkClient(
            choice=HelperChoice(random=random.Random(1)),
            groups=lambda: (tuple(_address(h) for h in helpers),),
            metrics=Metrics(),
        )

    def cut(self, links=None):
        """Cut the asking end, or another one, from the upstream."""
        links = links or self.pool.connector.links
        links.doubt(self.standin.address, now_s=0.0)
        links.record_check(self.standin.address, CUT, now_s=0.0)

    async def ask(self, *, timeout_s=TIMEOUT_S):
        """Send a health check on a new connection."""
        call = PlatformCalls().check_health(self.standin.address, HEALTH_PATH)
        return await exchange(
            self.pool, self.standin.address, call, timeout_s=timeout_s
        )


def _address(server):
    return "{}:{}".format(*server.address)


@asynccontextmanager
async def _world(*, helpers=2, script=None, standin=None):
    standin = standin or StandInUpstream(script=script)
    await standin.start()
    servers = []
    for _ in range(helpers):
        server = LinkServer(
            links=Links(),
            is_upstream=lambda address: address == standin.address,
            on_doubt=lambda address, why: None,
            metrics=Metrics(),
        )
        await server.start("127.0.0.1", 0)
        servers.append(server)
    yield _World(standin=standin, helpers=servers)


def _run(test, **options):
    async def run():
        async with _world(**options) as world:
            return await test(world)

    return asyncio.run(run())


def test_cut_link_leads_through_another_entry():
    """Guards against an entry that has no way to an upstream others reach."""

    async def test(world):
        world.cut()
        head, _ = await world.ask()
        assert head.status == 200
        assert sum(server.open_links for server in world.helpers) == 1

    _run(test)


@pytest.mark.parametrize("is_cut_in_use", [False, True])
def test_direct_connection_is_not_used_while_its_link_is_cut(is_cut_in_use):
    """Guards against requests on a link that flaps, before it is sound."""

    async def test(world):
        pool, address = world.pool, world.standin.address
        call = PlatformCalls().check_health(address, HEALTH_PATH)
        connection = await pool.acquire(address, call)
        if is_cut_in_use:
            world.cut()
        pool.release(connection)
        if not is_cut_in_use:
            world.cut()
        assert not pool.is_connected(address)
        chosen = await pool.acquire(address, call, retryable=True)
        assert chosen.helper

    _run(test)


@pytest.mark.parametrize("is_back", [True, False])
def test_link_that_answers_again_is_used_if_no_helper_reaches(is_back):
    """Guards against refusals in a hold time during which helpers are cut."""

    async def test(world):
        world.cut()
        world.cut(world.helpers[0].links)
        world.pool.connector.links.record_check(
            world.standin.address, CheckResult(direct=is_back), now_s=1.0
        )
        if is_back:
            head, _ = await world.ask()
            assert head.status == 200
            assert not world.pool.is_connected(world.standin.address)
        else:
            with pytest.raises(LinkError):
                await world.ask()

    _run(test, helpers=1)


def test_refusal_of_a_sound_helper_proves_the_end_of_a_process():
    """Guards against a crash that is not recognised any more."""

    async def test(world):
        world.standin.stop()
        with pytest.raises(ConnectRefusedError):
            await world.ask()

    _run(test)


def test_refusal_without_a_sound_helper_proves_nothing():
    """Guards against sound upstreams that cut entries declare crashed."""

    async def test(world):
        world.standin.stop()
        for server in world.helpers:
            server.links.doubt("another", now_s=0.0)
        with pytest.raises(ConnectError) as found:
            await world.ask()
        assert not found.value.has_ended

    _run(test)


@pytest.mark.parametrize("obstacle", ["stopping", "cut", "unknown"])
def test_helper_that_cannot_help_is_passed_over(obstacle):
    """Guards against a request lost to a helper that stops or is cut, too."""

    async def test(world):
        world.cut()
        first, second = world.helpers
        if obstacle == "stopping":
            first.stop()
        elif obstacle == "cut":
            world.cut(first.links)
        else:
            first._is_upstream = lambda address: False
        for _ in range(4):
            head, _ = await world.ask()
            assert head.status == 200
            world.pool.close_idle(world.standin.address)
        assert second.open_links or not first.open_links

    _run(test)


def test_connection_is_never_forwarded_twice():
    """Guards against loops of entries that are all cut."""

    async def test(world):
        world.cut()
        for server in world.helpers:
            world.cut(server.links)
        with pytest.raises(LinkError):
            await world.ask()
        assert world.standin.requests == []

    _run(test)


async def _answer_without_length(standin, request, writer, *, resets):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
    await writer.drain()
    set_reset_on_close(writer.get_extra_info("socket"), resets)
    writer.close()
    return True


@pytest.mark.parametrize("resets", [False, True])
def test_reset_of_an_answer_without_length_stays_a_reset(resets):
    """Guards against a broken answer that ends as complete on a link."""

    async def script(standin, request, writer):
        return await _answer_without_length(
            standin, request, writer, resets=resets
        )

    async def test(world):
        world.cut()
        if not resets:
            _, body = await world.ask()
            assert body == b"part"
            return
        with pytest.raises(InvalidResponseError):
            await world.ask()

    _run(test, script=script)


async def _begin_answer(standin, request, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
    await writer.drain()
    await asyncio.sleep(10.0)
    return True


def test_connection_through_a_helper_that_left_meanwhile_is_not_kept():
    """Guards against requests that are cut when a stopped helper ends."""

    async def test(world):
        world.cut()
        address = world.standin.address
        connection = await world.pool.open(address)
        world.pool.release(connection)
        assert world.pool.is_connected(address)
        call = PlatformCalls().check_health(address, HEALTH_PATH)
        connection = await world.pool.acquire(address, call, retryable=True)
        world.helpers.clear()
        world.pool.release(connection)
        assert not world.pool.is_connected(address)

    _run(test, helpers=1)


def test_lost_helper_does_not_end_an_answer():
    """Guards against a part taken for whole when the helper is killed."""

    async def test(world):
        world.cut()
        asked = asyncio.ensure_future(world.ask(timeout_s=5.0))
        while not any(server.open_links for server in world.helpers):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        for server in world.helpers:
            server.abort()
        with pytest.raises(InvalidResponseError):
            await asked

    _run(test, script=_begin_answer)


def test_hang_up_reaches_the_upstream():
    """Guards against work for a caller who has left, behind a helper."""

    async def test(world):
        world.cut()
        asked = asyncio.ensure_future(world.ask(timeout_s=5.0))
        while not world.standin.requests:
            await asyncio.sleep(0.01)
        asked.cancel()
        async with asyncio.timeout(0.5):
            while any(server.open_links for server in world.helpers):
                await asyncio.sleep(0.01)

    _run(test, script=_begin_answer)


@pytest.mark.parametrize(
    "raw",
    [
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"\x00\x00\x00\x04abcd",
        b"\xff\xff\xff\xff",
        pack_frame(
            FrameKind.CALL, 1, LinkCall(address="127.0.0.1:22", timeout_s=1.0)
        )
        + b"more",
    ],
    ids=["http", "no frame", "endless", "frame and more"],
)
def test_helper_closes_what_is_no_call(raw):
    """Guards against bytes that make a helper hang, fail or connect."""

    async def test(world):
        reader, writer = await asyncio.open_connection(
            *world.helpers[0].address
        )
        writer.write(raw)
        async with asyncio.timeout(2.0):
            with suppress(ConnectionError):
                assert await reader.read() == b""
        assert world.standin.requests == []

    _run(test)


def test_caller_cannot_ask_for_a_link():
    """Guards against a caller's bytes that pass for another entry's call."""

    async def handle(request, responder):
        responder.answer(200, (), b"")

    async def test(world):
        server = HttpServer(handler=handle)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.address)
        call = LinkCall(address=world.standin.address, timeout_s=1.0)
        writer.write(pack_frame(FrameKind.CALL, 1, call))
        writer.write_eof()
        assert not (await reader.read()).startswith(b"HTTP/1.1 2")
        assert world.standin.requests == []

    _run(test)


LATE_S = 8.0
LARGE_BYTES = 6_000_000
LARGE_HEADERS = (
    (b"host", b"u"),
    (b"content-length", b"%d" % LARGE_BYTES),
)
ANSWER = b"x" * 60_000


async def _answer_and_close(standin, request, writer):
    standin.send(request, writer, 200, ANSWER, "Connection: close")
    await writer.drain()
    writer.close()
    return True


async def _open_raw(helper, address):
    """Return a socket with a small receive buffer and a link of its own."""
    loop = asyncio.get_running_loop()
    sock = small_socket()
    await loop.sock_connect(sock, helper.address)
    call = LinkCall(address=address, timeout_s=TIMEOUT_S)
    await loop.sock_sendall(sock, pack_frame(FrameKind.CALL, 1, call))
    reader = FrameReader()
    while reader.receive(await loop.sock_recv(sock, 1_024)) is None:
        pass
    return sock


def test_end_of_an_answer_is_kept_for_an_entry_that_reads_late():
    """Guards against the kernel, which drops what no process holds."""

    async def test(world):
        loop = asyncio.get_running_loop()
        address = world.standin.address
        sock = await _open_raw(world.helpers[0], address)
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        await loop.sock_sendall(sock, request)
        await asyncio.sleep(LATE_S)
        received = bytearray()
        while data := await loop.sock_recv(sock, 65_536):
            received += data
        sock.close()
        return bytes(received)

    answer = _run(test, helpers=1, script=_answer_and_close)
    assert answer.partition(b"\r\n\r\n")[2] == ANSWER


@pytest.mark.parametrize("steps", range(1, 9))
def test_call_for_a_link_may_be_cancelled_at_any_step(steps):
    """Guards against an error that nobody awaits, and that is then logged."""
    unhandled = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: unhandled.append(found))
        async with _world(helpers=1) as world:
            world.cut()
            task = asyncio.ensure_future(world.ask())
            for _ in range(steps):
                await asyncio.sleep(0.0)
            task.cancel()
            # Nothing refers to the connection after the next look at it.
            await asyncio.sleep(2 * LOOK_INTERVAL_S)
            gc.collect()

    asyncio.run(run())
    assert unhandled == []


def test_connection_through_a_helper_is_watched_once():
    """Guards against two watches that undo each other's socket options."""

    async def test():
        upstream = LateReader(stall_s=1.0)
        async with _world(helpers=1, standin=upstream) as world:
            world.cut()
            connection = await world.pool.open(upstream.address)
            connection.send(
                Outgoing(
                    method="POST",
                    target="/order/1",
                    headers=LARGE_HEADERS,
                    body=b"x" * LARGE_BYTES,
                )
            )
            await asyncio.sleep(2 * LOOK_INTERVAL_S)
            transport = connection._transport
            waiting = [
                peer
                for peer in peer_watch()._waiting
                if peer.transport is transport
            ]
            connection.close()
            await asyncio.sleep(1.0)
        return len(waiting)

    assert asyncio.run(test()) == 1


def test_rest_of_a_request_is_dropped_once_its_answer_has_ended(caplog):
    """Guards against a log line for each part that nobody takes any more."""

    async def answer_early(standin, request, writer):
        writer.write(b"HTTP/1.1 413 Large\r\nConnection: close\r\n\r\n")
        await writer.drain()
        writer.write_eof()
        return True

    async def test(world):
        loop = asyncio.get_running_loop()
        sock = await _open_raw(world.helpers[0], world.standin.address)
        request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
        await loop.sock_sendall(sock, request)
        received = bytearray()
        while data := await loop.sock_recv(sock, 65_536):
            received += data
        with suppress(ConnectionError):
            for _ in range(32):
                await loop.sock_sendall(sock, b"x" * 16_384)
                await asyncio.sleep(0.005)
        sock.close()
        return bytes(received)

    answer = _run(test, helpers=1, script=answer_early)
    assert answer.startswith(b"HTTP/1.1 413")
    assert [r.getMessage() for r in caplog.records] == []
