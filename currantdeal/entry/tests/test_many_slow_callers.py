"""Load pattern: noisy neighbours, many of whom stop to read their answers."""

import asyncio
import socket
import time

import pytest

from currantdeal.node.buffered_answers import MAX_BUFFERED_BYTES
from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stalled_peers import (
    SMALL_BUFFER_BYTES,
    exchange_with_stall,
    stream_of,
)

CALLERS = 300
ENGINES = 4
STALL_S = 4.0
TARGET_S = 3.0
"""Target of the streams, which all begin within a moment."""

ORDINARY_TARGET_S = 0.3
SMALL_GENERATION = (
    "X-Currantdeal-Model: m",
    "X-Currantdeal-Token-Counts: 30,9",
    "X-Currantdeal-Length-Hint: 5",
)


def _note(number):
    raw = request_bytes("/note/1", more=SMALL_GENERATION)
    return raw.replace(b"Id: r-1", b"Id: r-%d" % number)


async def _start(world, size):
    engines = [StandInUpstream(upstream="p1")]
    for number in range(ENGINES):
        engine = StandInUpstream(
            upstream=f"d{number + 1}", script=stream_of(lambda: size)
        )
        engines.append(engine)
    shop = StandInUpstream()
    for upstream in (*engines, shop):
        await upstream.start()
    world.announce_engines(*engines)
    world.announce(shop)
    return [engine.upstream for engine in engines]


def _limit_send_buffers(world):
    """Let answers wait in the process instead of in the kernel."""
    (listener,) = world.server._listeners[0].sockets
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
    )


async def _begin_slow(world):
    """Start the callers; returns their tasks once all upstreams ended."""
    tasks = []
    for number in range(CALLERS):
        work = exchange_with_stall(
            world.address, _note(number), stall_s=STALL_S
        )
        tasks.append(asyncio.ensure_future(work))
        if number % 10 == 0:
            await asyncio.sleep(0.01)
    while world.server.active_requests:
        await asyncio.sleep(0.05)
    return tasks


async def _slowest_s(world):
    """Return the latency of the slowest of some ordinary requests."""
    slowest_s = 0.0
    for _ in range(40):
        began_s = time.monotonic()
        answer = await world.exchange(request_bytes("/menu/1"))
        slowest_s = max(slowest_s, time.monotonic() - began_s)
        assert answer.startswith(b"HTTP/1.1 200")
    return slowest_s


async def _peaks(world, peaks):
    while True:
        peaks["unsent"].append(world.server.unsent.total_bytes)
        peaks["unread"].append(world.context.pool.buffered_bytes)
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("size", [20_000, 180_000])
def test_hundreds_of_slow_callers_cost_the_others_nothing(size):
    """Guards against memory, slots and time that slow callers take."""
    peaks = {"unsent": [], "unread": []}

    async def run():
        config = config_body(timeout_ms=14_000, target_ms=int(TARGET_S * 1e3))
        async with entry_world(config=config) as world:
            _limit_send_buffers(world)
            engines = await _start(world, size)
            watch = asyncio.ensure_future(_peaks(world, peaks))
            tasks = await _begin_slow(world)
            health = world.context.health
            held = {
                "load": world.context.load.report(unreachable=()).held,
                "unread": world.context.pool.buffered_bytes,
                "outstanding": sum(map(health.outstanding, engines)),
                "ejected": set(health.ejected(now_s=world.context.now_s)),
            }
            slowest_s = await _slowest_s(world)
            answers = await asyncio.gather(*tasks)
            watch.cancel()
            return held, slowest_s, answers

    held, slowest_s, answers = asyncio.run(run())
    assert not any(held.values()), held
    assert slowest_s < ORDINARY_TARGET_S
    assert max(peaks["unsent"]) <= MAX_BUFFERED_BYTES
    assert max(peaks["unread"]) <= MAX_BUFFERED_BYTES
    whole = [a for a in answers if a.endswith(b"0\r\n\r\n")]
    assert all(answer.count(b"x") >= size for answer in whole)
    most = MAX_BUFFERED_BYTES // (2 * size)
    assert len(whole) >= min(CALLERS, most)
