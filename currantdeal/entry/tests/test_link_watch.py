"""Checks of the links of an entry, with real sockets."""

import asyncio
from contextlib import asynccontextmanager

from currantdeal.entry.probing import FIRST_PROBE_S, PROBE_TIMEOUT_S
from currantdeal.node.link_client import LinkClient
from currantdeal.policy.health.links import CheckResult, LinkState, Reach
from currantdeal.policy.health.upstream_health import BASE_EJECTION_S
from currantdeal.policy.placement.helper_choice import HelperChoice
from currantdeal.registry import UpstreamState
from currantdeal.testing.entry_world import entry_world, request_bytes
from currantdeal.testing.platform_upstream import StandInUpstream

SETTLE_S = 1.0


def _without_helpers(world):
    """Connect a watch that knows no other entry."""
    world.context.pool.connector.link_client = LinkClient(
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
            links = world.context.pool.connector.links
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
            links = world.context.pool.connector.links
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


async def _closes(standin, request, writer):
    writer.transport.abort()
    return True


async def _answers_no_checks(standin, request, writer):
    return request.is_health_check


@asynccontextmanager
async def _ejected_upstream(*, script=None):
    """Provide a world and the record of an upstream that failed often."""
    async with entry_world() as world:
        _without_helpers(world)
        standin = StandInUpstream(script=script)
        await standin.start()
        world.announce(standin)
        context = world.context
        for _ in range(4):
            context.health.eject(standin.upstream, now_s=context.now_s)
        yield context, context.view.record(standin.upstream)


def test_upstream_that_answers_a_check_of_its_link_is_readmitted():
    """Guards against engines that stay ejected after a cut has healed."""

    async def run():
        async with _ejected_upstream() as (context, record):
            context.link_watch.doubt(record.address, "timed out")
            await asyncio.sleep(SETTLE_S / 4)
            assert not context.health.is_ejected(
                record.upstream, now_s=context.now_s
            )

    asyncio.run(run())


def test_upstream_that_nobody_reaches_is_not_readmitted():
    """Guards against requests for an upstream that ended during a cut."""

    async def run():
        async with _ejected_upstream(script=_closes) as (context, record):
            links = context.pool.connector.links
            links.doubt(record.address, now_s=0.0)
            cut = CheckResult(direct=False, others=Reach.REACHED)
            links.record_check(record.address, cut, now_s=0.0)
            context.link_watch.tick()
            await asyncio.sleep(SETTLE_S / 4)
            assert links.state(record.address) is LinkState.SOUND
            assert context.health.is_ejected(
                record.upstream, now_s=context.now_s
            )

    asyncio.run(run())


def test_probe_that_a_cut_holds_up_does_not_undo_a_readmission():
    """Guards against an engine ejected anew that is reached on another way."""

    async def run():
        script = _answers_no_checks
        async with _ejected_upstream(script=script) as (context, record):
            context.eject(record, context.health)
            await asyncio.sleep(2 * FIRST_PROBE_S)
            context.link_watch.on_reached(record)
            await asyncio.sleep(2 * PROBE_TIMEOUT_S)
            assert not context.health.is_ejected(
                record.upstream, now_s=context.now_s
            )

    asyncio.run(run())


def test_failures_on_a_link_that_was_cut_are_forgotten():
    """Guards against long ejections for what was the fault of a link."""

    async def run():
        async with _ejected_upstream() as (context, record):
            context.link_watch.on_reached(record)
            pause_s = context.health.eject(
                record.upstream, now_s=context.now_s
            )
            assert pause_s == BASE_EJECTION_S

    asyncio.run(run())
