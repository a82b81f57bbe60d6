"""The word for why an answer that had begun was broken off."""

import asyncio
import zlib

import pytest
import structlog

from currantdeal.core import boot_time_s
from currantdeal.entry.arrivals import RetryCharge
from currantdeal.entry.errors import BreakReason, break_reason_of
from currantdeal.node.errors import SendExpiredError, UnsendableRequestError
from currantdeal.registry import UpstreamState
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    listing,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_bytes,
    send_event,
    send_json,
    send_refusal,
)
from currantdeal.testing.stalled_peers import exchange_with_stall, stream_of

KEY = "k3y-of-the-bakery"
KEYS = listing(bakery=[KEY])
NOTE = request_bytes("/note/1", more=GENERATION)
DRAFT = request_bytes("/draft/1", more=GENERATION)
DRAFT_WITH_KEY = request_bytes(
    "/draft/1", more=(*GENERATION, f"Authorization: Bearer {KEY}")
)
ENGINES = ("p1", "d1", "d2", "d3", "d4", "d5", "d6")
"""More than are asked for memory in all attempts."""

SHORT_TTL = {"kv_handle_ttl_s": 0.001}
"""Lets each attempt prefill its prompt anew."""

HUGE_BYTES = 64 * 1_048_576
"""Answer that fits neither into the buffers of sockets nor of the entry."""

STALL_S = 6.0


class _Play:
    """An answer whose first run is broken off, and what happens then.

    Parameters
    ----------
    then : callable or None
        Script of all engines once the run was lost, with this object first.

    Attributes
    ----------
    granted : set of StandInUpstream
        Engines that were asked for memory.
    """

    def __init__(self, then):
        self.world = None
        self.engines = {
            name: StandInUpstream(upstream=name, script=self._script)
            for name in ENGINES
        }
        self.granted = set()
        self._then = then
        self._is_lost = False

    async def _script(self, standin, request, writer):
        if request.target == "/v1/hold-take":
            self.granted.add(standin)
        if self._is_lost:
            if self._then is None:
                return False
            return await self._then(self, standin, request, writer)
        if not request.is_generation or request.is_prefill:
            return False
        standin.begin_stream(request, writer)
        send_event(writer, 1)
        await writer.drain()
        await asyncio.sleep(0.05)
        self._is_lost = True
        writer.transport.abort()
        return True


async def _grant_nothing(play, standin, request, writer):
    if request.target != "/v1/hold-take":
        return False
    send_json(request, writer, {}, status=503)
    return True


async def _stop_in_prefill(play, standin, request, writer):
    if request.is_prefill:
        for engine in play.granted:
            engine.stop()
    if request.target != "/v1/hold-take":
        return False
    standin.extra_headers = ("Connection: close",)
    await standin.answer(request, writer)
    writer.close()
    return True


async def _leave_in_prefill(play, standin, request, writer):
    if request.is_prefill:
        for engine in play.granted:
            play.world.announce(
                engine, service="model", state=UpstreamState.DRAINING
            )
    return False


async def _withdraw_key(play, standin, request, writer):
    if request.is_prefill:
        body = config_body(version=2, organisations=listing(mill=["m1ll"]))
        play.world.context.view.apply_config(2, zlib.compress(body))
    return False


async def _refuse(play, standin, request, writer):
    if request.is_run:
        send_refusal(request, writer)
    return request.is_run


async def _fail(play, standin, request, writer):
    if request.is_run:
        standin.send(request, writer, 500, b"broken")
    return request.is_run


async def _answer_unsigned(play, standin, request, writer):
    if request.is_run:
        send_json(request, writer, {"not": "yours"})
    return request.is_run


async def _end_unframed(play, standin, request, writer):
    if request.is_run:
        standin.begin_stream(request, writer, is_framed=False)
        for number in range(2, EVENTS + 1):
            writer.write(event_bytes(number))
        writer.close()
    return request.is_run


async def _break_again(play, standin, request, writer):
    if request.is_run:
        standin.begin_stream(request, writer)
        send_event(writer, 2)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()
    return request.is_run


async def _hang(play, standin, request, writer):
    if request.is_run:
        await asyncio.sleep(30.0)
    return request.is_run


CASES = {
    BreakReason.NO_MEMORY: {"then": _grant_nothing},
    BreakReason.RETRY_BUDGET: {"allowance": 0.0},
    BreakReason.UNREACHED: {"then": _stop_in_prefill, "config": SHORT_TTL},
    BreakReason.RUN_LOST: {"raw": NOTE},
    BreakReason.ATTEMPTS: {"then": _break_again},
    BreakReason.ENGINE_LEFT: {"then": _leave_in_prefill, "config": SHORT_TTL},
    BreakReason.NOT_ALLOWED: {
        "raw": DRAFT_WITH_KEY,
        "then": _withdraw_key,
        "config": {"organisations": KEYS},
    },
    BreakReason.REFUSED: {"then": _refuse},
    BreakReason.NOT_SIGNED: {"then": _answer_unsigned},
    BreakReason.ERROR: {"then": _fail},
    BreakReason.UNKNOWN_END: {"then": _end_unframed},
    BreakReason.TIME_OVER: {"then": _hang, "config": {"timeout_ms": 900}},
}
"""What follows a lost run, by the reason that it leads to."""

