"""Load pattern: callers that stop to read while their upstreams go on."""

import asyncio

from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stalled_peers import exchange_with_stall

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
