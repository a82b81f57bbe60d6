"""Load pattern: engines stand still together, go dark, or wait for work."""

import asyncio
import time

import pytest

from currantdeal.entry.run_contacts import MAX_IDLE, TICK_S
from currantdeal.policy.health.silence_scope import SilenceScope
from currantdeal.registry import Stage
from currantdeal.registry.tests.builders import an_upstream
from currantdeal.testing.contact_play import (
    GAP_TARGET_S,
    MIN_GAPS,
    ContactPlay,
    PlayClock,
    contacts_of,
)
from currantdeal.testing.entry_world import entry_world

ONSET_S = 2.0
LEFT_S = (MIN_GAPS + 1) * GAP_TARGET_S
"""Longest silence at a dark engine among engines that speak."""

LOST_S = 10.0
SITE = {f"d{n}": "dc1" for n in range(10)}
SMALL = {"d0": "dc1", "d1": "dc1", "d2": "dc1"}
TWO_CENTERS = {f"d{n}": f"dc{1 + n % 2}" for n in range(10)}


def _began(clock, stage=Stage.DECODE, **more):
    contacts = contacts_of(clock)
    return contacts, contacts.began(an_upstream(), stage, **more)


def _only(contacts, clock):
    (engine,) = contacts.facts(clock.now_s).decode
    return engine


def _pauses(*, for_s, jitter_s, dark=()):
    """Return a silence of all engines; they go on one after the other."""

    def is_silent(name, now_s):
        if now_s < ONSET_S:
            return False
        back_s = ONSET_S + for_s + jitter_s * int(name[1:]) / 10
        return name in dark or now_s < back_s

    return is_silent


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("runs", [1, 8])
@pytest.mark.parametrize("places", [SITE, SMALL, TWO_CENTERS])
@pytest.mark.parametrize("for_s", [0.5, 1.5, 2.0, 5.0])
@pytest.mark.parametrize("jitter_s", [0.0, 0.5])
def test_pause_of_all_moves_nothing(for_s, jitter_s, places, runs, seed):
    """Guards against moves that meet engines as silent as the first."""
    is_silent = _pauses(for_s=for_s, jitter_s=jitter_s)
    play = ContactPlay(is_silent=is_silent, runs=runs, seed=seed)
    asked = play.play(places, ONSET_S + for_s + 2.0)
    assert {a.scope for a in asked} <= {SilenceScope.COMMON}
    assert asked or for_s < MIN_GAPS * GAP_TARGET_S


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("runs", [1, 8])
@pytest.mark.parametrize(
    ("places", "dark"),
    [
        (SITE, {"d0", "d1"}),
        (SITE, {"d0", "d1", "d2"}),
        (SITE, {f"d{n}" for n in range(7)}),
        (SMALL, {"d0", "d1"}),
        (TWO_CENTERS, {"d0", "d2", "d4", "d6", "d8"}),
    ],
)
def test_dark_engines_are_left_as_soon_as_others_speak(
    places, dark, runs, seed
):
    """Guards against streams that wait at engines without power."""
    is_silent = _pauses(for_s=0.0, jitter_s=0.0, dark=dark)
    play = ContactPlay(is_silent=is_silent, runs=runs, seed=seed)
    asked = play.play(places, ONSET_S + 3.0)
    assert {a.upstream for a in asked} == dark
    first = [a for a in asked if a.silence_s < LEFT_S]
    assert len(first) == runs * len(dark)
    assert all(a.scope is SilenceScope.ENGINE for a in first)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("places", [SITE, SMALL])
def test_engine_that_does_not_come_back_is_left(places, seed):
    """Guards against a pause of all that hides an engine that is gone."""
    is_silent = _pauses(for_s=2.0, jitter_s=0.5, dark={"d0"})
    play = ContactPlay(is_silent=is_silent, seed=seed)
    asked = play.play(places, LOST_S)
    left_s = [a.at_s for a in asked if a.scope is SilenceScope.ENGINE]
    assert {a.upstream for a in asked if a.at_s in left_s} == {"d0"}
    assert min(left_s) < ONSET_S + 2.5 + 3 * GAP_TARGET_S


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("places", [SITE, SMALL, {"d0": "dc1"}])
@pytest.mark.parametrize("for_s", [0.5, 1.5, 3.0])
def test_stop_of_the_entry_blames_dark_engines_alone(for_s, places, seed):
    """Guards against moves of all streams after a stop, and of none."""
    dark = {"d0"} if len(places) > 1 else set()
    is_silent = _pauses(for_s=0.0, jitter_s=0.0, dark=dark)
    play = ContactPlay(
        is_silent=is_silent, seed=seed, stop_s=(ONSET_S + 0.5, for_s)
    )
    asked = play.play(places, LOST_S)
    left = [a for a in asked if a.scope is not SilenceScope.COMMON]
    assert {a.upstream for a in left} == dark
    stop_end_s = ONSET_S + 0.5 + for_s
    assert not left or left[0].at_s < stop_end_s + LEFT_S


