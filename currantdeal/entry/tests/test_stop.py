"""Requests that wait when their process is about to end."""

import asyncio
import math

import pytest

from currantdeal.entry.active_request import ActiveRequest
from currantdeal.entry.progress import REFUSAL_MARGIN_S, RequestState
from currantdeal.policy.load.run_lengths import MIN_RUNS
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    listing,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_event,
    send_json,
)

ENDS_S = 0.9
"""Time between the stop request and the end of the process."""

NOTE = request_bytes("/note/1", more=GENERATION)
KEY = "Authorization: Bearer acme-key-0123456789"


async def _hang(standin, request, writer):
    await asyncio.sleep(30.0)


async def _no_memory(standin, request, writer):
    if request.target == "/v1/hold-take":
        send_json(request, writer, {}, status=503)
        return True
    return False


async def _hang_in_prefill(standin, request, writer):
    if request.is_prefill:
        await asyncio.sleep(30.0)
    return False


async def _hang_in_run(standin, request, writer):
    if not request.is_system_call and not request.is_prefill:
        await asyncio.sleep(30.0)
    return False


async def _end_after(standin, request, writer):
    """Break a resumable stream off after an event, and grant no memory."""
    if request.target == "/v1/hold-take" and standin.runs:
        return await _no_memory(standin, request, writer)
    if request.is_prefill or not request.is_generation:
        return False
    standin.begin_stream(request, writer)
    send_event(writer, 1)
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()
    return True


async def _stop(raw, *, prefill=None, decode=None, prepare=None, config=None):
    """Return the answer, and when it came after the stop request."""
    engines = [
        StandInUpstream(upstream="p1", script=prefill),
        StandInUpstream(upstream="d1", script=decode),
    ]
    shop = StandInUpstream(upstream="s1", script=decode)
    for standin in (*engines, shop):
        await standin.start()
    loop = asyncio.get_running_loop()
    config = config_body(target_ms=6_000) if config is None else config
    async with entry_world(config=config) as world:
        if config:
            world.announce_engines(*engines)
            world.announce(shop)
        if prepare is not None:
            prepare(world)
        stopped_s = loop.time()
        ends_s = stopped_s + ENDS_S
        task = asyncio.create_task(world.exchange(raw))
        await asyncio.sleep(0.1)
        world.server.closing = True
        world.service.requests.stop(ends_s)
        await asyncio.wait({task}, timeout=ends_s - 0.1 - loop.time())
        world.service.requests.end_unanswered()
        await asyncio.wait({task}, timeout=ends_s - loop.time())
        await world.server.cut_all()
        return await task, loop.time() - stopped_s


def _wait_for_a_view(world):
    world.context.access.may_recover = lambda: True


def _name_limits(world):
    world.context.limits.rate_per_s = lambda upstream: 1.0
    world.context.limits._all = True


@pytest.mark.parametrize(
    ("raw", "options"),
    [
        (NOTE, {"decode": _no_memory}),
        (NOTE, {"decode": _hang}),
        (NOTE, {"prefill": _hang_in_prefill}),
        (NOTE, {"prepare": _name_limits}),
        (request_bytes("/order/1"), {"prepare": _name_limits}),
        (
            request_bytes("/order/1", more=(KEY,)),
            {
                "config": config_body(
                    organisations=listing(
                        acme=["acme-key-0123456789"],
                        quota={"RatePerS": 0.5, "Burst": 4},
                    )
                )
            },
        ),
        (NOTE, {"config": b"", "prepare": _wait_for_a_view}),
    ],
    ids=["memory", "hedge", "prefill", "slot", "call", "quota", "view"],
)
def test_wait_that_would_outlast_the_process_is_refused(raw, options):
    """Guards against a request that waits, and is cut with no answer."""
    answer, after_s = asyncio.run(_stop(raw, **options))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer
    assert b"connection: close" in answer.lower()
    assert b"instance stops" in answer
    assert after_s == pytest.approx(ENDS_S - REFUSAL_MARGIN_S, abs=0.15)


def _record_long_runs(world):
    for _ in range(MIN_RUNS):
        world.context.run_lengths.record("note", ENDS_S)


def test_wait_for_memory_ends_once_no_run_can_end_in_time():
    """Guards against a wait for memory that would come too late."""
    answer, after_s = asyncio.run(
        _stop(NOTE, decode=_no_memory, prepare=_record_long_runs)
    )
    assert answer.startswith(b"HTTP/1.1 503")
    assert after_s < 0.3


@pytest.mark.parametrize("raw", [NOTE, request_bytes("/order/1")])
def test_run_without_an_answer_fails_before_the_end(raw):
    """Guards against a refusal of what may have run, and against silence."""
    answer, after_s = asyncio.run(_stop(raw, decode=_hang_in_run))
    assert answer.startswith(b"HTTP/1.1 502")
    assert b"outcome unknown" in answer
    assert after_s == pytest.approx(ENDS_S - 0.1, abs=0.09)


def test_stream_that_waits_to_be_resumed_is_cut_last():
    """Guards against an answer that ends early though it could go on."""
    raw = request_bytes("/draft/1", more=GENERATION)
    answer, after_s = asyncio.run(_stop(raw, decode=_end_after))
    assert answer.startswith(b"HTTP/1.1 200")
    assert not answer.endswith(b"0\r\n\r\n")
    assert after_s >= ENDS_S - 0.05


def test_end_of_a_process_is_not_put_off_by_the_next_step():
    """Guards against a wait that begins while the end is on its way."""

    async def run():
        active = ActiveRequest(
            request=None,
            responder=None,
            call=None,
            route=None,
            service=None,
            version=1,
            deadline_s=asyncio.get_running_loop().time() + 60.0,
            organisation=None,
            arrivals=None,
        )
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(60.0) as time_limit:
                active.bind(time_limit, lambda request: math.inf)
                active.end_by_stop()
                active.enter(RequestState.MEMORY)
                await asyncio.sleep(1.0)
        return active.is_ended_by_stop

    assert asyncio.run(run())
