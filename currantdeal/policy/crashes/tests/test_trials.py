import random

from currantdeal.policy.crashes import trials as trials_module
from currantdeal.policy.crashes.trials import FIRST_WAIT_S, Trials

PART = frozenset({b"part"})
STEP_S = 0.5


def _play(*, entries, duration_s, crashes_engine):
    """Return the times of the trials of several entries that share crashes."""
    rng = random.Random(1)
    fleet = [Trials(random=rng) for _ in range(entries)]
    crashes, started = 3, []
    for step in range(int(duration_s / STEP_S)):
        now_s = step * STEP_S
        for trials in fleet:
            if trials.is_due(
                PART, crashes=crashes, entries=entries, now_s=now_s
            ):
                started.append(now_s)
                crashes += crashes_engine
    return started


def test_part_that_crashes_is_tried_ever_less_often():
    """Guards against a quarantined part that costs an upstream each minute."""
    hour = _play(entries=8, duration_s=3_600, crashes_engine=True)
    day = _play(entries=8, duration_s=86_400, crashes_engine=True)
    assert hour[0] >= FIRST_WAIT_S
    assert len(hour) <= 6
    assert len(day) <= 13
    gaps = [b - a for a, b in zip(hour, hour[1:], strict=False)]
    assert gaps == sorted(gaps)


def test_sound_part_is_tried_soon_at_any_number_of_entries():
    """Guards against a sound part that is refused for ever by mistake."""
    for entries in (1, 8, 191):
        started = _play(
            entries=entries, duration_s=120.0, crashes_engine=False
        )
        assert started
        assert started[0] <= FIRST_WAIT_S + 30.0


def test_contested_part_is_tried_at_once():
    """Guards against minutes in which a popular part is refused."""
    for entries in (1, 8, 191):
        rng = random.Random(1)
        fleet = [Trials(random=rng) for _ in range(entries)]
        due = [
            any(
                trials.is_due(
                    PART,
                    crashes=3,
                    entries=entries,
                    now_s=step * STEP_S,
                    contested=True,
                )
                for trials in fleet
            )
            for step in range(6)
        ]
        assert any(due)


def test_number_of_verdicts_is_bounded(monkeypatch):
    """Guards against memory that grows with the number of culprits."""
    monkeypatch.setattr(trials_module, "MAX_VERDICTS", 4)
    trials = Trials(random=random.Random(1))
    for number in range(9):
        trials.is_due(
            frozenset({b"%d" % number}), crashes=3, entries=1, now_s=0.0
        )
    assert not trials.is_due(
        frozenset({b"0"}), crashes=3, entries=1, now_s=1e9
    )
    assert trials.is_due(frozenset({b"8"}), crashes=3, entries=1, now_s=1e9)
