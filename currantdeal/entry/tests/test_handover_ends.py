"""Moves of a stream whose runs end in unusual ways, or at the same moment."""

import asyncio
import socket
import time

import pytest

from currantdeal.entry.handover import MAX_OVERLAP_S
from currantdeal.entry.memory import MemoryReserver
from currantdeal.testing.handover import (
    ALL,
    FOREVER_S,
    MOVED_S,
    SENT,
    begin_stream,
    go_on,
    play_stream,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    event_bytes,
    event_numbers,
    send_chunk,
    send_refusal,
)


class _Runs:
    """Decode engines whose runs follow scripts, in the order of the runs.

    Parameters
    ----------
    scripts : tuple of callable
        Coroutine functions that are called with this object, the engine, the
        request and the writer of the n-th run.
    is_reached : bool
        Whether engines answer health checks.
    """

    def __init__(self, *scripts, is_reached=True):
        self._scripts = iter(scripts)
        self._is_reached = is_reached
        self.started = 0
        self.engines = [
            StandInUpstream(upstream=name, script=self._serve)
            for name in ("p1", "d1", "d2", "d3", "d4")
        ]

    async def _serve(self, standin, request, writer):
        if request.is_health_check and not self._is_reached:
            await asyncio.sleep(FOREVER_S)
        if not request.is_generation or request.is_prefill:
            return False
        self.started += 1
        await next(self._scripts)(self, standin, request, writer)
        return True

    async def until_started(self, number):
        """Wait for the n-th run."""
        while self.started < number:
            await asyncio.sleep(0.005)


async def _refuse(_, standin, request, writer):
    send_refusal(request, writer)


async def _fall_silent(_, standin, request, writer):
    begin_stream(standin, request, writer)
    await asyncio.sleep(FOREVER_S)


async def _never_answer(_, standin, request, writer):
    await asyncio.sleep(FOREVER_S)


async def _pause(_, standin, request, writer):
    begin_stream(standin, request, writer)
    await asyncio.sleep(MOVED_S + 0.6)
    await go_on(writer, SENT + 1)


async def _resume(_, standin, request, writer):
    standin.begin_stream(request, writer)
    await go_on(writer, int(request.get("Last-Event-Id") or 0) + 1)


async def _resume_late(runs, standin, request, writer):
    await asyncio.sleep(0.1)
    await _resume(runs, standin, request, writer)


async def _end_at_end_of_overlap(runs, standin, request, writer):
    begin_stream(standin, request, writer)
    await runs.until_started(2)
    writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)
    time.sleep(MAX_OVERLAP_S + 0.1)


async def _close_within_event(runs, standin, request, writer):
    standin.begin_stream(request, writer, is_framed=False)
    for number in ALL[:SENT]:
        writer.write(event_bytes(number))
    writer.write(event_bytes(SENT + 1)[:-3])
    await runs.until_started(2)
    writer.close()


async def _send_event_and_part(runs, standin, request, writer):
    begin_stream(standin, request, writer)
    await runs.until_started(2)
    data = event_bytes(SENT + 1) + event_bytes(SENT + 2)[:-3]
    writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))


async def _close_without_event(_, standin, request, writer):
    standin.begin_stream(request, writer, is_framed=False)
    writer.close()


async def _end_within_event(_, standin, request, writer):
    standin.begin_stream(request, writer)
    send_chunk(writer, event_bytes(SENT + 1)[:-3])
    writer.write(b"0\r\n\r\n")


async def _answer_without_events(_, standin, request, writer):
    standin.send(request, writer, 200, b"{}", "Content-Type: application/json")


async def _play(runs):
    """Send one stream; returns its answer and its time."""
    answer, took_s, _ = await play_stream(runs.engines)
    return answer, took_s


@pytest.mark.parametrize(
    "successor",
    [_close_without_event, _end_within_event, _answer_without_events],
)
def test_successor_without_an_event_does_not_take_over(successor):
    """Guards against an answer without an event that ends a run."""
    runs = _Runs(_pause, successor)
    answer, _ = asyncio.run(_play(runs))
    assert event_numbers(answer) == ALL
    assert answer.endswith(b"0\r\n\r\n")


def test_successor_of_the_last_attempt_goes_on():
    """Guards against a takeover that counts as an attempt."""
    runs = _Runs(_refuse, _refuse, _fall_silent, _resume)
    answer, _ = asyncio.run(_play(runs))
    assert event_numbers(answer) == ALL
    assert answer.endswith(b"0\r\n\r\n")


def test_present_run_may_end_as_the_overlap_does():
    """Guards against a time limit that is changed as it expires."""
    runs = _Runs(_end_at_end_of_overlap, _resume_late)
    answer, _ = asyncio.run(_play(runs))
    assert event_numbers(answer) == ALL
    assert answer.endswith(b"0\r\n\r\n")


def test_successor_goes_on_if_the_present_run_ends_within_an_event():
    """Guards against an end that counts as the next event."""
    runs = _Runs(_close_within_event, _resume_late)
    answer, _ = asyncio.run(_play(runs))
    assert event_numbers(answer) == ALL


def test_cancelled_successor_counts_at_once():
    """Guards against more runs of one request than its route allows."""
    runs = _Runs(_send_event_and_part, _never_answer, _resume)
    asyncio.run(_play(runs))
    assert runs.started == 2


def test_fault_of_a_move_does_not_end_the_stream(monkeypatch):
    """Guards against a run that is given up for a fault of its successor."""

    async def fail(self, *, excluding):
        raise AttributeError("upstream")

    monkeypatch.setattr(MemoryReserver, "reserve_once", fail)
    answer, _ = asyncio.run(_play(_Runs(_pause)))
    assert event_numbers(answer) == ALL
    assert answer.endswith(b"0\r\n\r\n")


@pytest.mark.measures_service
def test_check_of_a_silent_engine_delays_no_takeover():
    """Guards against two engines at work while a health check is pending."""
    runs = _Runs(_fall_silent, _resume, is_reached=False)
    answer, took_s = asyncio.run(_play(runs))
    assert event_numbers(answer) == ALL
    assert took_s < MOVED_S + 0.25
