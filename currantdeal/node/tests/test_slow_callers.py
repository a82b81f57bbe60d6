"""Load pattern: callers that read, or send, slower than they could."""

import asyncio
import socket

import pytest

from currantdeal.adapters import watched_socket
from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.http_server import HttpServer
from currantdeal.node.peer_watch import peer_watch
from currantdeal.node.response_writer import MAX_UNTAKEN_S
from currantdeal.routing import CallerLimits
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream, send_chunk

ANSWER_BYTES = 4_194_304
LIMIT_BYTES = 2 * ANSWER_BYTES
NOTE = request_bytes("/note/1", more=GENERATION)
GET = b"GET /large HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def _server(handler, **limits):
    server = HttpServer(handler=handler, limits=lambda: CallerLimits(**limits))
    server.unsent = BufferedAnswers(
        limit_bytes=LIMIT_BYTES, measure=lambda writer: writer.unsent_bytes
    )
    server.unread = BufferedAnswers(limit_bytes=LIMIT_BYTES)
    await server.start("127.0.0.1", 0)
    return server


async def _caller_who_does_not_read(address, raw):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, raw)
    return sock


async def _large_answer(request, responder):
    responder.answer(200, (), b"x" * ANSWER_BYTES)


def test_answers_that_nobody_takes_are_bounded_in_sum():
    """Guards against memory that grows with the callers who don't read."""

    async def run():
        server = await _server(_large_answer)
        slow = [
            await _caller_who_does_not_read(server.address, GET)
            for _ in range(6)
        ]
        await asyncio.sleep(0.3)
        held = [c._writer.unsent_bytes for c in server.connections]
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(GET)
        answer = await read_to_end(reader)
        for sock in slow:
            sock.close()
        await asyncio.sleep(0.1)
        return sum(held), len(answer), server.unsent.total_bytes

    held, answered, left = asyncio.run(run())
    assert held <= LIMIT_BYTES
    assert answered > ANSWER_BYTES
    assert left == 0


def test_large_answer_is_not_displaced_by_many_that_nobody_takes():
    """Guards against slow callers who cost others their answers."""
    small = GET.replace(b"/large", b"/small")

    async def handle(request, responder):
        is_small = request.head.target == "/small"
        size = ANSWER_BYTES // 16 if is_small else ANSWER_BYTES
        responder.answer(200, (), b"x" * size)

    async def run():
        server = await _server(handle)
        (listener,) = server._listeners[0].sockets
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        slow = [
            await _caller_who_does_not_read(server.address, small)
            for _ in range(40)
        ]
        await asyncio.sleep(1.5)
        kept = server.unsent.total_bytes
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(GET)
        answer = await read_to_end(reader)
        for sock in slow:
            sock.close()
        return kept, answer

    kept, answer = asyncio.run(run())
    assert kept > LIMIT_BYTES - ANSWER_BYTES // 8
    assert len(answer.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES


def test_answer_that_is_never_taken_is_dropped_after_the_idle_timeout():
    """Guards against holding an answer for as long as a caller likes."""

    async def run():
        server = await _server(_large_answer, idle_timeout_s=0.3)
        raw = GET.replace(b"Connection: close\r\n", b"")
        slow = await _caller_who_does_not_read(server.address, raw)
        await asyncio.sleep(0.8)
        slow.close()
        return len(server.connections)

    assert asyncio.run(run()) == 0


def test_bodies_being_received_are_bounded_in_sum():
    """Guards against memory that grows with the callers who send slowly."""

    async def run():
        server = await _server(
            _large_answer, max_body_bytes=ANSWER_BYTES, header_timeout_s=5.0
        )
        part = b"x" * (ANSWER_BYTES - 1)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        callers = []
        for _ in range(6):
            callers.append(await asyncio.open_connection(*server.address))
            callers[-1][1].write(head % ANSWER_BYTES + part)
        await asyncio.sleep(0.5)
        held = sum(len(c._body) for c in server.connections)
        statuses = []
        for reader, writer in callers:
            writer.write(b"x")
            statuses.append((await reader.readline())[9:12])
            writer.close()
        return held, statuses

    held, statuses = asyncio.run(run())
    assert held <= LIMIT_BYTES
    assert set(statuses) == {b"200", b"503"}
    assert statuses.count(b"503") >= 6 - LIMIT_BYTES // ANSWER_BYTES


@pytest.mark.parametrize("reads", [False, True])
def test_stream_of_a_caller_who_takes_nothing_leaves_its_engine(reads):
    """Guards against an engine that holds memory for an unread answer.

    A caller who starts to read in time gets the whole answer.
    """
    chunk = b"id: 1\ndata: " + b"x" * 16_384 + b"\n\n"
    chunks = 2_048

    async def run():
        closed = asyncio.Event()

        async def endless(standin, request, writer):
            if not request.is_generation or request.is_prefill:
                return False
            standin.begin_stream(request, writer)
            try:
                for _ in range(chunks):
                    send_chunk(writer, chunk)
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
            except ConnectionError:
                closed.set()
                raise
            return True

        engines = [
            StandInUpstream(upstream="p1"),
            StandInUpstream(upstream="d1", script=endless),
        ]
        for engine in engines:
            await engine.start()
        config = config_body(timeout_ms=60_000)
        raw = NOTE.replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 59000")
        async with entry_world(config=config) as world:
            world.announce_engines(*engines)
            sock = await _caller_who_does_not_read(world.address, raw)
            if reads:
                await asyncio.sleep(MAX_UNTAKEN_S / 2)
                reader, _ = await asyncio.open_connection(sock=sock)
                return (await read_to_end(reader)).count(b"data: ")
            async with asyncio.timeout(3 * MAX_UNTAKEN_S):
                await closed.wait()
            sock.close()
            return world.context.pool.buffered_bytes

    assert asyncio.run(run()) == (chunks if reads else 0)


def test_answer_that_is_being_taken_is_no_request_in_receipt(monkeypatch):
    """Guards against a refusal in the log of an answer that is whole.

    The system reports no facts of connections, so that they don't linger.
    """
    monkeypatch.setattr(watched_socket, "read_facts", lambda sock: None)
    refused = []

    async def run():
        monkeypatch.setattr(peer_watch(), "_has_facts", False)
        server = await _server(_large_answer)
        server.on_refused = lambda *reason: refused.append(reason)
        slow = await _caller_who_does_not_read(server.address, GET)
        await asyncio.sleep(0.3)
        receiving = server.receiving
        server.refuse_incoming("stopping", choose_retry_after_s=lambda: 1.0)
        reader, writer = await asyncio.open_connection(sock=slow)
        answer = await read_to_end(reader)
        writer.close()
        return receiving, len(answer.partition(b"\r\n\r\n")[2])

    assert asyncio.run(run()) == (0, ANSWER_BYTES)
    assert refused == []
