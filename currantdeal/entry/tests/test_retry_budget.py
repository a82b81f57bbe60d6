"""Every arrival beyond the first of a request uses the retry budget."""

import asyncio

import pytest

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
    send_refusal,
)

CONFIG = config_body(target_ms=2_000)
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


async def _serve(engines, *, allowance):
    """Return the answer to a note, with engines by their names."""
    async with entry_world(config=CONFIG, allowance=allowance) as world:
        for standin in engines.values():
            await standin.start()
            stage = Stage.PREFILL if standin.upstream[0] == "p" else None
            world.announce(
                standin, service="model", stage=stage or Stage.DECODE
            )
        return await world.exchange(NOTE)


def _arrivals(engines):
    """Return the numbers of prefills and of runs that arrived."""
    received = [r for standin in engines.values() for r in standin.requests]
    arrived = [r for r in received if not r.is_system_call]
    prefills = sum(r.is_prefill for r in arrived)
    return prefills, len(arrived) - prefills


@pytest.mark.known_red
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


@pytest.mark.parametrize(
    "allowance",
    [pytest.param(0.0, marks=pytest.mark.known_red), 1.0, 2.0, 3.0],
)
def test_refused_arrivals_stay_within_the_retry_budget(allowance):
    """Guards against attempts that arrive more often than they are charged."""
    engines = {
        name: StandInUpstream(upstream=name, script=_failing(_refuse))
        for name in ("p1", "p2", "d1", "d2")
    }
    answer = asyncio.run(_serve(engines, allowance=allowance))
    assert answer.startswith(b"HTTP/1.1 503")
    assert sum(_arrivals(engines)) <= 1 + allowance
