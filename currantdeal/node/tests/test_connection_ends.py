"""What an entry says about the ends of its callers' connections."""

import asyncio
import socket
import struct

import pytest
from structlog.testing import capture_logs

from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.peer_watch import LOOK_INTERVAL_S, peer_watch
from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stalled_peers import drop_packets, small_socket

LARGE_BYTES = 4_194_304
ORDER = request_bytes("/order/1", close=False)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def _never(standin, request, writer):
    if not request.is_system_call:
        await asyncio.sleep(30.0)
    return False


async def _at_length(standin, request, writer):
    if request.is_system_call:
        return False
    standin.send(request, writer, 200, b"x" * LARGE_BYTES)
    await writer.drain()
    return True


def _close(sock):
    sock.close()


def _reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


async def _lines(script, act, *, event, before=None, **limits):
    """Return the lines of an event after a caller's order and its act."""
    standin = StandInUpstream(upstream="u1", script=script)
    await standin.start()
    loop = asyncio.get_running_loop()
    names = {
        "MaxHeaderBytes": 4_096,
        "MaxBodyBytes": 65_536,
        "HeaderTimeoutMs": 400,
        "IdleTimeoutMs": 5_000,
        **limits,
    }
    config = config_body(timeout_ms=9_000, limits=names)
    async with entry_world(config=config) as world:
        world.announce(standin)
        if before is not None:
            before(world)
        with small_socket() as sock, capture_logs() as logs:
            await loop.sock_connect(sock, world.address)
            await loop.sock_sendall(sock, ORDER)
            await asyncio.sleep(3 * LOOK_INTERVAL_S)
            act(sock)
            async with asyncio.timeout(4.0):
                while not any(line["event"] == event for line in logs):
                    await asyncio.sleep(0.05)
    return [line for line in logs if line["event"] == event]


@pytest.mark.parametrize(
    ("act", "outcome"),
    [
        (_close, "cancelled: the caller closed its connection"),
        (_reset, "cancelled: the caller reset its connection"),
    ],
)
def test_line_of_a_cancelled_request_tells_how_its_caller_left(act, outcome):
    """Guards against ends of connections that no log tells apart."""
    lines = asyncio.run(_lines(_never, act, event="request-ended"))
    assert [line["outcome"] for line in lines] == [outcome]


def _bound_memory(world):
    unsent = BufferedAnswers(limit_bytes=1, measure=lambda w: w.unsent_bytes)
    world.server.unsent = unsent


def _report_no_facts(world):
    peer_watch()._has_facts = False


def _nothing(sock):
    pass


@pytest.mark.parametrize(
    ("act", "before", "limits", "why"),
    [
        (_reset, None, {}, "the caller reset its connection"),
        (drop_packets, None, {}, "the caller acknowledged nothing any more"),
        (
            drop_packets,
            _report_no_facts,
            {},
            "the kernel gave up the connection",
        ),
        (_nothing, _bound_memory, {}, "untaken answers take too much memory"),
        (
            _nothing,
            None,
            {"IdleTimeoutMs": 300},
            "the caller took nothing for the idle timeout",
        ),
    ],
)
def test_answer_that_is_not_taken_leaves_a_line(act, before, limits, why):
    """Guards against an answer that is lost after its request has ended."""
    (line,) = asyncio.run(
        _lines(
            _at_length, act, event="answer-untaken", before=before, **limits
        )
    )
    assert line["why"] == why
    assert line["request"] == "r-1"
    assert 0 < line["untaken_bytes"] <= LARGE_BYTES + 4_096


def _take_all(sock):
    sock.setblocking(True)
    sock.settimeout(2.0)
    received = b""
    while not received.endswith(b"ok"):
        received += sock.recv(65_536)
    sock.close()


def test_answer_that_was_taken_at_once_leaves_no_line():
    """Guards against callers who close soon being counted as losses."""

    async def run():
        standin = StandInUpstream(upstream="u1")
        await standin.start()
        async with entry_world() as world:
            world.announce(standin)
            with capture_logs() as logs:
                for _ in range(5):
                    sock = socket.create_connection(world.address)
                    sock.sendall(ORDER)
                    await asyncio.to_thread(_take_all, sock)
                await asyncio.sleep(0.2)
        return [line["event"] for line in logs]

    events = asyncio.run(run())
    assert events.count("request-ended") == 5
    assert "answer-untaken" not in events
