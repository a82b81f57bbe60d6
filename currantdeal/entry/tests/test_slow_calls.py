"""Load pattern: gray failure.  An upstream answers calls late, others fail."""

import asyncio
import itertools

import pytest

from currantdeal.entry.progress import REFUSAL_MARGIN_S
from currantdeal.testing.answer_shapes import reset
from currantdeal.testing.entry_world import entry_world, request_bytes
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_refusal,
)

MENU = request_bytes("/menu/1", method="GET", body=b"")
PATIENCE_S = 2.0
LATE_S = 0.75 * PATIENCE_S
SLOW = b"slow"
"""Body of the slow upstream's answer."""


async def _refuse(standins, request, writer):
    send_refusal(request, writer)


async def _fail(standins, request, writer):
    standins[0].send(request, writer, 500, b"broken")


async def _reset(standins, request, writer):
    reset(writer)


async def _cut_short(standins, request, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{")
    writer.close()


async def _stay_silent(standins, request, writer):
    await asyncio.sleep(30.0)


async def _answer(standins, request, writer):
    standins[0].send(request, writer, 200, b"fast")


async def _answer_late(standins, request, writer):
    await asyncio.sleep(LATE_S)
    standins[0].send(request, writer, 200, SLOW)


async def _trickle(standins, request, writer):
    """Send a byte now and then until the connection ends."""
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Currantdeal-Response-Signature: s\r\n"
        b"Content-Length: 9999\r\n\r\n"
    )
    try:
        while True:
            writer.write(b"x")
            await writer.drain()
            await asyncio.sleep(0.02)
    except ConnectionError:
        standins[0].left.append(request)


class _World:
    """An entry whose upstreams answer calls by the order of their arrival."""

    def __init__(self, *answers, upstreams=2, allowance=100.0):
        self._answers = iter(answers)
        self._upstreams = upstreams
        self._allowance = allowance
        self.standins = []

    @property
    def arrived(self):
        """Number of calls that arrived."""
        return sum(len(standin.runs) for standin in self.standins)

    async def _script(self, standin, request, writer):
        if request.is_health_check:
            return False
        await next(self._answers)(self.standins, request, writer)
        return True

    async def play(self, work):
        """Return what ``work`` returns for the entry."""
        for number in range(self._upstreams):
            standin = StandInUpstream(
                upstream=f"u{number}", script=self._script
            )
            standin.left = []
            await standin.start()
            self.standins.append(standin)
        async with entry_world(allowance=self._allowance) as world:
            for standin in self.standins:
                world.announce(standin)
            return await work(world)


def _ask(world):
    return world.exchange(MENU)


@pytest.mark.parametrize(
    "fail",
    [_refuse, _reset, _cut_short, _stay_silent],
    ids=lambda f: f.__name__,
)
def test_slow_upstream_answers_though_the_next_one_fails(fail):
    """Guards against the end of an attempt before another has the answer."""
    world = _World(_answer_late, fail)
    answer = asyncio.run(world.play(_ask))
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(SLOW)
    assert world.arrived == 2


def test_slow_upstream_answers_though_the_next_one_is_gone():
    """Guards against the same where nothing is sent to the next one."""

    async def answer_alone(standins, request, writer):
        for standin in standins:
            standin.stop()
        await _answer_late(standins, request, writer)

    world = _World(answer_alone)
    answer = asyncio.run(world.play(_ask))
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(SLOW)


def test_slow_attempt_is_cancelled_once_another_has_the_answer():
    """Guards against work at an upstream that nobody waits for."""
    world = _World(_trickle, _answer)

    async def work(entry):
        answer = await _ask(entry)
        await asyncio.sleep(0.4)
        return answer

    assert asyncio.run(world.play(work)).endswith(b"fast")
    assert len(world.standins[0].left) == 1
    assert world.arrived == 2


def test_both_attempts_are_cancelled_when_the_caller_leaves():
    """Guards against a slow attempt that outlasts its caller."""
    world = _World(_trickle, _trickle)

    async def work(entry):
        _, writer = await entry.send(MENU)
        await asyncio.sleep(LATE_S)
        arrived = world.arrived
        writer.close()
        await asyncio.sleep(0.4)
        return arrived, len(world.standins[0].left)

    assert asyncio.run(world.play(work)) == (2, 2)


def test_error_of_the_last_upstream_is_forwarded_at_once():
    """Guards against an error that is held until a slow attempt ends."""
    world = _World(_stay_silent, _fail)

    async def work(entry):
        async with asyncio.timeout(LATE_S):
            return await _ask(entry)

    answer = asyncio.run(world.play(work))
    assert answer.startswith(b"HTTP/1.1 500")


def test_calls_that_stay_unanswered_end_with_their_time():
    """Guards against attempts that outlast the time of their call."""
    world = _World(_stay_silent, _stay_silent)

    async def work(entry):
        async with asyncio.timeout(PATIENCE_S + 0.4):
            return await _ask(entry)

    answer = asyncio.run(world.play(work))
    assert answer.startswith(b"HTTP/1.1 504")


@pytest.mark.parametrize("allowance", [0.0, 2.0, 100.0])
def test_attempts_side_by_side_stay_within_the_limits(allowance):
    """Guards against runs that the route or the retry budget forbids."""
    world = _World(
        *itertools.repeat(_stay_silent, 6), upstreams=6, allowance=allowance
    )
    asyncio.run(world.play(_ask))
    assert world.arrived == (2 if allowance else 1)


def test_slow_attempt_goes_on_while_the_process_stops():
    """Guards against the state of a failed attempt beside one that runs.

    The process ends soon after the next attempt has failed.
    """
    world = _World(_answer_late, _refuse)

    async def work(entry):
        asking = asyncio.ensure_future(_ask(entry))
        await asyncio.sleep(LATE_S - 0.2)
        assert world.arrived == 2
        ends_s = entry.context.now_s + REFUSAL_MARGIN_S
        entry.service.requests.stop(ends_s)
        return await asking

    assert asyncio.run(world.play(work)).endswith(SLOW)
