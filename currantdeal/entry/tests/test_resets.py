"""Connection resets in each phase of a call, with real sockets."""

import asyncio

import pytest
from structlog.testing import capture_logs

from currantdeal.policy.answers.reset_outcome import (
    CallKind,
    ExchangePhase,
    RetryBy,
    SenderResult,
    reset_outcome,
)
from currantdeal.registry import Stage
from currantdeal.testing.answer_shapes import reset
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_numbers,
    read_request,
    send_chunk,
    send_event,
    send_refusal,
)

LARGE_BODY = b"x" * 60_000

REQUESTS = {
    CallKind.IDEMPOTENT: request_bytes("/menu/1", body=LARGE_BODY),
    CallKind.NON_IDEMPOTENT: request_bytes("/order/1", body=LARGE_BODY),
    CallKind.STREAM: request_bytes(
        "/note/1", body=LARGE_BODY, more=GENERATION
    ),
    CallKind.RESUMABLE_STREAM: request_bytes(
        "/draft/1", body=LARGE_BODY, more=GENERATION
    ),
}
STREAMS = (CallKind.STREAM, CallKind.RESUMABLE_STREAM)

CASES = [
    (kind, phase)
    for kind in REQUESTS
    for phase in ExchangePhase
    if kind in STREAMS
    or phase not in (ExchangePhase.BETWEEN_EVENTS, ExchangePhase.WITHIN_EVENT)
]


class _ResettingUpstream(StandInUpstream):
    """Resets the connection of the first request that it would run.

    ``state`` is shared by the upstreams of a test, so that only one resets.
    """

    def __init__(self, *, phase, state, **more):
        super().__init__(**more)
        self._phase = phase
        self._state = state

    async def answer(self, request, writer):
        is_run = request in self.runs
        if not is_run or self._state.get("reset"):
            await super().answer(request, writer)
            return
        self._state["reset"] = True
        if self._phase is not ExchangePhase.AWAITING_ANSWER:
            await self._answer_partly(request, writer)
        reset(writer)

    async def _answer_partly(self, request, writer):
        if not request.get("X-Currantdeal-Token-Counts"):
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Currantdeal-Response-Signature: s\r\n"
                b"Content-Length: 100\r\n\r\npart"
            )
        else:
            self.begin_stream(request, writer)
        if self._phase in (
            ExchangePhase.BETWEEN_EVENTS,
            ExchangePhase.WITHIN_EVENT,
        ):
            send_event(writer, 1)
            send_event(writer, 2)
        if self._phase is ExchangePhase.WITHIN_EVENT:
            writer.write(b"9\r\nid: 3\ndat\r\n")
        await writer.drain()
        # A reset discards what the receiver has not read yet.
        await asyncio.sleep(0.05)


class _HalfReadingUpstream(StandInUpstream):
    """Reads only the head of the first request, then resets its connection."""

    def __init__(self, *, state, **more):
        super().__init__(**more)
        self._state = state

    async def _serve(self, reader, writer):
        if self._state.get("reset"):
            await super()._serve(reader, writer)
            return
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b" /v1/" not in head.partition(b"\r\n")[0]:
                break
            await self.answer(await _read_complete(head, reader), writer)
        self._state["reset"] = True
        reset(writer)


async def _read_complete(head, reader):
    """Read the body of a request and return the complete request."""
    stream = asyncio.StreamReader()
    stream.feed_data(head)
    stream.feed_data(await reader.readexactly(_length(head)))
    stream.feed_eof()
    return await read_request(stream)


def _length(head):
    lines = head.decode("latin-1").lower().split("\r\n")
    matching = [x for x in lines if x.startswith("content-length:")]
    return int(matching[0].partition(":")[2]) if matching else 0


def _upstream(name, phase, state):
    if phase is ExchangePhase.SENDING:
        return _HalfReadingUpstream(upstream=name, state=state)
    return _ResettingUpstream(upstream=name, phase=phase, state=state)


async def _run_scenario(kind, phase):
    """Return the answer to one request, and the number of runs it caused."""
    state = {}
    standins = [_upstream(name, phase, state) for name in ("u1", "u2")]
    prefill = StandInUpstream(upstream="p1")
    async with entry_world() as world:
        for standin in (prefill, *standins):
            await standin.start()
        for standin in standins:
            service = "model" if kind in STREAMS else "shop"
            stage = Stage.DECODE if kind in STREAMS else None
            world.announce(standin, service=service, stage=stage)
        world.announce(prefill, service="model", stage=Stage.PREFILL)
        if phase is ExchangePhase.CONNECTING:
            for standin in standins:
                standin.stop()
        answer = await world.exchange(REQUESTS[kind])
    runs = sum(len(standin.runs) for standin in standins)
    return answer, runs + (
        phase is ExchangePhase.SENDING and bool(state["reset"])
    )