def test_wait_for_the_first_event_counts_for_prefills_alone():
    """Guards against long prompts that look like silent engines."""
    for stage in (Stage.DECODE, Stage.PREFILL):
        clock = PlayClock()
        contacts, _ = _began(clock, stage)
        clock.move(1.5)
        known = contacts.facts(clock.now_s)
        (engine,) = known.decode or known.prefill
        is_prefill = stage is Stage.PREFILL
        assert engine.runs == is_prefill
        assert engine.silence_s == (1.5 if is_prefill else 0.0)


def test_output_that_nobody_awaits_is_not_silence():
    """Guards against slow callers that make engines look silent."""
    clock = PlayClock()
    contacts, run = _began(clock)
    run.received()
    clock.move(5.0)
    assert _only(contacts, clock).runs == 0
    run.awaits()
    run.awaits()
    clock.move(0.5)
    engine = _only(contacts, clock)
    assert (engine.runs, engine.silence_s, engine.spoke_s) == (1, 0.5, 5.5)
    run.received()
    assert _only(contacts, clock).pause.length_s == 0.5


def test_long_pause_is_remembered_for_as_long_as_it_lasted():
    """Guards against a pause that the next events hide."""
    clock = PlayClock()
    contacts, run = _began(clock)
    for wait_s in (0.0, 1.0, 0.25, 0.25):
        run.awaits()
        clock.move(wait_s)
        run.received()
    pause = _only(contacts, clock).pause
    assert (pause.length_s, pause.ended_s) == (1.0, 0.5)
    run.awaits()
    clock.move(0.5)
    run.received()
    assert _only(contacts, clock).pause.length_s == 0.5


def test_end_of_a_run_is_counted_once():
    """Guards against counts that drift with each cancelled run."""
    clock = PlayClock()
    contacts, first = _began(clock, gap_target_s=1.0)
    second = contacts.began(an_upstream(), Stage.DECODE, gap_target_s=0.2)
    for run in (first, second):
        run.received()
        run.awaits()
    for _ in range(3):
        first.ended()
        first.awaits()
    engine = _only(contacts, clock)
    assert (engine.runs, engine.gap_target_s) == (1, 1.0)
    second.ended()
    engine = _only(contacts, clock)
    assert (engine.runs, engine.gap_target_s) == (0, 0.0)


def test_restarted_engine_begins_without_a_past():
    """Guards against blaming a process for the silence of the last one."""
    clock = PlayClock()
    contacts, old = _began(clock)
    old.received()
    old.awaits()
    clock.move(5.0)
    contacts.began(an_upstream(started_ms=2_000), Stage.DECODE)
    assert _only(contacts, clock).runs == 0
    old.ended()
    assert contacts.known == 1


def test_what_is_known_of_idle_engines_is_bounded():
    """Guards against memory that grows with the restarts of a long time."""
    clock = PlayClock()
    contacts, kept = _began(clock)
    for number in range(3 * MAX_IDLE):
        record = an_upstream(upstream=f"d{number}")
        contacts.began(record, Stage.DECODE).ended()
    assert contacts.known == MAX_IDLE + 1
    kept.ended()
    assert contacts.known == MAX_IDLE


def test_own_pause_is_known_before_and_after_its_timer():
    clock = PlayClock()
    contacts, run = _began(clock)
    clock.now_s += TICK_S + 2.0
    early = contacts.facts(clock.now_s).own_pause
    clock.stand_still(0.0)
    clock.move(0.5)
    late = contacts.facts(clock.now_s).own_pause
    assert (early.length_s, early.ended_s) == (2.0, 0.0)
    assert (late.length_s, late.ended_s) == (2.0, 0.5)
    run.ended()
    clock.move(9.0)
    assert clock.timers == 0
    contacts.began(an_upstream(), Stage.DECODE)
    idle = contacts.facts(clock.now_s).own_pause
    assert (idle.length_s, idle.ended_s) == (2.0, 9.5)


def test_loop_of_an_entry_that_stands_still_is_noticed():
    """Guards against engines that are blamed for a stopped process."""

    async def run():
        async with entry_world() as world:
            contacts = world.context.run_contacts
            contacts.began(an_upstream(), Stage.DECODE)
            await asyncio.sleep(1.2 * TICK_S)
            time.sleep(1.0)
            await asyncio.sleep(0.05)
            return contacts.facts(world.context.now_s).own_pause

    pause = asyncio.run(run())
    assert pause.length_s >= 1.0 - TICK_S
    assert pause.ended_s < 1.0
