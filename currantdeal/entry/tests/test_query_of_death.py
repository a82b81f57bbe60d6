"""A request that crashes each upstream that runs it, and what runs beside."""

import asyncio

import pytest

from currantdeal.registry import Stage
from currantdeal.testing.crashing_upstream import CrashingUpstream
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import EVENTS, pieces

POISON = b"poison"

ALLOWED_CRASHES = 3
"""Crashes from which a request is known for the cause."""

REPEATS = 10

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
        return pieces(answer) == list(range(1, EVENTS + 1))
    return answer.startswith(b"HTTP/1.1 200") and answer.endswith(body)


class _Fleet:
    """Upstreams of both services that an entry hears of when they are back."""

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
            crashes_under=_is_poison,
            on_back=lambda standin: self._announce(standin, place),
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
        self._world.know(
            standin,
            service=service,
            stage=stage,
            incarnation=standin.incarnation,
        )


async def _repeat(world, kind, *, pause_s=0.25):
    """Return the answers to a poisonous request that is sent repeatedly."""
    answers = []
    for _ in range(REPEATS):
        answers.append(await world.ask(_request(kind, POISON)))
        await asyncio.sleep(pause_s)
    return answers


async def _send_others(world, kind, answers, *, bodies, done):
    """Send sound requests until told to stop."""
    number = 0
    while not done.is_set():
        body = bodies[number % len(bodies)]
        number += 1
        answer = await world.ask(_request(kind, body))
        answers.append((body, answer))
        await asyncio.sleep(0.01)


def _play(kind, *, bodies=(), senders=0, before=0, **options):
    """Return the fleet, the poison's answers and those of sound requests.

    Sound requests are sent before it, so that connections are kept, and beside
    it.
    """

    async def run():
        others = []
        done = asyncio.Event()
        async with entry_world() as world:
            fleet = _Fleet(world=world, **options)
            await fleet.start()
            for _ in range(before):
                await world.ask(_request(kind, b"sound"))
            tasks = [
                asyncio.ensure_future(
                    _send_others(world, kind, others, bodies=bodies, done=done)
                )
                for _ in range(senders)
            ]
            answers = await _repeat(world, kind)
            done.set()
            await asyncio.gather(*tasks)
            return fleet, answers, others

    return asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_query_of_death_is_not_sent_after_three_crashes(kind):
    """Guards against a request that crashes one upstream after the other."""
    fleet, answers, _ = _play(kind)
    assert fleet.crashes == ALLOWED_CRASHES
    assert all(a.startswith(b"HTTP/1.1 429") for a in answers[3:])
    assert all(b"retry-after" in a.lower() for a in answers[3:])


@pytest.mark.parametrize("kind", ["note", "draft"])
def test_query_of_death_in_prefill_is_not_sent_after_three_crashes(kind):
    """Guards against a prompt that crashes the engines that prefill it."""
    fleet, answers, _ = _play(kind, crashes_in_prefill=True)
    assert fleet.crashes == ALLOWED_CRASHES
    assert all(a.startswith(b"HTTP/1.1 429") for a in answers[3:])


def test_crash_on_a_kept_connection_counts():
    """Guards against a crash that passes for a connection that was stale."""
    fleet, _, _ = _play("note", before=6, crashes_in_prefill=True)
    assert fleet.crashes == ALLOWED_CRASHES


@pytest.mark.parametrize("kind", KINDS)
def test_requests_beside_a_query_of_death_are_served(kind):
    """Guards against refusing a request for a crash that another caused.

    One body is sent many times a second, so that it is beside each crash.
    """
    bodies = (b"popular",)
    fleet, _, others = _play(kind, bodies=bodies, senders=4)
    refused = [a for _, a in others if a.startswith(b"HTTP/1.1 429")]
    served = [a for b, a in others if _is_served(kind, b, a)]
    assert fleet.crashes == ALLOWED_CRASHES
    assert refused == []
    assert len(served) >= 0.9 * len(others)
