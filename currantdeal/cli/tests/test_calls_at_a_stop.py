"""Requests of each kind that arrive until an entry process is gone.

Signals come in series: a reload just before the first stop request, and more
of both after it.
"""

import asyncio
import itertools
import signal
import time
from dataclasses import dataclass

import pytest

from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stopping_entry import stopping_entry

GRACE_S = 8.0
RUN_S = 0.5
TIMEOUT_MS = 3_000
INTERVAL_S = 0.25
BODY_S = 1.2
"""Time over which slow callers send a body."""

SIGNALS = (
    (0.3, signal.SIGTERM),
    (1.0, signal.SIGHUP),
    (2.0, signal.SIGINT),
    (6.5, signal.SIGTERM),
)
LIMITS = {
    "MaxHeaderBytes": 4_096,
    "MaxBodyBytes": 65_536,
    "HeaderTimeoutMs": 5_000,
    "IdleTimeoutMs": 5_000,
}
KINDS = {
    "order": ("/order/1", ()),
    "idempotent": ("/menu/1", ()),
    "stream": ("/note/1", GENERATION),
}
WAYS = ("closing", "no deadline", "slow body", "kept")


@dataclass(frozen=True, kw_only=True)
class _Call:
    """One request, and what its caller received."""

    kind: str
    way: str
    request_id: str
    sent_s: float
    answer: bytes

    @property
    def status(self):
        return self.answer[9:12].decode("ascii", "replace")

    @property
    def is_whole(self):
        head, end, body = self.answer.partition(b"\r\n\r\n")
        if not end or b"<reset>" in self.answer:
            return False
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                return len(body) == int(line.partition(b":")[2])
        return body.endswith(b"0\r\n\r\n")


class _Upstream(StandInUpstream):
    """Takes its time for a call, and for a stream."""

    def __init__(self, **options):
        super().__init__(**options, script=_Upstream._work)

    async def _work(self, request, writer):
        if not request.is_system_call and not request.is_prefill:
            await asyncio.sleep(RUN_S)
        return False


async def _read_answer(reader):
    """Return one answer, or what there is of it at the end or a reset."""
    received = b""
    try:
        while data := await reader.read(65_536):
            received += data
            call = _Call(
                kind="", way="", request_id="", sent_s=0.0, answer=received
            )
            if call.is_whole:
                break
    except ConnectionError:
        received += b"<reset>"
    return received


class _Callers:
    """Send requests of one kind in one way until the process is gone."""

    def __init__(self, entry, kind, way):
        self._entry = entry
        self._kind = kind
        self._way = way
        self._numbers = itertools.count(1)
        self.calls = []

    async def run(self):
        tasks = []
        while self._entry.process.is_running:
            if self._way == "kept":
                await self._send_kept()
            else:
                tasks.append(asyncio.create_task(self._send_once()))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _send_once(self):
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        await self._exchange(reader, writer)
        writer.close()

    async def _send_kept(self):
        try:
            reader, writer = await self._connect()
        except OSError:
            return
        while await self._exchange(reader, writer):
            await asyncio.sleep(0.02)
        writer.close()

    async def _connect(self):
        return await asyncio.open_connection(*self._entry.address)

    async def _exchange(self, reader, writer):
        """Send a request; returns whether the connection is kept."""
        number = next(self._numbers)
        request_id = f"{self._kind}-{self._way}-{number}".replace(" ", "-")
        raw = self._raw(request_id)
        sent_s = time.monotonic()
        if self._way == "slow body":
            writer.write(raw[:-1])
            await asyncio.sleep(BODY_S)
            raw = raw[-1:]
        writer.write(raw)
        answer = await _read_answer(reader)
        call = _Call(
            kind=self._kind,
            way=self._way,
            request_id=request_id,
            sent_s=sent_s,
            answer=answer,
        )
        self.calls.append(call)
        return call.is_whole and b"connection: close" not in answer.lower()

    def _raw(self, request_id):
        target, more = KINDS[self._kind]
        raw = request_bytes(target, more=more, close=self._way == "closing")
        raw = raw.replace(b"Id: r-1\r", b"Id: %s\r" % request_id.encode())
        if self._way == "no deadline":
            raw = raw.replace(b"X-Currantdeal-Deadline-Ms: 3000\r\n", b"")
        return raw


async def _play(folder):
    """Return exit status, time of it, calls, and ids of what ran."""
    shop = _Upstream(upstream="s1")
    prefill, decode = _Upstream(upstream="p1"), _Upstream(upstream="d1")
    config = config_body(timeout_ms=TIMEOUT_MS, limits=LIMITS)
    async with stopping_entry(
        folder,
        config,
        (shop, "shop", {}),
        (prefill, "model", {"Stage": "prefill"}),
        (decode, "model", {"Stage": "decode"}),
    ) as entry:
        callers = [
            _Callers(entry, kind, way) for kind in KINDS for way in WAYS
        ]
        tasks = [asyncio.create_task(c.run()) for c in callers]
        await asyncio.sleep(1.0)
        entry.process.send_signal(signal.SIGHUP)
        entry.stop()
        for after_s, number in SIGNALS:
            await entry.sleep_until(after_s)
            if entry.process.is_running:
                entry.process.send_signal(number)
        status, ended_s = await entry.wait(GRACE_S)
        await asyncio.gather(*tasks)
    ran = {r.request_id for s in (shop, decode) for r in s.runs}
    calls = [call for c in callers for call in c.calls]
    return status, ended_s - entry.stopped_s, calls, ran


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop beside callers of each kind."""
    return asyncio.run(_play(tmp_path_factory.mktemp("stop")))


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("kind", KINDS)
def test_request_is_answered_until_its_process_is_gone(played, kind, way):
    """Guards against requests that are taken and cut late in the grace.

    One that crosses the close of its connection is not read, and has not run.
    """
    status, after_s, calls, ran = played
    assert status == 0
    assert after_s < GRACE_S
    found = [c for c in calls if (c.kind, c.way) == (kind, way)]
    assert len(found) >= GRACE_S / 2
    for call in found:
        if call.status == "200":
            assert call.is_whole, call
            assert call.request_id in ran
        elif call.answer in (b"", b"<reset>"):
            assert way != "slow body", call
            assert call.request_id not in ran, call
        else:
            assert call.is_whole, call
            assert call.status == "503", call
            assert call.request_id not in ran, call
