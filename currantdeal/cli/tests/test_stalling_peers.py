"""Callers and upstreams that stop to read, beside planned work."""

import asyncio
import signal
from collections import Counter

import pytest

from currantdeal.testing.stall_play import StallPlay
from currantdeal.testing.stalling_rows import LONGEST_STALL_S, rows

SCALE = 0.4
"""Multiple of the rates of a play by hand."""

CALLS_S = 8.0
CUT_S = 5.0
UNANSWERED = ("lost", "wrong", "failed")


async def _at_rest(play):
    await play.call_beside(asyncio.sleep(CALLS_S))


async def _stop(play):
    await play.call_beside(play.stop_entry())


async def _reload(play):
    async def work():
        await asyncio.sleep(CALLS_S / 2)
        play.entry.send_signal(signal.SIGHUP)
        await play.put_config()
        await asyncio.sleep(CALLS_S / 2)

    await play.call_beside(work())


async def _through_helper(play):
    play.cut_entry()
    await asyncio.sleep(CUT_S)
    await play.wait_serving()
    await _at_rest(play)


async def _stop_through_helper(play):
    play.cut_entry()
    await asyncio.sleep(CUT_S)
    await play.wait_serving()
    await _stop(play)


SHORT_S = 5.0
"""Longest stall that ends before a process that stops does."""

SCENARIOS = [
    (_at_rest, LONGEST_STALL_S),
    (_stop, SHORT_S),
    (_stop, LONGEST_STALL_S),
    (_reload, LONGEST_STALL_S),
    (_through_helper, LONGEST_STALL_S),
    (_stop_through_helper, SHORT_S),
]


@pytest.mark.parametrize(("scenario", "longest_stall_s"), SCENARIOS)
def test_peers_that_stop_to_read_cost_no_answer(
    tmp_path, scenario, longest_stall_s
):
    """Guards against slow peers that are cut as if they were gone."""
    calls = rows(longest_stall_s=longest_stall_s)
    play = StallPlay(folder=tmp_path, seed=1, calls=calls, scale=SCALE)
    play.play(scenario)
    verdicts = play.verdicts()
    unanswered = [(v, end) for end, v in verdicts if v in UNANSWERED]
    assert [
        (verdict, end.call.row, end.request_id, end.how, end.status)
        for verdict, end in unanswered
    ] == [], play.explain(end for _, end in unanswered)
    assert play.failed_tasks() == []
    for row in play.rows:
        served = [
            end for end, v in verdicts if v == "served" and end.call.row == row
        ]
        assert len(served) >= 5, (row, Counter(v for _, v in verdicts))
