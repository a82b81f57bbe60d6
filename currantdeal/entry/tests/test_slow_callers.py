"""Load pattern: callers that stop to read while their upstreams go on."""

import asyncio
import re
import time

import pytest
import structlog

from currantdeal.node.response_writer import MAX_READ_AHEAD_BYTES
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_numbers,
)
from currantdeal.testing.stalled_peers import (
    UNREAD_STALL_S,
    exchange_with_stall,
    impatient_stream,
    stream_of,
)

TIMEOUT_S = 14.0
IDLE_S = 1.0
SIZES = (10_000, 180_000, 4_194_304)
CONFIG = config_body(
    timeout_ms=int(TIMEOUT_S * 1e3),
    limits={
        "MaxHeaderBytes": 4_096,
        "MaxBodyBytes": 65_536,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": int(IDLE_S * 1e3),
    },
)
_EVENT = re.compile(rb"(?<=\n)id: (\d+)\ndata: (x+)\n\n")


def _note(*, patience_s=TIMEOUT_S, number=1):
    raw = request_bytes("/note/1", more=GENERATION)
    raw = raw.replace(b"Id: r-1", b"Id: r-%d" % number)
    patience = b"Deadline-Ms: %d" % int(patience_s * 1e3)
    return raw.replace(b"Deadline-Ms: 3000", patience)


async def _start_engines(script, *, decode=1):
    engines = [StandInUpstream(upstream="p1")]
    for number in range(decode):
        name = f"d{number + 1}"
        engines.append(StandInUpstream(upstream=name, script=script))
    for engine in engines:
        await engine.start()
    return engines


def _is_whole(answer, size):
    """Whether an answer has all its events, in order, and its end."""
    found = _EVENT.findall(answer)
    numbers = [int(number) for number, _ in found]
    return (
        numbers == list(range(1, len(found) + 1))
        and sum(len(data) for _, data in found) == size
        and answer.endswith(b"0\r\n\r\n")
    )


def test_stalled_caller_gets_a_whole_answer_before_its_deadline():
    """Guards against an idle timeout that runs while a caller may read."""
    size = SIZES[-1]

    async def large(standin, request, writer):
        standin.send(request, writer, 200, b"x" * size)
        return True

    async def run():
        shop = StandInUpstream(upstream="u1", script=large)
        await shop.start()
        async with entry_world(config=CONFIG) as world:
            world.announce(shop)
            raw = request_bytes("/menu/1")
            return await exchange_with_stall(
                world.address, raw, stall_s=2.5 * IDLE_S
            )

    answer = asyncio.run(run())
    assert len(answer.partition(b"\r\n\r\n")[2]) == size


def test_stalled_caller_gets_all_of_a_stream_that_its_connection_ends():
    """Guards against a limit on the time to take the end of an answer."""
    size = SIZES[-1]

    async def run():
        script = stream_of(lambda: size, is_framed=False)
        engines = await _start_engines(script)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            raw = _note()
            return await exchange_with_stall(
                world.address, raw, stall_s=3.5 * IDLE_S
            )

    answer = asyncio.run(run())
    found = _EVENT.findall(answer)
    assert sum(len(data) for _, data in found) == size
    assert not answer.endswith(b"<reset>")


@pytest.mark.parametrize("duration_s", [0.0, 3.0])
@pytest.mark.parametrize("stall_s", [0.5, 2.0, 4.0, 13.0])
def test_stalled_caller_gets_the_whole_stream(stall_s, duration_s):
    """Guards against a pause of the caller that costs it its answer."""

    async def fetch(world, number, size):
        raw = _note(number=number)
        return await exchange_with_stall(world.address, raw, stall_s=stall_s)

    async def run():
        sizes = iter(SIZES)
        script = stream_of(lambda: next(sizes), duration_s=duration_s)
        engines = await _start_engines(script)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            return await asyncio.gather(
                *(fetch(world, n, size) for n, size in enumerate(SIZES))
            )

    answers = sorted(asyncio.run(run()), key=len)
    whole = [_is_whole(a, s) for a, s in zip(answers, SIZES, strict=True)]
    assert all(whole), [len(answer) for answer in answers]


def test_stalled_caller_holds_nothing_once_its_upstream_has_ended():
    """Guards against memory and slots that wait for a caller to read."""
    size = SIZES[-1]

    async def run():
        (p1, d1) = await _start_engines(stream_of(lambda: size))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(p1, d1)
            caller = asyncio.ensure_future(
                exchange_with_stall(world.address, _note(), stall_s=2.0)
            )
            await asyncio.sleep(1.0)
            context = world.context
            held = {
                "requests": world.server.active_requests,
                "outstanding": context.health.outstanding("d1"),
                "load": context.load.report(unreachable=()).held,
                "buffered": context.pool.buffered_bytes,
            }
            return held, await caller

    held, answer = asyncio.run(run())
    assert not any(held.values()), held
    assert _is_whole(answer, size)


def test_stream_that_is_ready_is_delivered_after_the_deadline():
    """Guards against an abort of what waits in this process as a whole."""
    size = SIZES[-1]

    async def run():
        engines = await _start_engines(stream_of(lambda: size))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            raw = _note(patience_s=1.0)
            return await exchange_with_stall(world.address, raw, stall_s=1.8)

    assert _is_whole(asyncio.run(run()), size)


def test_pause_of_a_caller_is_not_one_of_its_upstream():
    """Guards against engines that look slow, or fast, for slow callers."""
    size = 3 * MAX_READ_AHEAD_BYTES

    async def run():
        (p1, d1) = await _start_engines(stream_of(lambda: size))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(p1, d1)
            with structlog.testing.capture_logs() as logs:
                answer = await exchange_with_stall(
                    world.address, _note(), stall_s=1.0
                )
            ended = [e for e in logs if e["event"] == "request-ended"]
            return answer, ended[0]["longest_pause"]

    answer, pause_s = asyncio.run(run())
    assert _is_whole(answer, size)
    assert pause_s < 0.5


def test_end_of_a_stream_is_delivered_after_a_pause_past_the_deadline():
    """Guards against an abort when a whole answer and its deadline coincide.

    The process stands still from the moment the answer is sent.
    """
    patience_s = 0.5

    async def pause(standin, request, writer):
        if not request.is_generation or request.is_prefill:
            return False
        await standin.answer(request, writer)
        time.sleep(patience_s)
        return True

    async def run():
        engines = await _start_engines(pause)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            return await world.exchange(_note(patience_s=patience_s))

    answer = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.endswith(b"0\r\n\r\n")


def test_upstream_that_cuts_an_unread_answer_is_not_ejected():
    """Guards against a sound engine that is avoided for a slow caller."""

    async def run():
        cut = asyncio.Event()
        script = impatient_stream(3 * MAX_READ_AHEAD_BYTES, on_cut=cut.set)
        engines = await _start_engines(script)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            with structlog.testing.capture_logs() as logs:
                await exchange_with_stall(
                    world.address,
                    _note(),
                    stall_s=UNREAD_STALL_S,
                    until=cut,
                )
            return [entry["event"] for entry in logs]

    events = asyncio.run(run())
    assert "stream-broken" in events
    assert "upstream-out" not in events
