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
SENT_S = 5.4
STALL_S = 3.6
"""From the request to a time after the process has been gone for a second."""

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


async def _play(folder):
    upstream = _Upstream()
    config = config_body(timeout_ms=SHORT_TIMEOUT_MS)
    async with stopping_entry(folder, config, (upstream, "shop", {})) as entry:
        entry.stop()
        await entry.sleep_until(SENT_S)
        names = [(name, size) for name in CALLERS for size in SIZES]
        tasks = [
            asyncio.create_task(
                exchange_with_stall(
                    entry.address,
                    _with_size(CALLERS[name], size),
                    stall_s=STALL_S,
                )
            )
            for name, size in names
        ]
        status, ended_s = await entry.wait(GRACE_S)
        assert not any(task.done() for task in tasks)
        answers = await asyncio.gather(*tasks)
    return (
        status,
        ended_s - entry.stopped_s,
        dict(zip(names, answers, strict=True)),
    )


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop beside callers who stop to read until it is over."""
    return asyncio.run(_play(tmp_path_factory.mktemp("stop")))


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("name", CALLERS)
def test_answer_that_was_written_outlives_its_process(played, name, size):
    """Guards against bytes that are lost with the process that sent them."""
    status, after_s, answers = played
    assert status == 0
    assert after_s < GRACE_S
    head, _, body = answers[name, size].partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body == b"x" * size
