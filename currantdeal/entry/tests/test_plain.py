"""Calls that are not generations, against faulty stand-ins for upstreams."""

import asyncio
import itertools
import time

import pytest

from currantdeal.entry.plain import MAX_ATTEMPTS
from currantdeal.node.dialect import ResponseMetadata
from currantdeal.policy.limits.limit_owner import LimitGrant
from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_refusal,
)

MENU = request_bytes("/menu/1", method="GET", body=b"")
ORDER = request_bytes("/order/1", body=b"cake=1")


def _ask(
    raw, *scripts, allowance=100.0, prepare=lambda world: None, **options
):
    """Return the answer to one request, and the stand-ins of its upstreams."""

    async def run():
        standins = [
            StandInUpstream(upstream=f"u{n}", script=script)
            for n, script in enumerate(scripts, start=1)
        ]
        async with entry_world(allowance=allowance, **options) as world:
            for standin in standins:
                await standin.start()
                world.announce(standin)
            prepare(world)
            return await world.exchange(raw), standins

    return asyncio.run(run())


def _runs(standins):
    return sum(len(standin.runs) for standin in standins)


async def _full(standin, request, writer):
    send_refusal(request, writer)
    return True


async def _server_error(standin, request, writer):
    standin.send(request, writer, 500, b"broken")
    return True


async def _truncated(standin, request, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Currantdeal-Response-Signature: s\r\n"
        b"Content-Length: 100\r\n\r\npart"
    )
    await writer.drain()
    writer.close()
    return True


async def _silent(standin, request, writer):
    await asyncio.sleep(30.0)
    return True


async def _mismatched(standin, request, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Currantdeal-Response-Signature: s\r\n"
        b"X-Currantdeal-Request-Id: other\r\nContent-Length: 5\r\n\r\nalien"
    )
    await writer.drain()
    return True


def test_method_path_body_and_id_arrive_unchanged():
    answer, (standin,) = _ask(ORDER, None)
    (request,) = standin.requests
    assert request.method == "POST"
    assert request.target == "/order/1"
    assert request.body == b"cake=1"
    assert request.request_id == "r-1"
    assert request.get("X-Currantdeal-Expected-Instance") == "u1"
    assert 0 < int(request.get("X-Currantdeal-Deadline-Ms")) <= 2_000
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"by-u1" in answer
    assert answer.endswith(b"ok")


@pytest.mark.parametrize(
    "fault", [_server_error, _truncated, _silent, _mismatched]
)
def test_an_idempotent_call_is_retried_at_another_upstream(fault):
    """Guards against passing an upstream's failure to the caller.

    An upstream answers with an error, cuts its answer short, is silent, or
    sends the answer to another request.  The call is idempotent, so another
    upstream can answer it.
    """
    answers = []
    for _ in range(3):
        answer, standins = _ask(MENU, fault, None)
        answers.append(answer)
        assert _runs(standins) <= 2
    assert all(a.startswith(b"HTTP/1.1 200") for a in answers)
    assert not any(b"alien" in a for a in answers)


@pytest.mark.parametrize("fault", [_truncated, _silent, _mismatched])
def test_a_non_idempotent_call_is_never_sent_twice(fault):
    """Guards against running a call twice after its answer is lost.

    An upstream accepts an order and its answer is lost.  A second attempt
    would order a second cake.  The caller gets status 502 or 504, which leave
    the outcome open.
    """
    answer, standins = _ask(ORDER, fault, fault)
    assert _runs(standins) == 1
    assert answer.split()[1] in (b"502", b"504")


def test_a_refused_call_goes_to_another_upstream():
    answer, standins = _ask(ORDER, _full, None)
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(standins[1].requests) == 1


def test_a_call_that_all_upstreams_refuse_is_refused_with_retry_after():
    answer, _ = _ask(ORDER, _full, _full)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer.lower()


def test_an_error_of_the_upstream_is_forwarded_unchanged():
    answer, _ = _ask(ORDER, _server_error)
    assert answer.startswith(b"HTTP/1.1 500")
    assert b"by-u1" in answer
    assert answer.endswith(b"broken")


def test_retries_stop_when_the_budget_is_used_up():
    """Guards against a retry storm.

    Every upstream fails, as after a faulty release.  Without a budget each
    call would load the upstreams twice.
    """
    _, standins = _ask(MENU, _server_error, _server_error, allowance=0.0)
    assert _runs(standins) == 1


def test_a_second_answer_never_reaches_the_next_caller():
    """Guards against answers that reach the wrong caller.

    An upstream answers twice on one connection.  On a reused connection the
    second answer would be read as that to the next request.
    """

    async def twice(standin, request, writer):
        standin.send(request, writer, 200, b"first")
        standin.send(request, writer, 200, b"stray")
        await writer.drain()
        return True

    async def run():
        standin = StandInUpstream(script=twice)
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            return [await world.exchange(ORDER) for _ in range(3)]

    assert all(a.endswith(b"first") for a in asyncio.run(run()))


def test_without_upstreams_a_call_is_refused():
    answer, _ = _ask(ORDER)
    assert answer.startswith(b"HTTP/1.1 503")


def test_without_a_configuration_a_call_is_refused_instead_of_not_found():
    """Guards against a 404 for a route that exists.

    An entry restarts while control is unreachable, so it has no routes yet.
    """

    async def run():
        async with entry_world(config=b"") as world:
            return await world.exchange(ORDER)

    assert asyncio.run(run()).startswith(b"HTTP/1.1 503")


