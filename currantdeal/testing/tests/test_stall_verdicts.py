import math
from dataclasses import replace

import pytest

from currantdeal.testing.platform_upstream import ReceivedRequest
from currantdeal.testing.scripted_upstream import Work
from currantdeal.testing.stall_verdicts import judge
from currantdeal.testing.stalling_caller import CallEnd, StallingCall

STOP_S = 10.0


def _end(how, status, *, sent_s=5.0, ended_s=9.0):
    return CallEnd(
        call=StallingCall(row="usual", kind="note"),
        request_id="c1",
        entry="entry-1",
        began_s=sent_s,
        sent_s=sent_s,
        ended_s=ended_s,
        status=status,
        how=how,
        received=0,
    )


def _work(began_s, ended_s):
    request = ReceivedRequest(method="POST", target="/", headers=(), body=b"")
    return Work(
        request=request, upstream="d1", began_s=began_s, ended_s=ended_s
    )


BUSY = [_work(6.0, math.inf)]
DONE = [_work(6.0, 6.5)]
CASES = [
    (_end("whole", 200), DONE, "served"),
    (_end("whole", 503), [], "refused"),
    (_end("whole", 502), BUSY, "failed"),
    (_end("whole", 502, ended_s=17.5), BUSY, "ended"),
    (_end("whole", 502, sent_s=18.5, ended_s=19.0), BUSY, "failed"),
    (_end("wrong", 200), DONE, "wrong"),
    (_end("unconnected", 0), [], "unconnected"),
    (_end("reset", 0, ended_s=5.1), [], "crossed"),
    (_end("reset", 0, ended_s=5.1), BUSY, "lost"),
    (_end("closed", 0, ended_s=5.5), [], "lost"),
    (_end("reset", 200, ended_s=17.6), DONE, "lost"),
    (_end("reset", 200, ended_s=17.6), BUSY, "outlasted"),
    (_end("reset", 200, sent_s=13.5, ended_s=17.6), BUSY, "lost"),
    (_end("reset", 200, ended_s=16.0), [_work(6.0, 16.1)], "lost"),
    (_end("reset", 200, ended_s=19.0), DONE, "late"),
    (_end("whole", 504, ended_s=18.98), BUSY, "late"),
]


@pytest.mark.parametrize(("end", "works", "verdict"), CASES)
def test_calls_are_judged(end, works, verdict):
    """Guards against a play that passes although answers are lost."""
    assert judge(end, works, STOP_S) == verdict


def test_a_call_at_rest_is_never_excused_by_a_stop():
    """Guards against excuses that hold without a signal."""
    assert judge(_end("reset", 200), BUSY, math.inf) == "lost"
    assert judge(_end("whole", 502), BUSY, math.inf) == "failed"


def test_a_deadline_counts_as_its_header_names_it():
    """Guards against losses found in answers that end at their deadline."""
    call = StallingCall(row="short", kind="draft", deadline_s=1.7919)
    end = replace(_end("closed", 200, ended_s=6.7615), call=call)
    assert judge(end, BUSY, STOP_S) == "late"
    assert judge(replace(end, ended_s=6.7605), BUSY, STOP_S) == "lost"
