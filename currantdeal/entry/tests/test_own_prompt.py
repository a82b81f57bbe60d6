"""Streams are made from the prompt of their own caller."""

import asyncio

from currantdeal.registry import Stage, UpstreamState
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
    send_json,
)

CONFIG = config_body(target_ms=2_000)
NOTE = request_bytes("/note/1", more=GENERATION)


async def _start(name, script=None):
    standin = StandInUpstream(upstream=name, script=script)
    await standin.start()
    return standin


def _restart(world, standin, stage):
    """Announce the next process of an engine at its address."""
    world.announce(standin, service="model", stage=stage, incarnation=2)


def test_a_prefill_of_a_restarted_engine_is_not_used():
    """Guards against a KV cache handle that another process gave out again."""
    world = engines = None

    async def prefill_then_lose_the_decode_engine(standin, request, writer):
        if not request.is_prefill or len(standin.requests) > 1:
            return False
        state = UpstreamState.DRAINING
        world.announce(
            engines["d1"], service="model", stage=Stage.DECODE, state=state
        )
        world.announce(engines["d2"], service="model", stage=Stage.DECODE)
        return False

    async def grant_after_the_restart(standin, request, writer):
        if request.target == "/v1/hold-take":
            _restart(world, engines["p1"], Stage.PREFILL)
        return False

    async def run():
        nonlocal world, engines
        engines = {
            "p1": await _start("p1", prefill_then_lose_the_decode_engine),
            "d1": await _start("d1"),
            "d2": await _start("d2", grant_after_the_restart),
        }
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(engines["p1"], engines["d1"])
            return await world.exchange(NOTE)

    answer = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert not engines["d1"].runs
    targets = [r.target for r in engines["p1"].requests]
    assert targets == ["/note/1", "/note/1"]


def test_a_reservation_of_a_restarted_engine_is_not_used():
    """Guards against a reservation that another process gave out again."""
    world = decode = None

    async def prefill_during_a_restart(standin, request, writer):
        if request.is_prefill and len(standin.requests) == 1:
            _restart(world, decode, Stage.DECODE)
        return False

    async def number(standin, request, writer):
        if request.target != "/v1/hold-take":
            return False
        send_json(request, writer, {"Hold": f"h-{len(standin.requests)}"})
        return True

    async def run():
        nonlocal world, decode
        prefill = await _start("p1", prefill_during_a_restart)
        decode = await _start("d1", number)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(prefill, decode)
            return await world.exchange(NOTE)

    answer = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    (run_request,) = decode.runs
    assert run_request.get("X-Currantdeal-Kv-Hold") == "h-2"
    assert "/v1/hold-drop/h-1" not in [r.target for r in decode.requests]
