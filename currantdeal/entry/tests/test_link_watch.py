"""Checks of the links of an entry, with real sockets."""

import asyncio

from currantdeal.node.link_client import LinkClient
from currantdeal.policy.health.links import LinkState
from currantdeal.policy.placement.helper_choice import HelperChoice
from currantdeal.registry import UpstreamState
from currantdeal.testing.entry_world import entry_world, request_bytes
from currantdeal.testing.platform_upstream import StandInUpstream

SETTLE_S = 1.0


def _without_helpers(world):
    """Connect a watch that knows no other entry."""
    world.context.pool.link_client = LinkClient(
        choice=HelperChoice(random=world.context.random),
        groups=lambda: (),
        metrics=world.context.metrics,
    )


async def _stalls(standin, request, writer):
    if not request.is_health_check:
        await asyncio.sleep(SETTLE_S)
    return False


def test_silence_of_a_second_changes_nothing():
    """Guards against a sound upstream that is taken for one out of reach."""

    async def run():
        async with entry_world() as world:
            _without_helpers(world)
            standin = StandInUpstream(script=_stalls)
            await standin.start()
            world.announce(standin)
            asked = asyncio.ensure_future(
                world.exchange(request_bytes("/order/1"))
            )
            while not asked.done():
                world.context.link_watch.tick()
                await asyncio.sleep(0.1)
            links = world.context.pool.links
            assert (await asked).startswith(b"HTTP/1.1 200")
            assert links.state(standin.address) is LinkState.SOUND
            assert len(standin.runs) == 1

    asyncio.run(run())


def test_links_of_departed_upstreams_are_forgotten():
    """Guards against memory that grows with each upstream that ever was."""

    async def run():
        async with entry_world() as world:
            _without_helpers(world)
            standin = StandInUpstream()
            await standin.start()
            world.announce(standin)
            links = world.context.pool.links
            for number in range(100):
                links.record_contact(f"10.0.0.1:{number}", now_s=0.0)
            links.doubt("10.0.0.1:7", now_s=0.0)
            world.context.link_watch.tick()
            assert links.known <= 1
            world.announce(standin, state=UpstreamState.DRAINING)
            links.doubt(standin.address, now_s=0.0)
            world.context.link_watch.tick()
            assert not links.unsound

    asyncio.run(run())
