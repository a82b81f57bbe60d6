"""Requests to the listeners beside the callers' while their process stops."""

import asyncio
import contextlib
import signal
import time
from dataclasses import dataclass

import pytest

from currantdeal.testing.entry_world import config_body, read_to_end
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.stall_verdicts import LOSS_SLACK_S
from currantdeal.testing.stalled_peers import exchange_with_stall

GRACE_S = 8.0
START_S = 20.0
MIN_EXCHANGES = 5
SENT_AFTER_S = 0.3
INTERVAL_S = 0.2
BEFORE_S = 0.5
"""Seconds for which requests are sent before the stop request."""

SLOW_S = 0.3
"""Time over which slow callers send a request."""

STALL_S = 3.0
"""Time for which stalled callers take nothing; their process has ended."""

LISTENERS = {
    ("entry", "readiness"): "/v1/readyz",
    ("entry", "directory"): "/v1/resolve?Name=a&Region=r1&Zone=dc1",
    ("entry", "metrics"): "/metrics",
    ("control", "control"): "/v1/config",
    ("control", "directory"): "/v1/resolve?Name=a&Region=r1&Zone=dc1",
    ("control", "metrics"): "/metrics",
}
LAST_EVENTS = dict.fromkeys(
    [("control", "control"), ("control", "directory")], "listeners-closed"
)
"""Events at which a listener closes before the process ends."""

WAYS = ("closing", "kept", "slow", "stalled")


@dataclass(frozen=True, kw_only=True)
class _Exchange:
    """What a caller received for the last request of a connection."""

    sent_s: float
    answer: bytes


def _raw(target, *, close=True):
    more = "Connection: close\r\n" if close else ""
    return f"GET {target} HTTP/1.1\r\nHost: x\r\n{more}\r\n".encode()


class _Callers:
    """Send requests to one listener in one way until its process is gone."""

    def __init__(self, process, name, way):
        self._process = process
        host, _, port = process.settings["listen"][name].rpartition(":")
        self._address = (host, int(port))
        self._target = LISTENERS[process.role, name]
        self._way = way
        self.exchanges = []

    async def run(self):
        tasks = []
        while self._process.is_running:
            tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _send(self):
        # Connections are refused once the process is gone.
        with contextlib.suppress(OSError):
            await getattr(self, f"_send_{self._way}")()

    async def _send_closing(self, *, pause_s=0.0):
        reader, writer = await asyncio.open_connection(*self._address)
        raw = _raw(self._target)
        writer.write(raw[:20])
        await asyncio.sleep(pause_s)
        writer.write(raw[20:])
        await self._receive(reader)
        writer.close()

    async def _send_slow(self):
        await self._send_closing(pause_s=SLOW_S)

    async def _send_kept(self):
        reader, writer = await asyncio.open_connection(*self._address)
        is_kept = True
        while is_kept:
            writer.write(_raw(self._target, close=False))
            is_kept = await self._receive(reader)
            await asyncio.sleep(0.02)
        writer.close()

    async def _send_stalled(self):
        sent_s = time.time()
        answer = await exchange_with_stall(
            self._address, _raw(self._target), stall_s=STALL_S, first_bytes=20
        )
        self.exchanges.append(_Exchange(sent_s=sent_s, answer=answer))

    async def _receive(self, reader):
        """Receive one answer; returns whether the connection is kept."""
        sent_s, answer = time.time(), b""
        try:
            while not _is_whole(answer):
                data = await reader.read(65_536)
                if not data:
                    break
                answer += data
        except ConnectionError:
            answer += b"<reset>"
        self.exchanges.append(_Exchange(sent_s=sent_s, answer=answer))
        return _is_whole(answer) and b"connection: close" not in answer.lower()


def _is_whole(answer):
    head, end, body = answer.partition(b"\r\n\r\n")
    length = head.lower().partition(b"content-length: ")[2].split()
    return bool(end) and len(body) == int(length[0])


async def _play(folder):
    """Return the stopped processes by role, and exchanges by listener."""
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    (entry,), control = cluster.entries, cluster.control[1]
    port = control.settings["listen"]["directory"].rpartition(":")[2]
    host = entry.settings["address"]
    entry.settings["listen"]["directory"] = f"{host}:{port}"
    processes = {"entry": entry, "control": control}
    with cluster:
        await asyncio.to_thread(cluster.put_config, config_body())
        async with asyncio.timeout(START_S):
            while not await asyncio.to_thread(cluster.is_ready, entry):
                await asyncio.sleep(0.1)
        callers = {
            (role, name, way): _Callers(processes[role], name, way)
            for role, name in LISTENERS
            for way in WAYS
        }
        tasks = [asyncio.create_task(c.run()) for c in callers.values()]
        await asyncio.sleep(BEFORE_S)
        for process in processes.values():
            process.send_signal(signal.SIGTERM)
        for process in processes.values():
            assert await asyncio.to_thread(process.wait, GRACE_S) == 0
        await asyncio.gather(*tasks)
    return processes, {key: c.exchanges for key, c in callers.items()}


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop of an entry and of a control process."""
    return asyncio.run(_play(tmp_path_factory.mktemp("stop")))


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize(("role", "name"), LISTENERS)
def test_request_is_answered_until_its_process_is_gone(
    played, role, name, way
):
    """Guards against answers that end with the process that sends them.

    A request that crosses the close of its listener is not read.
    """
    processes, found = played
    exchanges = found[role, name, way]
    (closed_s,) = (
        line["at"]
        for line in processes[role].lines
        if line["event"] == LAST_EVENTS.get((role, name), "stopped")
    )
    assert len(exchanges) >= MIN_EXCHANGES
    for exchange in exchanges:
        is_crossing = exchange.sent_s > closed_s - LOSS_SLACK_S
        assert _is_whole(exchange.answer) or (
            is_crossing and exchange.answer in (b"", b"<reset>")
        ), (exchange, closed_s)


async def _find_leader(cluster):
    """Return the leading control process and the others."""
    async with asyncio.timeout(START_S):
        while True:
            leads = {}
            for process in cluster.control:
                url = cluster.metrics_url(process)
                _, page = await asyncio.to_thread(cluster.call, "GET", url)
                leads[process] = b"\nleads 1.0\n" in page.replace(
                    b"currantdeal_", b""
                )
            if sum(leads.values()) == 1:
                return sorted(leads, key=leads.get, reverse=True)
            await asyncio.sleep(0.1)


async def _send_without_quorum(folder, method, path, body):
    """Return the answer of a leader that stops while it waits for others."""
    cluster = NodeCluster(folder=folder, control=3, entries=0)
    with cluster:
        await asyncio.to_thread(cluster.put_config, config_body())
        process, *others = await _find_leader(cluster)
        host, _, port = process.settings["listen"]["control"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for other in others:
            other.kill()
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SENT_AFTER_S)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        answer = await read_to_end(reader)
        writer.close()
        return answer, await asyncio.to_thread(process.wait, GRACE_S)


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("PUT", "/v1/config", config_body(version=2)),
        ("GET", "/v1/config", b""),
    ],
)
def test_operation_that_waits_is_answered_before_the_end(
    tmp_path, method, path, body
):
    """Guards against operations that are cut when their process ends."""
    answer, status = asyncio.run(
        _send_without_quorum(tmp_path, method, path, body)
    )
    assert answer.startswith(b"HTTP/1.1 503")
    assert _is_whole(answer)
    assert status == 0
