"""Generations whose engines are all silent, with real sockets.

Load pattern: gray failure by an asymmetric partition.
"""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from currantdeal.entry.link_watch import VERDICT_S
from currantdeal.node.link_client import LinkClient
from currantdeal.node.link_server import LinkServer
from currantdeal.policy.health.links import CheckResult, Links, Reach
from currantdeal.policy.placement.helper_choice import HelperChoice
from currantdeal.registry import Stage
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_numbers,
    send_refusal,
)

ENGINES = ("d1", "d2", "d3")
TARGET_S = 0.3
CUT = CheckResult(direct=False, others=Reach.REACHED)


async def _never_answers(standin, request, writer):
    await asyncio.sleep(60.0)


async def _has_no_memory(standin, request, writer):
    if request.target == "/v1/hold-take":
        send_refusal(request, writer)
        return True
    return False


def _hang_direct_connections(connector, hole):
    """Let direct connections lead to an upstream that never answers."""
    host, port = hole.address.split(":")

    async def open_direct(address, *, timeout_s):
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: connector._make(address), host, int(port)
        )
        return connection

    connector.open_direct = open_direct


@asynccontextmanager
async def _cut_world(*, script=None):
    """Provide an entry that is cut from engines which another one reaches."""
    engines = [StandInUpstream(upstream=n, script=script) for n in ENGINES]
    hole = StandInUpstream(script=_never_answers)
    for standin in (*engines, hole):
        await standin.start()
    addresses = {engine.address for engine in engines}
    helper = LinkServer(
        links=Links(),
        is_upstream=addresses.__contains__,
        on_doubt=lambda address, why: None,
        metrics=None,
    )
    async with entry_world() as world:
        helper._metrics = world.context.metrics
        await helper.start("127.0.0.1", 0)
        connector = world.context.pool.connector
        connector.link_client = LinkClient(
            choice=HelperChoice(random=world.context.random),
            groups=lambda: (("{}:{}".format(*helper.address),),),
            metrics=world.context.metrics,
        )
        _hang_direct_connections(connector, hole)
        for engine in engines:
            world.announce(engine, service="model", stage=Stage.DECODE)
        yield world


async def _ask(world, path):
    began_s = time.monotonic()
    answer = await world.exchange(request_bytes(path, more=GENERATION))
    return answer, time.monotonic() - began_s


@pytest.mark.parametrize("path", ["/note/1", "/draft/1"])
@pytest.mark.parametrize("ejected", [(), ENGINES])
def test_generation_is_served_as_its_entry_is_cut(path, ejected):
    """Guards against silence of a link that is taken for a lack of memory."""

    async def run():
        async with _cut_world() as world:
            context = world.context
            for name in ejected:
                record = context.view.record(name)
                context.eject(record, context.health)
                context.link_watch.doubt(record.address, "silent")
            answer, _ = await _ask(world, path)
            assert event_numbers(answer) == list(range(1, EVENTS + 1))

    asyncio.run(run())


def test_engines_that_nobody_reaches_hold_up_no_refusal():
    """Guards against callers who wait in vain for engines that are gone."""

    async def run():
        async with _cut_world(script=_never_answers) as world:
            answer, took_s = await _ask(world, "/note/1")
            assert answer.startswith(b"HTTP/1.1 503")
            assert took_s < TARGET_S + VERDICT_S
            answer, took_s = await _ask(world, "/note/1")
            assert answer.startswith(b"HTTP/1.1 503")
            assert took_s < VERDICT_S

    asyncio.run(run())


def test_refusal_for_memory_waits_for_no_doubted_link():
    """Guards against a longer wait where engines answer that they are full."""

    async def run():
        async with _cut_world(script=_has_no_memory) as world:
            links = world.context.pool.connector.links
            for name in ENGINES:
                address = world.context.view.record(name).address
                links.doubt(address, now_s=0.0)
                links.record_check(address, CUT, now_s=0.0)
            answer, took_s = await _ask(world, "/note/1")
            assert answer.startswith(b"HTTP/1.1 503")
            assert took_s < VERDICT_S

    asyncio.run(run())
