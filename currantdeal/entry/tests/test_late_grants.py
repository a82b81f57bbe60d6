"""Engines that grant memory after nobody waits for it any more."""

import asyncio

import pytest

from currantdeal.entry.memory import RESERVE_TIMEOUT_S
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
    send_json,
    send_refusal,
)

CONFIG = config_body(target_ms=2_000)
NOTE = request_bytes("/note/1", more=GENERATION)


def _grants_after(stall_s, *, refuses=False):
    """Return a script of an engine that stands still before each grant."""

    async def script(standin, request, writer):
        if request.target != "/v1/hold-take":
            return False
        await asyncio.sleep(stall_s)
        if refuses:
            send_refusal(request, writer)
        else:
            hold = f"hold-{len(standin.requests)}"
            send_json(request, writer, {"Hold": hold})
        return True

    return script


async def _play(script, *, wait_s):
    """Return the answers to notes and the engine that one half asks first."""
    prefill, slow, sound = (
        StandInUpstream(upstream=name, script=own)
        for name, own in (("p1", None), ("d1", script), ("d2", None))
    )
    async with entry_world(config=CONFIG) as world:
        for engine in (prefill, slow, sound):
            await engine.start()
        world.announce_engines(prefill, slow, sound)
        # The engine that stands still looks emptier.
        world.context.load.add("d2", 9_000)
        answers = [await world.exchange(NOTE)]
        await asyncio.sleep(wait_s)
        return answers, slow


def _targets(engine, path):
    return [r.target for r in engine.requests if r.target.startswith(path)]


@pytest.mark.parametrize("stall_s", [RESERVE_TIMEOUT_S + 0.2, 2.0])
def test_grant_that_comes_too_late_is_released(stall_s):
    """Guards against memory that is held for nobody after a pause."""
    answers, slow = asyncio.run(_play(_grants_after(stall_s), wait_s=stall_s))
    assert event_numbers(answers[0]) == list(range(1, EVENTS + 1))
    taken = len(_targets(slow, "/v1/hold-take"))
    assert taken
    assert len(_targets(slow, "/v1/hold-drop/hold-")) == taken


def test_refusal_that_comes_too_late_releases_nothing():
    """Guards against the release of what was never granted."""
    script = _grants_after(RESERVE_TIMEOUT_S + 0.2, refuses=True)
    answers, slow = asyncio.run(_play(script, wait_s=1.0))
    assert event_numbers(answers[0]) == list(range(1, EVENTS + 1))
    assert _targets(slow, "/v1/hold-take")
    assert not _targets(slow, "/v1/hold-drop")
