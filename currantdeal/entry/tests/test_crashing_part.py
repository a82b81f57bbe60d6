"""Parts of prompts that crash each engine that runs a request with them.

Load pattern: query of death, where no two requests are alike.
"""

import asyncio
import random

import pytest

from currantdeal.node.fingerprint import fingerprint_prefix, part_fingerprint
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.identity import (
    IdentityKind,
    part_identity,
)
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.registry import Stage
from currantdeal.testing.crashing_upstream import CrashingUpstream
from currantdeal.testing.entry_world import (
    config_body,
    entry_world,
    listing,
)
from currantdeal.testing.prompt_parts import (
    PromptSender,
    generation_bytes,
    shared_parts,
)

ALLOWED_CRASHES = 3
BAD = "bad"
PROMPT = ("a0", BAD)
SOUND = ("a0", "c0")


class _Fleet:
    """Engines that crash on a part, announced to the entry at each start."""

    def __init__(self, *, world, **options):
        self._world = world
        self.is_mended = False
        self.standins = [
            CrashingUpstream(
                upstream=name,
                crashes_on=self._crashes_on,
                on_restart=self._announce,
                **{"down_s": 0.2, "work_s": 0.05, **options},
            )
            for name in ("p1", "p2", *(f"d{n}" for n in range(6)))
        ]

    async def start(self):
        for standin in self.standins:
            await standin.start()
            self._announce(standin)

    @property
    def crashes(self):
        return sum(len(s.crashes) for s in self.standins)

    @property
    def sent(self):
        return sum(len(s.sent) for s in self.standins)

    def _crashes_on(self, request):
        bad = any(part.startswith(BAD) for part in shared_parts(request))
        return bad and not self.is_mended

    def _announce(self, standin):
        is_prefill = standin.upstream.startswith("p")
        self._world.announce(
            standin,
            service="model",
            stage=Stage.PREFILL if is_prefill else Stage.DECODE,
            incarnation=standin.incarnation,
        )


def _sender(world, *routes, **options):
    return PromptSender(
        addresses=lambda: [world.address],
        rng=random.Random(1),
        routes=routes or ("/draft/1",),
        **options,
    )


async def _send_each(sender, prompts, *, pause_s=0.3):
    for parts in prompts:
        await sender.send(parts)
        await asyncio.sleep(pause_s)


def _play(script, *, config=None, **options):
    """Run a coroutine function with an entry and its engines."""

    async def run():
        async with entry_world(config=config) as world:
            fleet = _Fleet(world=world, **options)
            await fleet.start()
            return await script(world, fleet)

    return asyncio.run(run())


@pytest.mark.parametrize("route", ["/draft/1", "/note/1"])
@pytest.mark.parametrize(
    "options",
    [{}, {"crashes_in_prefill": True}, {"events_before_crash": 2}],
    ids=["first-event", "prefill", "between-events"],
)
def test_part_is_refused_once_it_has_crashed_engines(route, options):
    """Guards against different requests that crash one engine each."""

    async def script(world, fleet):
        sender = _sender(world, route)
        await _send_each(sender, [SOUND, *[PROMPT] * 9])
        before = fleet.sent
        answer = await sender.send(PROMPT)
        return fleet.crashes, fleet.sent - before, answer

    crashes, sent, answer = _play(script, **options)
    assert crashes <= (5 if "events_before_crash" in options else 3)
    assert sent == 0
    assert answer.status == 429
    assert b"retry-after" in answer.raw.lower()
    assert fingerprint_prefix(part_fingerprint(BAD)).encode() in answer.raw


def test_sound_parts_beside_it_are_served():
    """Guards against refusing all requests that share a part with it."""

    async def script(world, fleet):
        sender, sound = _sender(world), _sender(world)
        await _send_each(sound, [SOUND], pause_s=0.0)
        await _send_each(sender, [PROMPT] * 4)
        await _send_each(sound, [SOUND, ("a0",), ("a0", "c9")] * 2)
        return sound.answers

    assert all(answer.is_whole for answer in _play(script))


def test_request_with_one_of_two_parts_is_run_and_decides():
    """Guards against refusing a sound part that stood beside a culprit."""

    async def script(world, fleet):
        sender = _sender(world)
        await _send_each(sender, [("a0",), *[("a0", "b9", BAD)] * 4])
        both = await sender.send(("a0", "b9", BAD))
        other = await sender.send(("a0", "b9"))
        await asyncio.sleep(0.3)
        crashes = fleet.crashes
        alone = await sender.send(("a0", BAD))
        return both, other, alone, crashes, fleet.crashes

    both, other, alone, before, after = _play(script)
    assert both.status == 429
    assert other.is_whole
    assert alone.status == 429
    assert (before, after) == (ALLOWED_CRASHES, ALLOWED_CRASHES)


