"""Tests of stand-in upstreams that have received many requests."""

import asyncio
import random

import pytest

from benchmarks.soak_repetitions import RandomlyRepeatingUpstream
from currantdeal.testing.platform_upstream import ReceivedRequest
from currantdeal.testing.repeating_upstream import AnswerBuffer

HEADERS = (("x-currantdeal-request-id", "r1"), ("x-currantdeal-stage", ""))


def _request():
    return ReceivedRequest(
        method="POST", target="/menu/1", headers=HEADERS, body=b"x"
    )


class _Unread(list):
    """Requests that may be added and not be looked through."""

    def __iter__(self):
        raise AssertionError("all earlier requests are looked through")

    def __contains__(self, request):
        raise AssertionError("all earlier requests are looked through")


def test_answer_does_not_look_at_earlier_requests():
    """Guards against a soak whose own loop stands still after a while."""
    standin = RandomlyRepeatingUpstream(
        upstream="s1",
        rng=random.Random(1),
        owners={},
        check=lambda *_: None,
        echoes_calls=True,
    )
    standin.requests = _Unread([_request(), _request()])
    writer = AnswerBuffer()
    asyncio.run(standin.answer(standin.requests[-1], writer))
    assert writer.data


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
