"""Model of the state of a link: every short history of its world."""

import itertools
from enum import Enum

import pytest

from currantdeal.policy.health.links import (
    BASE_HOLD_S,
    COMPARE_S,
    RECHECK_S,
    CheckResult,
    Links,
    LinkState,
    Reach,
)

STEPS = 5
ADDRESS = "10.0.0.1:80"


class World(Enum):
    """What is true of an upstream and the way to it."""

    SOUND = "sound"
    CUT = "cut"
    DEAD = "dead"


class Report(Enum):
    """What becomes of the finding of the others."""

    IN_TIME = "in-time"
    LATE = "late"
    LOST = "lost"


FOUND = {
    World.SOUND: Reach.REACHED,
    World.CUT: Reach.REACHED,
    World.DEAD: Reach.NOT_REACHED,
}
HISTORIES = [
    tuple(zip(worlds, reports, strict=True))
    for worlds in itertools.product(World, repeat=STEPS)
    for reports in itertools.product(Report, repeat=STEPS)
]


def _check(links, world, others, now_s):
    """Play one check; returns the state after it."""
    if not links.wants_comparison(ADDRESS, now_s=now_s):
        others = Reach.UNKNOWN
    result = CheckResult(direct=world is World.SOUND, others=others)
    return links.record_check(ADDRESS, result, now_s=now_s)


def _play(history, *, step_s):
    """Yield world, report and state after each step of a history."""
    links = Links()
    late = Reach.UNKNOWN
    for number, (world, report) in enumerate(history):
        now_s = number * step_s
        if world is not World.SOUND:
            links.doubt(ADDRESS, now_s=now_s)
        others = FOUND[world] if report is Report.IN_TIME else late
        late = FOUND[world] if report is Report.LATE else Reach.UNKNOWN
        state = links.state(ADDRESS)
        if state is not LinkState.SOUND:
            state = _check(links, world, others, now_s)
        yield world, report, state


def test_dead_upstream_is_not_taken_for_a_cut():
    """Guards against traffic that is sent to others for a dead upstream.

    Each check is later than the interval of comparisons.
    """
    for history in HISTORIES:
        for world, report, state in _play(history, step_s=COMPARE_S):
            if world is World.DEAD and report is Report.IN_TIME:
                assert state is not LinkState.CUT, history


def test_cut_is_not_taken_for_a_dead_upstream():
    """Guards against an entry that refuses what others would serve."""
    for history in HISTORIES:
        for world, report, state in _play(history, step_s=COMPARE_S):
            if world is World.CUT and report is Report.IN_TIME:
                assert state is LinkState.CUT, history


def test_sound_link_is_not_held_for_cut():
    """Guards against traffic that never returns to a link that is back."""
    steps = int(COMPARE_S / RECHECK_S)
    for history in HISTORIES[:: STEPS * STEPS]:
        sound = ((World.SOUND, Report.LOST),) * (STEPS * steps)
        *_, (_, _, state) = _play((*history, *sound), step_s=RECHECK_S)
        assert state is LinkState.SOUND, history


def _cut(links, now_s):
    links.doubt(ADDRESS, now_s=now_s)
    cut = CheckResult(direct=False, others=Reach.REACHED)
    assert links.record_check(ADDRESS, cut, now_s=now_s) is LinkState.CUT


def _time_to_return(links, now_s):
    back = CheckResult(direct=True)
    began_s = now_s
    while links.record_check(ADDRESS, back, now_s=now_s) is LinkState.CUT:
        now_s += RECHECK_S
    return now_s - began_s, now_s


def test_flapping_link_returns_later_each_time():
    """Guards against traffic that swings with links that come and go."""
    links, now_s, times = Links(), 0.0, []
    for _ in range(6):
        _cut(links, now_s)
        time_s, now_s = _time_to_return(links, now_s)
        times.append(time_s)
        now_s += 1.5
    assert times == [2.5, 5.0, 10.0, 10.0, 10.0, 10.0]


def test_answers_with_a_failure_between_do_not_restore():
    """Guards against a link restored by answers of two short returns."""
    links = Links()
    _cut(links, 0.0)
    back = CheckResult(direct=True)
    gone = CheckResult(direct=False)
    states = [
        links.record_check(ADDRESS, result, now_s=1.0 + 0.3 * number)
        for number, result in enumerate((back, gone, back, gone, back))
    ]
    assert set(states) == {LinkState.CUT}


@pytest.mark.parametrize("others", [Reach.REACHED, Reach.UNKNOWN])
def test_failed_check_of_a_cut_link_begins_the_hold_time_anew(others):
    """Guards against a hold time that goes on through another cut."""
    links = Links()
    _cut(links, 0.0)
    back = CheckResult(direct=True)
    gone = CheckResult(direct=False, others=others)
    assert links.record_check(ADDRESS, back, now_s=1.0) is LinkState.CUT
    assert links.record_check(ADDRESS, gone, now_s=2.0) is LinkState.CUT
    time_s, _ = _time_to_return(links, 3.0)
    assert time_s == BASE_HOLD_S


@pytest.mark.parametrize("unknown", [1, 2, 3, 20])
def test_checks_become_rarer_while_nobody_can_tell(unknown):
    """Guards against endless checks of a dead upstream by a lone entry."""
    links = Links()
    links.doubt(ADDRESS, now_s=0.0)
    for _ in range(unknown):
        links.record_check(ADDRESS, CheckResult(direct=False), now_s=0.0)
    links.begin_check(ADDRESS, now_s=0.0)
    due_s = min(4.0, RECHECK_S * 2.0**unknown)
    assert links.due(now_s=due_s - 0.01) == []
    assert links.due(now_s=due_s) == [ADDRESS]
