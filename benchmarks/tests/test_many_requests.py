"""Tests of stand-in upstreams that have received many requests."""

import asyncio
import random
import time

import pytest

from benchmarks.soak_repetitions import RandomlyRepeatingUpstream
from currantdeal.testing.platform_upstream import ReceivedRequest
from currantdeal.testing.repeating_upstream import AnswerBuffer

ANSWERS = 20
EARLIER = 4_000
MAX_RATIO = 8.0
"""Tolerated growth of the time of an answer; it does not grow at all."""

HEADERS = (("x-currantdeal-request-id", "r1"), ("x-currantdeal-stage", ""))


def _request():
    return ReceivedRequest(
        method="POST", target="/menu/1", headers=HEADERS, body=b"x"
    )


def _answers_s(earlier):
    """Return the processor time of some answers after earlier requests."""
    standin = RandomlyRepeatingUpstream(
        upstream="s1",
        rng=random.Random(1),
        owners={},
        check=lambda *_: None,
        echoes_calls=True,
    )
    standin.requests += [_request() for _ in range(earlier)]

    async def answer():
        began_s = time.process_time()
        for _ in range(ANSWERS):
            standin.requests.append(_request())
            await standin.answer(standin.requests[-1], _Writer())
        return time.process_time() - began_s

    return asyncio.run(answer())


class _Writer(AnswerBuffer):
    """Takes all bytes at once."""

    async def drain(self):
        """Return at once."""


def test_answer_takes_no_longer_after_many_requests():
    """Guards against a soak whose own loop stands still after a while."""
    first_s, last_s = (
        min(_answers_s(earlier) for _ in range(5)) for earlier in (0, EARLIER)
    )
    assert last_s < MAX_RATIO * first_s


@pytest.mark.parametrize(
    ("target", "stage", "is_run"),
    [
        ("/menu/1", "", True),
        ("/note/1", "prefill", False),
        ("/v1/hold-take", "", False),
    ],
)
def test_only_work_is_a_run(target, stage, is_run):
    """Guards against calls of the system that are counted as work."""
    request = ReceivedRequest(
        method="POST",
        target=target,
        headers=(("x-currantdeal-stage", stage),),
        body=b"",
    )
    assert request.is_run is is_run