def test_an_unknown_route_is_not_found():
    answer, _ = _ask(request_bytes("/nothing/1"), None)
    assert answer.startswith(b"HTTP/1.1 404")


@pytest.mark.parametrize("size", [2, 20_000])
@pytest.mark.parametrize("raw", [MENU, ORDER])
def test_answer_is_delivered_after_a_pause_past_the_deadline(raw, size):
    """Guards against a 504 when a whole answer and its deadline coincide.

    The process stands still from the moment the answer is sent.
    """
    patience_s = 0.5

    async def pause(standin, request, writer):
        standin.send(request, writer, 200, b"x" * size)
        time.sleep(patience_s)
        return True

    raw = raw.replace(b"Ms: 3000", b"Ms: %d" % (patience_s * 1e3))
    answer, standins = _ask(raw, pause)
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"\r\n\r\n" + b"x" * size)
    assert _runs(standins) == 1


def test_pause_past_the_deadline_leads_to_no_further_attempt():
    """Guards against a request that goes on after its time is over."""

    async def pause(standin, request, writer):
        standin.send(request, writer, 500, b"broken")
        time.sleep(0.5)
        return True

    raw = MENU.replace(b"Ms: 3000", b"Ms: 500")
    answer, standins = _ask(raw, pause, pause)
    assert answer.startswith(b"HTTP/1.1 500")
    assert _runs(standins) == 1


def test_pipelined_requests_are_answered_in_order():
    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.announce(standin)
            raw = request_bytes("/order/1", close=False) + ORDER
            reader, _ = await world.send(raw)
            return await read_to_end(reader), standin

    answer, standin = asyncio.run(run())
    assert answer.count(b"HTTP/1.1 200") == 2
    assert len(standin.requests) == 2


@pytest.mark.parametrize("failures", [0, 20])
def test_repeats_that_mostly_fail_leave_the_shared_budget(failures):
    """Guards against a budget that is spent on calls that always fail.

    Without other requests, this entry has no credit of its own.
    """

    def fail(world):
        world.context.retry_budgets.on_denied("shop")
        for _ in range(failures):
            world.context.repeat_outcomes.record(
                "shop", failed=True, now_s=world.context.now_s
            )

    _, standins = _ask(MENU, _server_error, _server_error, prepare=fail)
    assert _runs(standins) == (1 if failures else 2)


@pytest.mark.parametrize(("names", "allowance"), [("ab", 0.0), ("a", 100.0)])
def test_slow_upstream_is_left_only_for_another_attempt(names, allowance):
    """Guards against the end of an attempt that nothing can follow.

    No repeat is allowed, or there is no other upstream.
    """

    async def answer_late(standin, request, writer):
        if not request.is_health_check:
            await asyncio.sleep(1.3)
        return False

    async def run():
        async with entry_world(allowance=allowance) as world:
            for name in names:
                standin = StandInUpstream(upstream=name, script=answer_late)
                await standin.start()
                world.announce(standin)
            return await world.exchange(request_bytes("/menu/1"))

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")


def test_slow_upstream_is_not_left_by_the_last_attempt():
    """Guards against the end of an attempt after which none is made."""
    numbers = itertools.count(1)

    async def answer(standin, request, writer):
        if request.is_health_check:
            return False
        if next(numbers) < MAX_ATTEMPTS:
            return await _full(standin, request, writer)
        await asyncio.sleep(1.3)
        return False

    raw, _ = _ask(MENU, *[answer] * (MAX_ATTEMPTS + 1))
    assert raw.startswith(b"HTTP/1.1 200")


def test_slow_upstream_is_not_left_for_a_repeat_that_is_withheld():
    """Guards against the end of an attempt before a repeat that is denied.

    Repeats after an error turn out to fail mostly while the second attempt
    runs, and a third one is not made for that reason.
    """
    worlds, numbers = [], itertools.count(1)

    async def answer(standin, request, writer):
        if request.is_health_check:
            return False
        if next(numbers) == 1:
            return await _server_error(standin, request, writer)
        fail_mostly(worlds[0].context)
        await asyncio.sleep(1.5)
        return False

    def fail_mostly(context):
        context.retry_budgets.on_denied("shop")
        for _ in range(20):
            context.repeat_outcomes.record(
                "shop", failed=True, now_s=context.now_s
            )

    config = config_body().replace(b'"MaxAttempts":2', b'"MaxAttempts":3')
    raw, _ = _ask(MENU, *[answer] * 3, config=config, prepare=worlds.append)
    assert raw.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("has_slot", [False, True])
def test_slow_upstream_is_left_only_for_one_with_a_slot(has_slot):
    """Guards against the end of an attempt while all others are at limits."""

    async def answer_late(standin, request, writer):
        if not request.is_health_check:
            await asyncio.sleep(1.3)
        return False

    async def grant(ask, timeout_s):
        return LimitGrant(upstream="u2" if has_slot else "", retry_after_s=9.0)

    def limit(world):
        limits = world.context.limits
        limits.ask_owner = grant
        limits.observe(
            "u2",
            ResponseMetadata(not_run=False, is_signed=True, limit_per_s=1.0),
        )

    answer, standins = _ask(MENU, answer_late, None, prepare=limit)
    assert answer.startswith(b"HTTP/1.1 200")
    assert [len(standin.runs) for standin in standins] == [1, int(has_slot)]
