"""Every arrival beyond the first of a request uses the retry budget."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.adapters.metrics import Metrics
from currantdeal.entry.arrivals import ArrivalKind, Arrivals, RetryCharge
from currantdeal.node.errors import UnchargedError
from currantdeal.registry import Stage
from currantdeal.testing.answer_shapes import reset
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_numbers,
    send_event,
    send_refusal,
)

CONFIG = config_body(target_ms=2_000)
WAIT_S = 5.0
TIMEOUT_S = 8.0
NOTE = request_bytes("/note/1", more=GENERATION)


async def _refuse(request, writer):
    send_refusal(request, writer)


async def _reset(request, writer):
    reset(writer)


async def _stay_silent(request, writer):
    await asyncio.sleep(5.0)


async def _cut_short(request, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")
    writer.close()


FAILURES = {
    "refused": _refuse,
    "reset": _reset,
    "unanswered": _stay_silent,
    "lost": _cut_short,
}


def _failing(fail):
    """Return a script that fails each prefill and each run."""

    async def script(standin, request, writer):
        if request.is_system_call:
            return False
        await fail(request, writer)
        return True

    return script


async def _serve(
    engines, *, allowance, raw=NOTE, config=CONFIG, timeout_s=WAIT_S
):
    """Return the answer to a note, with engines by their names."""
    async with entry_world(config=config, allowance=allowance) as world:
        for standin in engines.values():
            await standin.start()
            stage = Stage.PREFILL if standin.upstream[0] == "p" else None
            world.announce(
                standin, service="model", stage=stage or Stage.DECODE
            )
        return await world.exchange(raw, timeout_s=timeout_s)


def _arrivals(engines):
    """Return the numbers of prefills and of runs that arrived."""
    received = [r for standin in engines.values() for r in standin.requests]
    arrived = [r for r in received if not r.is_system_call]
    prefills = sum(r.is_prefill for r in arrived)
    return prefills, len(arrived) - prefills


@pytest.mark.parametrize("how", FAILURES)
def test_no_run_follows_a_failed_prefill_without_retry_budget(how):
    """Guards against a run after a failed prefill that nobody charges."""
    engines = {
        "p1": StandInUpstream(upstream="p1", script=_failing(FAILURES[how])),
        "d1": StandInUpstream(upstream="d1"),
    }
    answer = asyncio.run(_serve(engines, allowance=0.0))
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer.lower()
    assert _arrivals(engines) == (1, 0)


@pytest.mark.parametrize("how", FAILURES)
def test_a_run_follows_a_failed_prefill_within_the_retry_budget(how):
    """Guards against refusals while the retry budget is not used up."""
    engines = {
        "p1": StandInUpstream(upstream="p1", script=_failing(FAILURES[how])),
        "d1": StandInUpstream(upstream="d1"),
    }
    answer = asyncio.run(_serve(engines, allowance=2.0))
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert _arrivals(engines) == (1, 1)


@pytest.mark.parametrize("allowance", [0.0, 1.0, 2.0, 3.0])
def test_refused_arrivals_stay_within_the_retry_budget(allowance):
    """Guards against attempts that arrive more often than they are charged."""
    engines = {
        name: StandInUpstream(upstream=name, script=_failing(_refuse))
        for name in ("p1", "p2", "d1", "d2")
    }
    answer = asyncio.run(_serve(engines, allowance=allowance))
    assert answer.startswith(b"HTTP/1.1 503")
    assert sum(_arrivals(engines)) <= 1 + allowance


_SENT = st.tuples(
    st.sampled_from(ArrivalKind), st.booleans(), st.booleans(), st.booleans()
)
"""A kind, whether it is charged before, whether it is accepted, and whether
charges are given back before it."""


@settings(max_examples=300, derandomize=True, deadline=None)
@given(allowance=st.integers(0, 5), sent=st.lists(_SENT, max_size=12))
def test_what_is_sent_beyond_the_first_is_charged(allowance, sent):
    """Guards against a sequence of arrivals of which one is not charged."""
    budget = [RetryCharge(until_s=1.0)] * allowance

    async def charge(service, count):
        if len(budget) < count:
            return None
        return [budget.pop() for _ in range(count)]

    arrivals = Arrivals(
        service="model",
        charge=charge,
        give_back=lambda service, charges: budget.extend(charges),
        metrics=Metrics(),
        clock=lambda: 0.0,
    )
    arrived, is_prefilled = 0, False
    for kind, asks, is_accepted, gives_back in sent:
        if asks:
            asyncio.run(arrivals.may_send(kind))
        if gives_back:
            arrivals.give_back()
        try:
            arrivals.begin(kind)
        except UnchargedError:
            continue
        if kind is ArrivalKind.PREFILL and is_accepted:
            arrivals.accept_prefill()
            arrived += is_prefilled
            is_prefilled = True
        else:
            arrived += 1
        assert max(0, arrived - 1) <= arrivals.charged
    arrivals.give_back()
    assert arrivals.charged == allowance - len(budget)


def test_a_charge_that_has_lapsed_sends_nothing():
    """Guards against a charge that is used in another window."""
    now_s = 0.0

    async def charge(service, count):
        return [RetryCharge(until_s=2.0)] * count

    async def run():
        nonlocal now_s
        arrivals = Arrivals(
            service="shop",
            charge=charge,
            give_back=lambda service, charges: None,
            metrics=Metrics(),
            clock=lambda: now_s,
        )
        arrivals.begin(ArrivalKind.CALL)
        assert await arrivals.may_send(ArrivalKind.CALL)
        now_s = 2.0
        with pytest.raises(UnchargedError):
            arrivals.begin(ArrivalKind.CALL)

    asyncio.run(run())


PATIENT = config_body(timeout_ms=int(TIMEOUT_S * 1e3))
DRAFT = request_bytes("/draft/1", more=GENERATION).replace(
    b"Deadline-Ms: 3000", b"Deadline-Ms: 8000"
)
PAUSE_EVENT = 3
PAUSE_S = 4.0


async def _answer_unless_silent(standin, request, writer):
    """Leave prefills unanswered; the first stream pauses in the middle."""
    if request.is_prefill:
        await asyncio.sleep(TIMEOUT_S)
        return True
    if request.is_system_call or request.get("Last-Event-Id"):
        return False
    standin.begin_stream(request, writer)
    for number in range(1, PAUSE_EVENT):
        send_event(writer, number)
    await writer.drain()
    await asyncio.sleep(PAUSE_S)
    for number in range(PAUSE_EVENT, EVENTS + 1):
        send_event(writer, number)
    writer.write(b"0\r\n\r\n")
    return True


@pytest.mark.parametrize("allowance", [2, 3, 4, 5, 6, 8, 12])
def test_stream_that_is_moved_keeps_the_charge_of_its_run(allowance):
    """Guards against an answer that ends early as a prefill used its charge.

    Its engine pauses, and prefill engines take prompts without an answer.
    """
    engines = {
        name: StandInUpstream(upstream=name, script=_answer_unless_silent)
        for name in ("p1", "p2", "p3", "d1", "d2")
    }
    answer = asyncio.run(
        _serve(
            engines,
            allowance=allowance,
            raw=DRAFT,
            config=PATIENT,
            timeout_s=TIMEOUT_S,
        )
    )
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
