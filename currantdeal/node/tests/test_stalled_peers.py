"""Load pattern: peers that stop to read for a while, beside some that left.

Both let bytes pile up; only the acknowledgements of their kernels differ.
"""

import asyncio
import socket
import time

import pytest

from currantdeal.node.http_server import HttpServer
from currantdeal.node.peer_watch import LOOK_INTERVAL_S, peer_watch
from currantdeal.node.sockets import prepare_socket
from currantdeal.routing import CallerLimits
from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stalled_peers import (
    LateReader,
    admit_packets,
    drop_packets,
    exchange_with_stall,
    small_socket,
)

GONE_S = 2.0
"""Time in which a peer that acknowledges nothing is noticed."""

TIMEOUT_S = 14.0
SIZES = (10_000, 180_000, 4_194_304)
GET = b"GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
BODY = b"x" * 60_000


async def _server(size):
    async def answer(request, responder):
        responder.answer(200, (), b"x" * size)

    server = HttpServer(handler=answer, limits=CallerLimits)
    await server.start("127.0.0.1", 0)
    return server


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("stall_s", [0.5, 2.0, 4.0, 13.0])
def test_caller_who_stops_to_read_gets_the_whole_answer(stall_s, size):
    """Guards against a closed window that is taken for a lost peer."""

    async def run():
        server = await _server(size)
        return await exchange_with_stall(server.address, GET, stall_s=stall_s)

    body = asyncio.run(run()).partition(b"\r\n\r\n")[2]
    assert len(body) == size
    assert set(body) == {ord("x")}


async def _orders_at(upstream, target):
    await upstream.start()
    config = config_body(
        timeout_ms=int(TIMEOUT_S * 1e3),
        limits={
            "MaxHeaderBytes": 4_096,
            "MaxBodyBytes": 1_048_576,
            "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    )
    raw = request_bytes(target, body=BODY)
    raw = raw.replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 14000")
    async with entry_world(config=config) as world:
        world.announce(upstream)
        began_s = time.monotonic()
        answer = await world.exchange(raw, timeout_s=TIMEOUT_S)
        return answer, time.monotonic() - began_s


@pytest.mark.parametrize("target", ["/order/1", "/menu/1"])
@pytest.mark.parametrize("stall_s", [1.0, 2.0, 4.0])
def test_upstream_that_reads_a_body_late_answers(stall_s, target):
    """Guards against a busy upstream that is taken for one that left."""
    upstream = LateReader(upstream="u1", stall_s=stall_s)
    answer, _ = asyncio.run(_orders_at(upstream, target))
    assert answer.startswith(b"HTTP/1.1 200")
    assert [r.body for r in upstream.runs] == [BODY]


def test_caller_who_acknowledges_nothing_is_dropped():
    """Guards against an answer that is kept for a host without power."""

    async def run():
        server = await _server(SIZES[-1])
        loop = asyncio.get_running_loop()
        sock = small_socket()
        await loop.sock_connect(sock, server.address)
        drop_packets(sock)
        began_s = loop.time()
        await loop.sock_sendall(sock, GET)
        await asyncio.sleep(0.1)
        while server.connections:
            await asyncio.sleep(0.02)
        return loop.time() - began_s

    assert asyncio.run(run()) < GONE_S


class _Vanishing(StandInUpstream):
    """An upstream whose host loses power once it has accepted."""

    async def _serve(self, reader, writer):
        drop_packets(writer.get_extra_info("socket"))
        await super()._serve(reader, writer)


def test_upstream_that_acknowledges_nothing_is_noticed():
    """Guards against an order that waits for a host without power."""
    upstream = _Vanishing(upstream="u1")
    answer, took_s = asyncio.run(_orders_at(upstream, "/order/1"))
    assert answer.startswith(b"HTTP/1.1 502")
    assert took_s < GONE_S


def test_caller_is_waited_for_until_its_deadline():
    """Guards against an idle timeout shorter than a caller's patience."""
    upstream = StandInUpstream(upstream="u1")

    async def run():
        await upstream.start()
        limits = {
            "MaxHeaderBytes": 4_096,
            "MaxBodyBytes": 65_536,
            "HeaderTimeoutMs": 400,
            "IdleTimeoutMs": 500,
        }
        config = config_body(timeout_ms=3_000, limits=limits)
        upstream.script = _answer_at_length
        async with entry_world(config=config) as world:
            world.announce(upstream)
            raw = request_bytes("/order/1", close=False)
            return await exchange_with_stall(world.address, raw, stall_s=2.5)

    answer = asyncio.run(run())
    assert len(answer.partition(b"\r\n\r\n")[2]) == SIZES[-1]


async def _answer_at_length(standin, request, writer):
    if not request.is_system_call:
        standin.send(request, writer, 200, b"x" * SIZES[-1])
    return not request.is_system_call


class _CutForAWhile(StandInUpstream):
    """An upstream whose packets are lost until it is joined again."""

    def __init__(self, **options):
        super().__init__(**options)
        self._cut = []

    async def _serve(self, reader, writer):
        self._cut.append(writer.get_extra_info("socket"))
        drop_packets(self._cut[-1])
        await super()._serve(reader, writer)

    def join(self):
        for sock in self._cut:
            admit_packets(sock)


async def _order_beside_a_cut(cut_s):
    upstream = _CutForAWhile(upstream="u1")
    answering = asyncio.create_task(_orders_at(upstream, "/order/1"))
    await asyncio.sleep(cut_s)
    upstream.join()
    # The kernel repeats what it holds after at most 6.4 s.
    await asyncio.sleep(5.0)
    answer, _ = await answering
    return answer, upstream.runs


def test_order_that_was_given_up_is_not_delivered_later():
    """Guards against a run that begins after its caller was refused."""
    answer, runs = asyncio.run(_order_beside_a_cut(2.5))
    assert answer.startswith(b"HTTP/1.1 502")
    assert runs == []


async def _timeouts_at_the_end():
    """Return the kernel's timeouts of a kept and an aborted connection."""
    loop = asyncio.get_running_loop()
    server = await _server(1)
    peers = []
    for _ in range(2):
        transport, _ = await loop.create_connection(
            asyncio.Protocol, *server.address
        )
        peers.append(prepare_socket(transport))
        transport.write(b"x")
        peers[-1].record_write()
    await asyncio.sleep(2 * LOOK_INTERVAL_S)
    peers[1].abort()
    peer_watch().release()
    return [
        peer.transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        for peer in peers
    ]


def test_end_of_a_process_leaves_no_request_that_was_given_up():
    """Guards against an order that is delivered after its process ended."""
    kept_ms, aborted_ms = asyncio.run(_timeouts_at_the_end())
    assert kept_ms == 0
    assert aborted_ms > 0
