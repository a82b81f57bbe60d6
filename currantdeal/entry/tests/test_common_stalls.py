"""Streams of many engines that stand still together, and go on."""

import asyncio

import pytest

from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    event_numbers,
    send_event,
)

CONFIG = config_body(timeout_ms=20_000)
DRAFT = request_bytes("/draft/1", more=GENERATION).replace(
    b"Deadline-Ms: 3000", b"Deadline-Ms: 14000"
)
ENGINES, PREFILLS, STREAMS = 4, 2, 12
EVENTS, GAP_S = 30, 0.05
STALL_AFTER_S = 0.6
STALLS_S = (0.5, 2.0, 5.0)
ALLOWANCES = (0.0, 3.0, 100.0)


class _Stalls:
    """A gate at which engines stand still."""

    def __init__(self, *, prefills):
        self._open = asyncio.Event()
        self._open.set()
        self._prefills = prefills

    async def stall(self, for_s):
        self._open.clear()
        await asyncio.sleep(for_s)
        self._open.set()

    async def serve(self, standin, request, writer):
        if request.is_prefill and self._prefills:
            await self._open.wait()
        if request.is_prefill or not request.is_generation:
            return False
        await self._open.wait()
        standin.begin_stream(request, writer)
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(GAP_S)
            await self._open.wait()
            send_event(writer, number)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


async def _play(*, stall_s, allowance, prefills):
    """Return the answers, and the number of requests to engines."""
    stalls = _Stalls(prefills=prefills)
    names = [f"p{n}" for n in range(PREFILLS)]
    names += [f"d{n}" for n in range(ENGINES)]
    engines = [StandInUpstream(upstream=n, script=stalls.serve) for n in names]
    for engine in engines:
        await engine.start()
    async with entry_world(config=CONFIG, allowance=allowance) as world:
        world.announce_engines(engines[0], *engines[PREFILLS:])
        world.announce_engines(engines[1])
        calls = [
            asyncio.ensure_future(world.exchange(DRAFT, timeout_s=16.0))
            for _ in range(STREAMS)
        ]
        await asyncio.sleep(STALL_AFTER_S)
        await stalls.stall(stall_s)
        answers = await asyncio.gather(*calls)
    requests = [r for e in engines for r in e.requests if r.is_generation]
    return answers, len(requests)


@pytest.mark.parametrize("prefills", [False, True])
@pytest.mark.parametrize("allowance", ALLOWANCES)
@pytest.mark.parametrize("stall_s", STALLS_S)
def test_pause_of_all_engines_breaks_no_answer_off(
    stall_s, allowance, prefills
):
    """Guards against runs that are given up before another can go on."""
    answers, _ = asyncio.run(
        _play(stall_s=stall_s, allowance=allowance, prefills=prefills)
    )
    numbers = [event_numbers(answer) for answer in answers]
    assert numbers == STREAMS * [list(range(1, EVENTS + 1))]
    assert all(answer.endswith(b"0\r\n\r\n") for answer in answers)


@pytest.mark.parametrize("stall_s", STALLS_S)
def test_pause_of_all_engines_moves_no_stream(stall_s):
    """Guards against a retry storm at engines that stand still together."""
    _, requests = asyncio.run(
        _play(stall_s=stall_s, allowance=100.0, prefills=True)
    )
    assert requests == 2 * STREAMS
