"""An entry measures engines, and chooses by what all entries measured."""

import asyncio

from currantdeal.policy.speed.paces import Work, process_key
from currantdeal.registry import Stage
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream

NOTE = request_bytes("/note/1", more=GENERATION)
SLOW_S = 0.2


async def _start(name, script=None):
    standin = StandInUpstream(upstream=name, script=script)
    await standin.start()
    return standin


async def _prefill_slowly(standin, request, writer):
    if request.is_prefill:
        await asyncio.sleep(SLOW_S)
    return False


def _key(world, name):
    return process_key(world.context.view.record(name))


def test_generation_measures_both_engines():
    """Guards against speeds that are learned from one kind of work only."""

    async def run():
        prefill, decode = (
            await _start("p1", _prefill_slowly),
            await _start("d1"),
        )
        async with entry_world(config=config_body(target_ms=2_000)) as world:
            world.announce_engines(prefill, decode)
            await world.exchange(NOTE)
            return (
                world.context.report_load().paces,
                _key(world, "p1"),
                _key(world, "d1"),
            )

    paces, prefill_key, decode_key = asyncio.run(run())
    assert paces["prefill/model"][prefill_key][1] >= 1_000 * SLOW_S
    assert paces["decode/model"][decode_key][2] == 1


def test_prompt_goes_to_the_engine_that_others_found_fast():
    """Guards against a slow engine that each entry finds out for itself."""

    async def run():
        standins = [await _start(name) for name in ("p1", "p2", "d1")]
        async with entry_world(config=config_body(target_ms=2_000)) as world:
            world.announce_engines(standins[0], standins[2])
            world.announce(standins[1], service="model", stage=Stage.PREFILL)
            load = world.context.load.report(unreachable=())
            load.paces["prefill/model"] = {
                _key(world, "p1"): (1_000, 9_000, 50),
                _key(world, "p2"): (1_000, 1_000, 50),
                "": (10_000, 20_000, 500),
            }
            world.context.update_load(load)
            for _ in range(4):
                await world.exchange(NOTE)
            found = world.context.speeds.estimate(
                _key(world, "p1"),
                Work.PREFILL,
                pool="model",
                now_s=world.context.now_s,
            )
            return [len(s.requests) for s in standins[:2]], found

    (slow, fast), found = asyncio.run(run())
    assert (slow, fast) == (0, 4)
    assert found.slowdown == 4.5
