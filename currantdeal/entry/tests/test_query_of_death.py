"""Queries of death: requests that crash each upstream that runs them.

Load pattern: a caller retries such a request while other callers send healthy
ones to the same upstreams.
"""

import asyncio

import pytest

from currantdeal.registry import Stage
from currantdeal.testing.crashing_upstream import CrashingUpstream
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import EVENTS, event_numbers

POISON = b"poison"

ALLOWED_CRASHES = 3
"""Crashes after which a request is quarantined."""

REPEATS = 10
"""Number of times that the query of death is sent."""

KINDS = {
    "menu": ("/menu/1", ()),
    "order": ("/order/1", ()),
    "note": ("/note/1", GENERATION),
    "draft": ("/draft/1", GENERATION),
}


def _is_poison(request):
    return request.body == POISON


def _request(kind, body):
    target, more = KINDS[kind]
    return request_bytes(target, body=body, more=more)


def _is_served(kind, body, answer):
    if KINDS[kind][1]:
        return event_numbers(answer) == list(range(1, EVENTS + 1))
    return answer.startswith(b"HTTP/1.1 200") and answer.endswith(body)


class _Fleet:
    """Upstreams of both services, announced to the entry at each start."""

    def __init__(self, *, world, size=6, **options):
        self._world = world
        self.standins = {}
        for number in range(size):
            self._add(f"s{number}", ("shop", None), options)
            self._add(f"d{number}", ("model", Stage.DECODE), options)
        for name in ("p1", "p2"):
            self._add(name, ("model", Stage.PREFILL), options)

    def _add(self, name, place, options):
        standin = CrashingUpstream(
            upstream=name,
            crashes_on=_is_poison,
            on_restart=lambda standin: self._announce(standin, place),
            **options,
        )
        self.standins[name] = (standin, place)

    async def start(self):
        for standin, place in self.standins.values():
            await standin.start()
            self._announce(standin, place)

    @property
    def crashes(self):
        return sum(len(s.crashes) for s, _ in self.standins.values())

    def _announce(self, standin, place):
        service, stage = place
        self._world.announce(
            standin,
            service=service,
            stage=stage,
            incarnation=standin.incarnation,
        )


async def _send_repeatedly(world, kind, *, pause_s=0.25):
    """Send the query of death repeatedly; returns the answers."""
    answers = []
    for _ in range(REPEATS):
        answers.append(await world.exchange(_request(kind, POISON)))
        await asyncio.sleep(pause_s)
    return answers


async def _send_healthy(world, kind, answers, *, bodies, done):
    """Send healthy requests until ``done`` is set."""
    number = 0
    while not done.is_set():
        body = bodies[number % len(bodies)]
        number += 1
        answer = await world.exchange(_request(kind, body))
        answers.append((body, answer))
        await asyncio.sleep(0.01)


def _run_scenario(kind, *, bodies=(), senders=0, before=0, **options):
    """Return the fleet, the query of death's answers and the other answers.

    Healthy requests are sent before it, so that there are idle connections,
    and concurrently with it.
    """

    async def run():
        other_answers = []
        done = asyncio.Event()
        async with entry_world() as world:
            fleet = _Fleet(world=world, **options)
            await fleet.start()
            for _ in range(before):
                await world.exchange(_request(kind, b"sound"))
            tasks = [
                asyncio.ensure_future(
                    _send_healthy(
                        world, kind, other_answers, bodies=bodies, done=done
                    )
                )
                for _ in range(senders)
            ]
            answers = await _send_repeatedly(world, kind)
            done.set()
            await asyncio.gather(*tasks)
            return fleet, answers, other_answers

    return asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_query_of_death_is_not_sent_after_three_crashes(kind):
    """Guards against a query of death that takes the whole service down.

    The request crashes each upstream that runs it, and its caller retries.
    """
    fleet, answers, _ = _run_scenario(kind)
    assert fleet.crashes == ALLOWED_CRASHES
    assert all(a.startswith(b"HTTP/1.1 429") for a in answers[3:])
    assert all(b"retry-after" in a.lower() for a in answers[3:])


@pytest.mark.parametrize("kind", ["note", "draft"])
def test_query_of_death_in_prefill_is_not_sent_after_three_crashes(kind):
    """Guards against a prompt that crashes each engine that prefills it."""
    fleet, answers, _ = _run_scenario(kind, crashes_in_prefill=True)
    assert fleet.crashes == ALLOWED_CRASHES
    assert all(a.startswith(b"HTTP/1.1 429") for a in answers[3:])


def test_crash_on_a_reused_connection_counts():
    """Guards against taking a crash for a stale connection.

    The request that crashes the engine is sent on an idle connection, which
    could also have been closed for other reasons.
    """
    fleet, _, _ = _run_scenario("note", before=6, crashes_in_prefill=True)
    assert fleet.crashes == ALLOWED_CRASHES


@pytest.mark.parametrize("kind", KINDS)
def test_requests_concurrent_with_a_query_of_death_are_served(kind):
    """Guards against refusing a request for a crash that another one caused.

    One body is sent many times a second, so that it runs on each upstream
    that crashes.
    """
    bodies = (b"popular",)
    fleet, _, other_answers = _run_scenario(kind, bodies=bodies, senders=4)
    refused = [a for _, a in other_answers if a.startswith(b"HTTP/1.1 429")]
    served = [a for b, a in other_answers if _is_served(kind, b, a)]
    assert fleet.crashes == ALLOWED_CRASHES
    assert refused == []
    assert len(served) >= 0.9 * len(other_answers)
