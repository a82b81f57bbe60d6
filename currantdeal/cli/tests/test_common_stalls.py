"""Upstreams that stand still together, and go on, with real processes."""

import pytest

from currantdeal.testing.common_stalls import CommonStall, Group
from currantdeal.testing.pause_play import PausePlay

pytestmark = pytest.mark.measures_service

UNANSWERED = ("lost", "wrong", "failed")
MIN_SERVED = 20
SEED = 74
MAX_OVERLAP_S = 0.4
"""Time for which two runs of a stream may go on beside each other."""


def _case(**fields):
    name = "-".join(str(getattr(v, "value", v)) for v in fields.values())
    return pytest.param(CommonStall(**fields), id=name)


CASES = [
    _case(group=Group.DECODE, stall_s=0.5),
    _case(group=Group.DECODE, stall_s=3.0),
    _case(group=Group.ENGINES, stall_s=3.0, runs=30),
    _case(group=Group.DATA_CENTER, stall_s=3.0, runs=30),
]


@pytest.mark.parametrize("case", CASES)
def test_upstreams_that_stand_still_cost_no_answer(tmp_path, case):
    """Guards against runs that are given up before another can go on."""
    play = PausePlay(folder=tmp_path, case=case, seed=SEED)
    counts = play.run()
    unanswered = [(v, e) for e, v in play.verdicts() if v in UNANSWERED]
    assert [
        (verdict, end.request_id, end.how, end.status)
        for verdict, end in unanswered
    ] == [], play.explain(end for _, end in unanswered)
    assert play.failed_tasks() == []
    assert counts["served"] >= MIN_SERVED, counts
    assert play.longest_overlap_s() < MAX_OVERLAP_S
