"""Load pattern: slow callers and slow upstreams at the ends of a link.

A side that stops to read closes the windows of all connections before it.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from currantdeal.node.link_client import LinkClient
from currantdeal.node.link_server import LinkServer
from currantdeal.node.response_writer import MAX_READ_AHEAD_BYTES
from currantdeal.policy.health.links import CheckResult, Links, Reach
from currantdeal.policy.placement.helper_choice import HelperChoice
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stalled_peers import (
    UNREAD_STALL_S,
    LateReader,
    exchange_with_stall,
    impatient_stream,
    stream_of,
)

TICK_S = 0.05
CUT = CheckResult(direct=False, others=Reach.REACHED)
CONFIG = config_body(
    timeout_ms=14_000,
    limits={
        "MaxHeaderBytes": 4_096,
        "MaxBodyBytes": 1_048_576,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    },
)
BODY = b"x" * 60_000


def _with_patience(raw):
    return raw.replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 14000")


class _Observed:
    """What an entry takes its links for, while a request is answered."""

    def __init__(self, *, world, helper):
        self.world = world
        self.helper = helper
        self.unsound = set()
        self.ejected = set()
        self.avoided = []
        self.losses = []
        connector = world.context.pool.connector
        connector.link_client.avoid = self.avoided.append
        connector.traffic.on_doubt = lambda *loss: self.losses.append(loss)

    @property
    def links(self):
        return self.world.context.pool.connector.links

    def cut(self, *upstreams):
        """Let connections to upstreams lead through the helper."""
        for upstream in upstreams:
            self.links.doubt(upstream.address, now_s=0.0)
            self.links.record_check(upstream.address, CUT, now_s=0.0)

    async def watch(self, work):
        """Return the result of work, beside the checks of the links."""
        task = asyncio.ensure_future(work)
        context = self.world.context
        while not task.done():
            context.link_watch.tick()
            self.unsound |= self.links.unsound
            self.ejected |= set(context.health.ejected(now_s=context.now_s))
            await asyncio.sleep(TICK_S)
        return task.result()


@asynccontextmanager
async def _linked_world():
    async with entry_world(config=CONFIG) as world:
        metrics = world.context.metrics
        helper = LinkServer(
            links=Links(),
            is_upstream=lambda address: True,
            on_doubt=lambda address, why: None,
            metrics=metrics,
        )
        await helper.start("127.0.0.1", 0)
        address = "{}:{}".format(*helper.address)
        world.context.pool.connector.link_client = LinkClient(
            choice=HelperChoice(random=world.context.random),
            groups=lambda: ((address,),),
            metrics=metrics,
        )
        yield _Observed(world=world, helper=helper)


async def _start_engines(world, script):
    engines = [
        StandInUpstream(upstream="p1"),
        StandInUpstream(upstream="d1", script=script),
    ]
    for engine in engines:
        await engine.start()
    world.announce_engines(*engines)
    return engines


@pytest.mark.parametrize(
    ("size", "stall_s"),
    [(10_000, 4.0), (4_194_304, 4.0), (3 * MAX_READ_AHEAD_BYTES, 1.5)],
)
def test_stalled_caller_gets_the_whole_answer_over_a_link(size, stall_s):
    """Guards against a helper that is taken for silent as nobody reads."""

    async def run():
        async with _linked_world() as seen:
            script = stream_of(lambda: size)
            engines = await _start_engines(seen.world, script)
            seen.cut(*engines)
            raw = _with_patience(request_bytes("/note/1", more=GENERATION))
            answer = await seen.watch(
                exchange_with_stall(seen.world.address, raw, stall_s=stall_s)
            )
            return answer, seen

    answer, seen = asyncio.run(run())
    assert answer.endswith(b"0\r\n\r\n")
    assert answer.count(b"x") >= size
    assert not seen.avoided
    assert not seen.ejected


@pytest.mark.parametrize("is_cut", [False, True])
@pytest.mark.parametrize("stall_s", [2.0, 4.0])
def test_upstream_that_reads_late_is_neither_doubted_nor_ejected(
    stall_s, is_cut
):
    """Guards against a busy upstream that is taken for one out of reach."""

    async def run():
        async with _linked_world() as seen:
            upstream = LateReader(upstream="u1", stall_s=stall_s)
            await upstream.start()
            seen.world.announce(upstream)
            if is_cut:
                seen.cut(upstream)
            raw = _with_patience(request_bytes("/order/1", body=BODY))
            answer = await seen.watch(seen.world.exchange(raw, timeout_s=14.0))
            return answer, upstream, seen

    answer, upstream, seen = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 200")
    assert [request.body for request in upstream.runs] == [BODY]
    assert not seen.ejected
    assert is_cut or not (seen.unsound or seen.avoided)


@pytest.mark.parametrize("is_cut", [False, True])
def test_cut_of_an_unread_answer_says_nothing_of_the_link(is_cut):
    """Guards against a link that is doubted as a caller does not read."""

    async def run():
        async with _linked_world() as seen:
            cut = asyncio.Event()
            script = impatient_stream(3 * MAX_READ_AHEAD_BYTES, on_cut=cut.set)
            engines = await _start_engines(seen.world, script)
            if is_cut:
                seen.cut(*engines)
            raw = _with_patience(request_bytes("/note/1", more=GENERATION))
            answer = await seen.watch(
                exchange_with_stall(
                    seen.world.address,
                    raw,
                    stall_s=UNREAD_STALL_S,
                    until=cut,
                )
            )
            return answer, seen

    answer, seen = asyncio.run(run())
    assert not answer.endswith(b"0\r\n\r\n")
    assert not seen.losses
    assert not seen.avoided
    assert not seen.ejected