@pytest.mark.parametrize(("kind", "phase"), CASES)
def test_reset_has_the_outcome_of_the_table(kind, phase):
    """Guards against a wrong outcome at the caller after a reset.

    Whether the call may have run depends on its kind and on the phase at the
    reset.  A wrong "not run" leads the caller to run a call twice.
    """
    expected = reset_outcome(kind, phase)
    answer, runs = asyncio.run(_run_scenario(kind, phase))
    status = answer[9:12]
    if phase is ExchangePhase.CONNECTING:
        assert (runs, status) == (0, b"503")
        assert b"retry-after" in answer.lower()
    elif expected.retry_by is RetryBy.NOBODY:
        assert runs == 1
        if expected.sender_result is SenderResult.CUT:
            assert event_numbers(answer) == [1, 2]
            assert not answer.endswith(b"0\r\n\r\n")
        else:
            assert status == b"502"
            assert b"outcome unknown" in answer
    else:
        assert (runs, status) == (2, b"200")
        if kind in STREAMS:
            assert event_numbers(answer) == list(range(1, EVENTS + 1))
            assert answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize(
    ("allowance", "sent", "served"), [(0.0, 2, 1), (100.0, 3, 2)]
)
def test_a_prefill_is_sent_once_more_only_within_the_retry_budget(
    allowance, sent, served
):
    """Guards against repeats on new connections that nobody counts."""

    async def reset_second(standin, request, writer):
        if len(standin.requests) != 2:
            return False
        reset(writer)
        return True

    async def run():
        prefill = StandInUpstream(upstream="p1", script=reset_second)
        decode = StandInUpstream(upstream="d1")
        await prefill.start()
        await decode.start()
        async with entry_world(allowance=allowance) as world:
            world.announce_engines(prefill, decode)
            note = request_bytes("/note/1", more=GENERATION)
            answers = [
                await world.exchange(
                    note.replace(b"Id: r-1", f"Id: r-{number}".encode())
                )
                for number in range(2)
            ]
        return answers, prefill, decode

    answers, prefill, decode = asyncio.run(run())
    for answer in answers[:served]:
        assert event_numbers(answer) == list(range(1, EVENTS + 1))
    for answer in answers[served:]:
        # A run would be the second arrival of this request.
        assert answer.startswith(b"HTTP/1.1 503")
    assert len(prefill.requests) == sent
    assert len(decode.runs) == served


@pytest.mark.parametrize(("allowance", "sent"), [(2.0, 1), (100.0, 2)])
def test_a_second_prefill_of_a_later_attempt_uses_the_retry_budget(
    allowance, sent
):
    """Guards against a repeated prefill that is not charged for."""
    refused = []

    async def refuse_first(standin, request, writer):
        if request.is_system_call or refused:
            return False
        refused.append(request)
        send_refusal(request, writer)
        return True

    async def run():
        prefill = StandInUpstream(upstream="p1")
        engines = [
            StandInUpstream(upstream=name, script=refuse_first)
            for name in ("d1", "d2")
        ]
        for standin in (prefill, *engines):
            await standin.start()
        async with entry_world(allowance=allowance) as world:
            world.announce_engines(prefill, *engines)
            note = request_bytes("/note/1", more=GENERATION)
            return await world.exchange(note), prefill

    answer, prefill = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert len(prefill.requests) == sent


async def _lose_answers(lost):
    """Send a resumable stream whose first runs lose their answers."""
    left = [lost]

    async def script(standin, request, writer):
        if request.is_system_call or request.is_prefill or not left[0]:
            return False
        left[0] -= 1
        await asyncio.sleep(0.05)
        reset(writer)
        return True

    async with entry_world() as world:
        engines = [
            StandInUpstream(upstream=name, script=script)
            for name in ("p", "d1", "d2", "d3")
        ]
        for standin in engines:
            await standin.start()
        world.announce_engines(*engines)
        raw = request_bytes("/draft/1", more=GENERATION)
        answer = await world.exchange(raw)
    return answer, sum(len(standin.runs) for standin in engines)


@pytest.mark.parametrize(("lost", "runs"), [(0, 1), (1, 2), (2, 2), (3, 2)])
def test_lost_answers_count_as_runs_of_a_resumable_stream(lost, runs):
    """Guards against a stream sent to more upstreams than its route allows."""
    answer, seen = asyncio.run(_lose_answers(lost))
    assert seen == runs
    assert answer.startswith(b"HTTP/1.1 200") is (lost < runs)


def test_stream_whose_ids_fit_no_header_ends_after_a_reset():
    """Guards against a request for the rest that cannot be encoded."""

    async def script(standin, request, writer):
        if request.is_system_call or request.is_prefill:
            return False
        standin.begin_stream(request, writer)
        send_chunk(writer, b"id: a\0b\ndata: piece 1\n\n")
        await writer.drain()
        await asyncio.sleep(0.05)
        reset(writer)
        return True

    async def run():
        async with entry_world() as world:
            engines = [
                StandInUpstream(upstream=name, script=script)
                for name in ("p", "d1", "d2")
            ]
            for standin in engines:
                await standin.start()
            world.announce_engines(*engines)
            raw = request_bytes("/draft/1", more=GENERATION)
            with capture_logs() as lines:
                answer = await world.exchange(raw)
        return answer, lines

    answer, lines = asyncio.run(run())
    assert event_numbers(answer) == [1]
    assert not answer.endswith(b"0\r\n\r\n")
    assert "handler-failed" not in [line["event"] for line in lines]