UNPROVOKED = {BreakReason.NO_ENGINE, BreakReason.NO_PREFILL}
"""Reasons that no answer has yet which has begun."""


async def _serve(play, *, raw=DRAFT, config=None, prepare=None, **options):
    """Return the answer, the line of its request, entry and metrics."""
    options["config"] = config_body(**{"timeout_ms": 5_000, **(config or {})})
    async with entry_world(revocation_s=60.0, **options) as world:
        play.world = world
        for standin in play.engines.values():
            await standin.start()
        world.announce_engines(*play.engines.values())
        world.context.view.confirm(1, boot_time_s())
        if prepare is not None:
            prepare(world)
        return await _exchange(world, world.exchange(raw))


async def _exchange(world, exchange):
    """Return what ``_serve`` does, for a caller's coroutine."""
    loop = asyncio.get_running_loop()
    world.service.requests.stop(loop.time() + 60.0)
    with structlog.testing.capture_logs() as logs:
        answer = await exchange
        while world.server.active_requests:
            await asyncio.sleep(0.01)
    (line,) = [entry for entry in logs if entry["event"] == "request-ended"]
    return answer, line, world


def _check(reason, answer, line, world):
    assert answer.startswith(b"HTTP/1.1 200")
    assert not answer.endswith(b"0\r\n\r\n")
    assert line["outcome"].startswith("broken off: ")
    assert line["broken_off"] == reason.value
    assert world.service.requests.broken_off == {reason.value: 1}
    assert world.service.requests.ended == {"broken off": 1}
    name = f'answers_broken_off_total{{reason="{reason.value}"}} 1'
    assert name in world.context.metrics.render()[1].decode()


@pytest.mark.parametrize("reason", CASES, ids=lambda reason: reason.value)
def test_broken_off_answer_has_one_reason(reason):
    """Guards against a cut that logs and metrics do not explain."""
    options = dict(CASES[reason])
    play = _Play(options.pop("then", None))
    _check(reason, *asyncio.run(_serve(play, **options)))


def test_answer_with_too_little_time_for_another_run_has_a_reason():
    """Guards against a run that is lost for good late in its time."""
    config = {"target_ms": 13_000}
    found = asyncio.run(_serve(_Play(None), config=config))
    _check(BreakReason.TIME_OVER, *found)
    assert found[1]["outcome"].endswith(", and too little time is left")


def test_answer_that_its_caller_does_not_take_has_a_reason():
    """Guards against a slow caller who looks like a lost engine."""

    async def run():
        engines = [StandInUpstream(upstream="p1")]
        script = stream_of(lambda: HUGE_BYTES)
        engines.append(StandInUpstream(upstream="d1", script=script))
        config = config_body(timeout_ms=14_000)
        async with entry_world(config=config) as world:
            for standin in engines:
                await standin.start()
            world.announce_engines(*engines)
            raw = NOTE.replace(b"Ms: 3000", b"Ms: 14000")
            return await _exchange(
                world, exchange_with_stall(world.address, raw, stall_s=STALL_S)
            )

    _check(BreakReason.SLOW_CALLER, *asyncio.run(run()))


def test_run_whose_charge_has_lapsed_has_a_reason():
    """Guards against a cut answer that counts as one that never began."""

    async def charge(service, count):
        return [RetryCharge(until_s=boot_time_s())] * count

    def prepare(world):
        world.context.retry_budgets.charge = charge
        world.context.retry_budgets.give_back = lambda service, charges: None

    found = asyncio.run(_serve(_Play(None), prepare=prepare))
    _check(BreakReason.RETRY_BUDGET, *found)


@pytest.mark.parametrize(
    ("error", "reason"),
    [
        (SendExpiredError, BreakReason.NOT_ALLOWED),
        (UnsendableRequestError, BreakReason.UNSENDABLE),
    ],
)
def test_run_that_was_not_sent_has_a_reason(error, reason):
    """Guards against an error of sending without a word."""
    assert break_reason_of(error("not sent")) is reason


def test_each_reason_is_provoked_by_a_test():
    """Guards against a new reason without a test."""
    provoked = {*CASES, BreakReason.SLOW_CALLER, BreakReason.UNSENDABLE}
    assert provoked | UNPROVOKED == set(BreakReason)
    assert not provoked & UNPROVOKED


def test_whole_answer_has_no_reason():
    """Guards against whole answers in the counts."""
    play = _Play(None)
    answer, line, world = asyncio.run(_serve(play))
    assert answer.endswith(b"0\r\n\r\n")
    assert line["broken_off"] is None
    assert world.service.requests.broken_off == {}