def test_popular_part_beside_two_culprits_is_served_soon():
    """Guards against refusing a part that had no time to complete."""

    async def script(world, fleet):
        sender = _sender(world, "/note/1")
        for culprit in ("bad1", "bad2", "bad1"):
            await _send_each(sender, [("a0", culprit, "c0")], pause_s=0.2)
        refused = await sender.send(SOUND)
        await _send_each(sender, [SOUND] * 4, pause_s=0.3)
        served = await sender.send(SOUND)
        again = await sender.send(("a0", "bad1", "c0"))
        return refused, served, again

    refused, served, again = _play(script)
    assert refused.status == 429
    assert served.is_whole
    assert again.status in (429, 502)


def _is_due(members, **options):
    return True


@pytest.mark.parametrize("is_mended", [True, False])
def test_trial_clears_a_part_that_no_longer_crashes(monkeypatch, is_mended):
    """Guards against a part that is refused for ever by mistake."""

    async def script(world, fleet):
        sender = _sender(world)
        await _send_each(sender, [("a0",), *[PROMPT] * 4])
        refused = await sender.send(PROMPT)
        fleet.is_mended = is_mended
        with monkeypatch.context() as patch:
            patch.setattr(world.context.crash_watch._trials, "is_due", _is_due)
            trial = await sender.send(PROMPT)
        await asyncio.sleep(0.3)
        after = await sender.send(PROMPT)
        return refused, trial, after, fleet.crashes

    refused, trial, after, crashes = _play(script)
    assert refused.status == 429
    if is_mended:
        assert trial.is_whole
        assert after.is_whole
        assert crashes == ALLOWED_CRASHES
    else:
        assert trial.status == 502
        assert after.status == 429
        assert crashes == ALLOWED_CRASHES + 1


def test_part_that_crashes_for_one_organisation_is_run_for_another():
    """Guards against an organisation that has another's part refused."""
    config = config_body(organisations=listing(mill=["m1ll"], bakery=["b4ke"]))

    async def script(world, fleet):
        mill, bakery = (
            _sender(world, headers=(f"Authorization: Bearer {key}",))
            for key in ("m1ll", "b4ke")
        )
        await _send_each(mill, [PROMPT] * 4)
        refused = await mill.send(PROMPT)
        first = await bakery.send(PROMPT)
        await asyncio.sleep(0.3)
        second = await bakery.send(PROMPT)
        return refused, first, second

    refused, first, second = _play(script, config=config)
    assert refused.status == 429
    assert first.status == 502
    assert second.status == 429


def test_crash_of_an_engine_that_restarts_at_once_counts():
    """Guards against a crash that is taken for a reset by the network."""

    async def script(world, fleet):
        sender = _sender(world, "/note/1")
        await _send_each(sender, [("a0",), *[PROMPT] * 3], pause_s=0.7)
        return await sender.send(PROMPT)

    assert _play(script, down_s=0.0).status == 429


@pytest.mark.parametrize("down_s", [0.0, 0.2])
def test_open_ended_answer_that_a_crash_ends_clears_nothing(down_s):
    """Guards against a crash between two events that counts as an end."""

    async def script(world, fleet):
        sender = _sender(world, "/note/1")
        await _send_each(sender, [PROMPT] * 5, pause_s=0.7)
        return await sender.send(PROMPT)

    answer = _play(
        script, down_s=down_s, is_framed=False, events_before_crash=3
    )
    assert answer.status == 429


def test_crash_that_another_entry_reports_counts_for_a_caller_who_left():
    """Guards against crashes under requests whose callers left before."""
    part = part_identity(IdentityKind.PART, part_fingerprint("a0"))

    async def script(world, fleet):
        raw = generation_bytes(SOUND, request_id="1", route="/note/1")
        _, writer = await world.send(raw)
        while not (running := [s for s in fleet.standins if s.runs]):
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.1)
        crash = Crash(upstream=running[0].upstream, started_ms=1_000)
        watch = world.context.crash_watch
        watch.merge((SuspectRecord(fingerprint=b"other", crashes=(crash,)),))
        return {r.fingerprint: r.crashes for r in watch.records}

    assert len(_play(script, work_s=5.0)[part]) == 1


def test_long_header_of_parts_costs_the_caller_nothing():
    """Guards against a request that is refused for its number of parts."""

    async def script(world, fleet):
        parts = [f"{number:x}" for number in range(200)]
        return await _sender(world).send(parts)

    assert _play(script).is_whole
