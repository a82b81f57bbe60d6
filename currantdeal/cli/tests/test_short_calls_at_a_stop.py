"""Calls with short deadlines that arrive until an entry process is gone."""

import asyncio
from functools import partial

import pytest

from currantdeal.testing.scripted_upstream import Script
from currantdeal.testing.stall_play import StallPlay
from currantdeal.testing.stalling_caller import Row, StallingCall
from currantdeal.testing.stalling_rows import KINDS

CALLS_PER_S = 4.0
MIN_ANSWERED = 10
CUT_S = 5.0
REFUSALS = (429, 503)
STREAMS = ("note", "draft")


def _draw(rng, *, kind, way):
    """Draw a call that can end within the grace if it comes early in it."""
    return StallingCall(
        row=f"{kind} {way}",
        kind=kind,
        script=Script(
            prefill_s=0.05,
            work_s=rng.uniform(0.02, 0.8),
            events=rng.randint(1, 6),
            gap_s=0.1,
        ),
        sending_s=rng.uniform(0.3, 1.2) if way == "in chunks" else 0.0,
        deadline_s=rng.uniform(1.5, 3.0),
    )


ROWS = tuple(
    Row(
        draw=partial(_draw, kind=kind, way=way),
        per_s=CALLS_PER_S,
        most_calls=3,
    )
    for kind in KINDS
    for way in ("at once", "in chunks")
)


async def _stop(play):
    await play.call_beside(play.stop_entry())


async def _stop_through_helper(play):
    play.cut_entry()
    await asyncio.sleep(CUT_S)
    await play.wait_serving()
    await _stop(play)


def _is_late_stream(end, verdict):
    """Return whether a stream that has begun has reached its deadline."""
    is_stream = end.call.kind in STREAMS
    return is_stream and verdict == "late" and end.status == 200


@pytest.mark.parametrize("scenario", [_stop, _stop_through_helper])
def test_short_calls_are_answered_until_the_end(tmp_path, scenario):
    """Guards against calls that are passed on and cut at the end."""
    play = StallPlay(folder=tmp_path, seed=1, calls=ROWS)
    play.play(scenario)
    works = play.works()
    for end, verdict in play.verdicts():
        ran = bool(works.get(end.request_id))
        if end.how == "whole":
            is_false_refusal = ran and end.status in REFUSALS
            assert not is_false_refusal, play.explain([end])
        elif not _is_late_stream(end, verdict):
            is_untaken = verdict in ("unconnected", "crossed")
            assert is_untaken and not ran, verdict + "\n" + play.explain([end])
    assert play.failed_tasks() == []
    for row in play.rows:
        ends = [end for end in play.callers.ends if end.call.row == row]
        assert sum(end.how == "whole" for end in ends) >= MIN_ANSWERED, row
    assert len(play.rows) == len(ROWS)
