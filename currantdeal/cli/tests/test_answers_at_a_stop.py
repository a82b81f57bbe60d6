"""Answers that callers take while an entry process ends, and after it."""

import asyncio
from pathlib import Path

import pytest

from currantdeal.testing.entry_world import config_body, request_bytes
from currantdeal.testing.platform_upstream import StandInUpstream, echo_lines
from currantdeal.testing.stalled_peers import exchange_with_stall
from currantdeal.testing.stopping_entry import stopping_entry

GRACE_S = 8.0
SHORT_TIMEOUT_MS = 1_500
SENT_S = {"early": -1.5, "late": 5.4}
"""Times of requests, from the stop request."""

READ_S = 10.5
"""Time from which callers read on; the process has been gone for seconds."""

LIMITS = {
    "MaxHeaderBytes": 4_096,
    "MaxBodyBytes": 65_536,
    "HeaderTimeoutMs": 400,
    "IdleTimeoutMs": 20_000,
}

MAX_SEND_BUFFER = int(Path("/proc/sys/net/core/wmem_max").read_text())
SIZES = (10_000, 180_000, min(3_000_000, MAX_SEND_BUFFER))
KEPT = request_bytes("/order/1", close=False)
CALLERS = {
    "closing": request_bytes("/order/1"),
    "kept": KEPT,
    "pipelined": KEPT + KEPT[:40],
    "two requests": KEPT + KEPT,
    "open-ended": request_bytes("/order/open"),
}
"""Bytes that each kind of caller sends."""


class _Upstream(StandInUpstream):
    """Answers at a length that the body of the request names."""

    def __init__(self):
        super().__init__(upstream="u1", script=_Upstream._answer_at_length)

    async def _answer_at_length(self, request, writer):
        if request.is_system_call:
            return False
        body = b"x" * int(request.get("X-Size"))
        if request.target != "/order/open":
            self.send(request, writer, 200, body)
            return True
        lines = (
            "HTTP/1.1 200 OK",
            *echo_lines(request),
            "X-Currantdeal-Response-Signature: by-u1",
            "Connection: close",
        )
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        writer.close()
        return True


def _with_size(raw, size):
    return raw.replace(b"Host:", b"X-Size: %d\r\nHost:" % size)


def _cases():
    """Return when a caller sends, which kind it is, and its answer's size."""
    late = [("late", name, size) for name in CALLERS for size in SIZES]
    # A connection that is kept has further answers for what is pipelined.
    single = ("closing", "kept", "open-ended")
    return [
        ("early", name, size) for name in single for size in SIZES[:2]
    ] + late


def _send(entry, when):
    return {
        case: asyncio.create_task(
            exchange_with_stall(
                entry.address,
                _with_size(CALLERS[case[1]], case[2]),
                stall_s=READ_S - SENT_S[when],
            )
        )
        for case in _cases()
        if case[0] == when
    }


async def _play(folder):
    upstream = _Upstream()
    config = config_body(timeout_ms=SHORT_TIMEOUT_MS, limits=LIMITS)
    async with stopping_entry(folder, config, (upstream, "shop", {})) as entry:
        tasks = _send(entry, "early")
        await asyncio.sleep(-SENT_S["early"])
        entry.stop()
        await entry.sleep_until(SENT_S["late"])
        tasks |= _send(entry, "late")
        status, ended_s = await entry.wait(GRACE_S)
        assert not any(task.done() for task in tasks.values())
        answers = {case: await task for case, task in tasks.items()}
    return status, ended_s - entry.stopped_s, answers


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop beside callers who stop to read until it is over."""
    return asyncio.run(_play(tmp_path_factory.mktemp("stop")))


@pytest.mark.parametrize(("when", "name", "size"), _cases())
def test_answer_that_was_written_outlives_its_process(
    played, when, name, size
):
    """Guards against bytes that are lost with the process that sent them."""
    status, after_s, answers = played
    assert status == 0
    assert after_s < GRACE_S
    head, _, body = answers[when, name, size].partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body == b"x" * size
