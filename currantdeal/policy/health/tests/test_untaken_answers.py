"""Load pattern: slow readers."""

import pytest

from currantdeal.policy.health.untaken_answers import (
    MAX_BLOCKED_S,
    UntakenTimer,
)

IDLE_TIMEOUT_S = 30.0

TABLE = [
    ("takes nothing", [(0, 7, False), (29.9, 7, False)], False),
    ("takes nothing for long", [(0, 7, False), (30.0, 7, False)], True),
    ("takes a little", [(0, 7, False), (29, 8, False), (58, 8, False)], False),
    ("blocks", [(0, 7, True), (MAX_BLOCKED_S, 7, True)], True),
    ("blocks since a moment", [(0, 7, False), (9, 7, True)], False),
    ("blocks and takes", [(0, 7, True), (4, 8, True), (8, 8, True)], False),
    ("blocks no more", [(0, 7, True), (4, 7, False), (8, 7, True)], False),
    ("sent while looked at", [(100, -9, False), (101, 0, False)], False),
]


@pytest.mark.parametrize(
    ("looks", "expected"),
    [case[1:] for case in TABLE],
    ids=[case[0] for case in TABLE],
)
def test_answer_is_held_by_what_it_costs(looks, expected):
    timer = UntakenTimer(idle_timeout_s=IDLE_TIMEOUT_S)
    results = [
        timer.is_over(now_s, taken_bytes=taken, is_blocked=is_blocked)
        for now_s, taken, is_blocked in looks
    ]
    assert results[-1] is expected
    assert not any(results[:-1])


def test_next_answer_is_held_as_long_as_the_first():
    """Guards against a time that counts from before the answer was sent."""
    timer = UntakenTimer(idle_timeout_s=IDLE_TIMEOUT_S)
    assert not timer.is_over(0.0, taken_bytes=7, is_blocked=False)
    timer.restart()
    assert not timer.is_over(60.0, taken_bytes=7, is_blocked=False)
