"""Generations that wait for memory beside more urgent ones elsewhere."""

import asyncio

from currantdeal.policy.load.shared_load import MAX_SUMS_AGE_S, PoolLoad
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import EVENTS, StandInUpstream
from currantdeal.testing.platform_upstream import event_numbers as numbers_of

NOTE = request_bytes("/note/1", more=GENERATION)


def _exchange_beside(waiting, *, age_s=0.0):
    """Return the answer to one generation, and the engines."""

    async def run():
        engines = [StandInUpstream(upstream=name) for name in ("p1", "d1")]
        for standin in engines:
            await standin.start()
        async with entry_world() as world:
            world.announce_engines(*engines)
            sums = PoolLoad(held={}, unreachable={}, waiting=waiting)
            now_s = world.context.now_s - age_s
            world.context.load.update_sums(sums, now_s=now_s)
            world.context.memory_turns.update_sums(waiting, {}, now_s=now_s)
            return await world.exchange(NOTE), *engines

    return asyncio.run(run())


def test_request_whose_turn_comes_too_late_is_refused_before_its_prefill():
    """Guards against prompts that are read for requests refused later."""
    answer, prefill, decode = _exchange_beside({"model/0/1/0": (99_000, 0, 0)})
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer.lower()
    assert prefill.requests == decode.requests == []


def test_free_memory_is_used_beside_a_small_demand():
    answer, _, _ = _exchange_beside({"model/0/1/0": (9_000, 0, 0)})
    assert numbers_of(answer) == list(range(1, EVENTS + 1))


def test_less_urgent_demand_holds_nobody_back():
    answer, _, _ = _exchange_beside({"model/1/2/0": (99_000, 0, 0)})
    assert numbers_of(answer) == list(range(1, EVENTS + 1))


def test_old_sums_hold_nobody_back():
    """Guards against refusals by demand that may be over."""
    answer, _, _ = _exchange_beside(
        {"model/0/1/0": (99_000, 0, 0)}, age_s=MAX_SUMS_AGE_S + 0.1
    )
    assert numbers_of(answer) == list(range(1, EVENTS + 1))
