"""Streams that wait or run when their entry process stops."""

import asyncio

import pytest

from currantdeal.testing.entry_world import GENERATION, config_body
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_event,
    send_json,
)
from currantdeal.testing.stopping_entry import stopping_entry

TIMEOUT_MS = 14_000
TARGET_MS = 12_000
GRACE_S = 8.0
STATES = ("begun", "silent", "lost", "broken")
"""What becomes of the first streams, by the ids of their requests."""

WAITING_SENT_S = (0.5, 1.2, 1.8, 2.1, 2.4)
"""Times after SIGTERM at which streams are sent that find no memory."""

MIN_REFUSAL_LEAD_S = 0.3
"""Time before the end of the process at which refusals are sent."""


class _Engines(StandInUpstream):
    """Engines that grant memory to a few streams only."""

    def __init__(self, **options):
        super().__init__(**options, script=_Engines._serve_engine)
        self._grants = len(STATES)

    async def _serve_engine(self, request, writer):
        if request.target == "/v1/hold-take":
            self._grants -= 1
            if self._grants < 0:
                send_json(request, writer, {}, status=503)
            return self._grants < 0
        if request.is_prefill or not request.is_generation:
            return False
        if request.request_id == "begun":
            await self._stream(request, writer)
        elif request.request_id == "lost":
            writer.transport.abort()
        elif request.request_id == "broken":
            self.begin_stream(request, writer)
            send_event(writer, 1)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()
        else:
            await asyncio.sleep(30.0)
        return True

    async def _stream(self, request, writer):
        self.begin_stream(request, writer)
        for number in range(1, 100):
            send_event(writer, number)
            await asyncio.sleep(0.2)


async def _play(folder):
    """Return entry, outcomes by request id, exit status and time of it."""
    prefill = _Engines(upstream="p1")
    decode = _Engines(upstream="d1")
    config = config_body(timeout_ms=TIMEOUT_MS, target_ms=TARGET_MS)
    announced = (
        (prefill, "model", {"Stage": "prefill"}),
        (decode, "model", {"Stage": "decode"}),
    )
    async with stopping_entry(folder, config, *announced) as entry:

        def send(request_id):
            route = "draft" if request_id == "lost" else "note"
            return asyncio.create_task(
                entry.exchange(
                    f"/{route}/1",
                    request_id,
                    more=GENERATION,
                    deadline_ms=TIMEOUT_MS,
                )
            )

        tasks = {}
        entry.stop()
        for state in STATES:
            tasks[state] = send(state)
            await asyncio.sleep(0.1)
        for after_s in WAITING_SENT_S:
            await entry.sleep_until(after_s)
            tasks[f"memory-{after_s}"] = send(f"memory-{after_s}")
        status, ended_s = await entry.wait(GRACE_S)
        outcomes = {name: await task for name, task in tasks.items()}
        return entry, outcomes, status, ended_s


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop beside streams in each state."""
    return asyncio.run(_play(tmp_path_factory.mktemp("stop")))


def test_stream_that_waits_for_memory_is_refused_before_the_end(played):
    """Guards against a wait that is cut when the process ends."""
    entry, outcomes, status, ended_s = played
    assert status == 0
    for after_s in WAITING_SENT_S:
        outcome = outcomes[f"memory-{after_s}"]
        assert outcome.status == "503"
        assert b"retry-after" in outcome.answer
        assert b"connection: close" in outcome.answer
        assert outcome.ended_s < ended_s - MIN_REFUSAL_LEAD_S
    assert ended_s < entry.stopped_s + GRACE_S


@pytest.mark.parametrize("state", ["silent", "lost"])
def test_stream_that_may_have_run_without_output_fails(played, state):
    """Guards against a connection that ends without any answer."""
    outcome = played[1][state]
    assert outcome.status in ("502", "504")
    assert b"outcome unknown" in outcome.answer


def test_stream_that_runs_is_cut_last_and_named(played):
    """Guards against a cut that no line tells from a caller's own end."""
    entry, outcomes, _, ended_s = played
    answer = outcomes["begun"].answer
    assert answer.startswith(b"HTTP/1.1 200")
    assert not answer.endswith(b"0\r\n\r\n")
    assert outcomes["begun"].ended_s > ended_s - 0.5
    line = entry.lines("request-ended")["begun"]
    assert line["outcome"] == "cancelled: this instance stops"
    (stopped,) = entry.lines("stopped").values()
    assert stopped["cut"] == 1
    assert stopped["in_progress"] == {"running": 1}


def test_line_of_a_stop_has_the_reasons_of_broken_off_answers(played):
    """Guards against a stop that counts cut answers and not why."""
    entry = played[0]
    line = entry.lines("request-ended")["broken"]
    assert line["broken_off"] == "run-lost"
    (stopped,) = entry.lines("stopped").values()
    assert stopped["broken_off"] == {"run-lost": 1}
    assert stopped["ended"]["broken off"] == 1
