"""Limits of upstreams at one entry, with stand-ins as upstreams."""

import asyncio

import pytest
from structlog.testing import capture_logs

from currantdeal.core import boot_time_s
from currantdeal.policy.limits.limit_owner import LimitOwner
from currantdeal.policy.limits.limit_records import LimitReport
from currantdeal.registry import Stage
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream

ORDER = request_bytes("/order/1", body=b"cake=1")


def _owner():
    owner = LimitOwner(opened_s=0.0)

    async def ask(ask, timeout_s):
        return owner.admit(ask, now_s=boot_time_s())

    return ask


def _serve(*headers):
    """Serve a request with each header; return log lines and metrics."""

    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            world.context.limits.ask_owner = _owner()
            for header in headers:
                standin.extra_headers = (header,) if header else ()
                await world.exchange(ORDER)
            return world.context.metrics.render()[1]

    with capture_logs() as lines:
        metrics = asyncio.run(run())
    return [x for x in lines if x["event"].startswith("upstream-l")], metrics


def test_limits_are_logged_when_they_change():
    lines, metrics = _serve("Server-Limit: 50", "Server-Limit: 50", None)
    assert [(x["event"], x["before"]) for x in lines] == [
        ("upstream-limit-named", None),
        ("upstream-limit-lifted", 50.0),
    ]
    assert b'limited_requests_total{upstream="u1"} 2' in metrics


@pytest.mark.parametrize("text", ["many", "-1", "inf", "nan", "1_0"])
def test_malformed_limit_changes_nothing(text):
    """Guards against a spoilt header that lifts a limit or sets one."""
    lines, _ = _serve("Server-Limit: 50", f"Server-Limit: {text}")
    assert [x["event"] for x in lines] == ["upstream-limit-named"]


class _Limited:
    """Upstreams that take one request in two seconds, and their owner."""

    def __init__(self, *, limited=1, unlimited=0):
        self.standins = [
            StandInUpstream(upstream=f"u{n}")
            for n in range(limited + unlimited)
        ]
        for standin in self.standins[:limited]:
            standin.extra_headers = ("Server-Limit: 0.5",)
        self.is_reached = True
        self._owner = _owner()

    async def ask(self, ask, timeout_s):
        await asyncio.sleep(0.005)
        return await self._owner(ask, timeout_s) if self.is_reached else None

    def run(self, scenario, *, stages=None):
        """Run a scenario with an entry that knows the limits.

        With ``stages`` the upstreams are engines.
        """

        async def run():
            async with entry_world() as world:
                limits = world.context.limits
                limits.ask_owner = self.ask
                for standin in self.standins:
                    await standin.start()
                for n, standin in enumerate(self.standins):
                    if stages is None:
                        world.announce(standin)
                    else:
                        world.announce(
                            standin, service="model", stage=stages[n]
                        )
                limits.merge(
                    {
                        s.upstream: LimitReport(rate_per_s=0.5, age_s=0.0)
                        for s in self.standins
                        if s.extra_headers
                    }
                )
                return await scenario(world)

        return asyncio.run(run())


async def _send(world, *, number=1, target="/order/1"):
    more = GENERATION if target.startswith("/note") else ()
    raw = request_bytes(target, body=b"%d" % number, more=more)
    began_s = boot_time_s()
    answer = await world.exchange(raw)
    return answer.partition(b"\r\n\r\n")[0], boot_time_s() - began_s


def test_busy_upstream_is_spared_while_a_limited_one_has_room():
    """Guards against refusals and queues while an upstream has room."""
    limited = _Limited(limited=1, unlimited=1)

    async def scenario(world):
        for _ in range(8):
            world.context.health.request_started("u1")
        return [await _send(world, number=n) for n in range(3)]

    answers = limited.run(scenario)
    assert all(head.startswith(b"HTTP/1.1 200") for head, _ in answers)
    assert [len(s.runs) for s in limited.standins] == [1, 2]


def test_request_over_all_limits_is_refused_at_once():
    """Guards against a wait for room that comes too late for the caller."""

    async def scenario(world):
        await _send(world, number=1)
        return await _send(world, number=2)

    head, took_s = _Limited().run(scenario)
    assert head.startswith(b"HTTP/1.1 503")
    retry_after_s = float(head.split(b"retry-after: ")[1].split(b"\r\n")[0])
    assert 1.5 < retry_after_s <= 2.0
    assert took_s < 0.5


def test_generation_over_all_limits_is_refused_at_once():
    """Guards against a search for memory at engines that take nothing."""

    async def scenario(world):
        await _send(world, number=1, target="/note/1")
        return await _send(world, number=2, target="/note/1")

    limited = _Limited(limited=1, unlimited=1)
    stages = (Stage.DECODE, Stage.PREFILL)
    head, took_s = limited.run(scenario, stages=stages)
    assert head.startswith(b"HTTP/1.1 503")
    retry_after_s = float(head.split(b"retry-after: ")[1].split(b"\r\n")[0])
    assert 1.5 < retry_after_s <= 2.0
    assert took_s < 0.15
    assert len(limited.standins[0].runs) == 1


def test_decode_engine_prefills_if_no_prefill_engine_has_room():
    """Guards against refusals while an engine can do the work itself."""

    async def scenario(world):
        return [
            await _send(world, number=n, target="/note/1") for n in range(3)
        ]

    limited = _Limited(limited=1, unlimited=1)
    stages = (Stage.PREFILL, Stage.DECODE)
    answers = limited.run(scenario, stages=stages)
    assert all(head.startswith(b"HTTP/1.1 200") for head, _ in answers)
    prefill, decode = limited.standins
    assert len([r for r in prefill.requests if r.is_prefill]) == 1
    assert len(decode.runs) == 3


def test_without_an_owner_only_unlimited_upstreams_are_used():
    """Guards against entries that exceed a limit while they are cut off."""
    limited = _Limited(limited=1, unlimited=1)
    limited.is_reached = False

    async def scenario(world):
        for _ in range(8):
            world.context.health.request_started("u1")
        return [await _send(world, number=n) for n in range(3)]

    assert all(h.startswith(b"HTTP/1.1 200") for h, _ in limited.run(scenario))
    assert [len(s.runs) for s in limited.standins] == [0, 3]


def test_owner_that_returns_in_time_is_waited_for():
    """Guards against refusals during an election."""
    limited = _Limited()
    limited.is_reached = False

    async def scenario(world):
        loop = asyncio.get_running_loop()
        loop.call_later(0.4, setattr, limited, "is_reached", True)
        return await _send(world)

    head, took_s = limited.run(scenario)
    assert head.startswith(b"HTTP/1.1 200")
    assert 0.3 < took_s < 1.0


def test_answer_to_an_earlier_request_does_not_lift_a_limit():
    """Guards against an answer from before the limit that arrives late."""
    limited = _Limited(limited=0, unlimited=1)
    release = asyncio.Event()

    async def wait(standin, request, writer):
        await release.wait()
        return False

    async def scenario(world):
        limited.standins[0].script = wait
        task = asyncio.ensure_future(_send(world))
        await asyncio.sleep(0.1)
        limits = world.context.limits
        limits.merge({"u0": LimitReport(rate_per_s=0.5, age_s=0.0)})
        release.set()
        await task
        return limits.rate_per_s("u0")

    assert limited.run(scenario) == 0.5
