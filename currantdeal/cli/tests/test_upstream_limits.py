"""Limits that upstreams name, with real entry and control processes."""

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
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.rate_bound import allowed_requests, most_in_window
from currantdeal.testing.upstream_fleet import UpstreamFleet

SPREAD_S = 0.5
"""Time from the first answer with a limit until all entries observe it."""

LOAD_S = 8.0
START_S = 20.0
REFUSED_WITHIN_S = 0.5
CALLER_TIMEOUT_S = 3.0


@dataclass(frozen=True, kw_only=True)
class _Answer:
    """Answer to one request; status 0 if there is none."""

    status: int
    took_s: float
    retry_after_s: float | None = None
    is_retry: bool = False

    @property
    def is_bookable(self):
        """Whether a caller waits for as long as the retry-after."""
        return (
            self.retry_after_s is not None
            and self.retry_after_s <= (CALLER_TIMEOUT_S - self.took_s) / 3.0
        )


class _Deployment:
    """Processes, upstreams that name limits, and callers."""

    def __init__(self, *, folder, services, engines=1):
        self.cluster = NodeCluster(folder=folder, control=3, entries=3)
        self.fleet = UpstreamFleet(
            cluster=self.cluster, services=services, engines=engines
        )
        self.answers = []
        self._numbers = itertools.count(1)
        self._limited_s = 0.0
        self._limits = {}

    async def start(self):
        await asyncio.to_thread(
            self.cluster.put_config, config_body(timeout_ms=3_000)
        )
        await self.fleet.start()
        deadline_s = time.monotonic() + START_S
        for entry in self.cluster.entries:
            while (await self.send(entry, "/order/1")).status != 200:
                assert time.monotonic() < deadline_s, "an entry does not serve"
                await asyncio.sleep(0.05)

    def name_limits(self, **limits):
        """Have upstreams name limits from now on."""
        self._limited_s = time.monotonic()
        self._limits = limits
        for name, rate_per_s in limits.items():
            standin = self.fleet.standins[name]
            standin.extra_headers = (f"Server-Limit: {rate_per_s}",)

    async def send(self, entry, target, *, number=None, timeout_s=None):
        """Send a request and return its ``_Answer``."""
        began_s = time.monotonic()
        number = number or next(self._numbers)
        more = GENERATION if target.startswith("/note") else ()
        raw = request_bytes(target, body=b"%d" % number, more=more)
        raw = raw.replace(b"r-1", f"r-{next(self._numbers)}".encode())
        deadline_ms = int((timeout_s or CALLER_TIMEOUT_S) * 1_000)
        raw = raw.replace(b"Ms: 3000", b"Ms: %d" % deadline_ms)
        host, _, port = entry.settings["listen"]["callers"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(raw)
            answer = await reader.read()
            writer.close()
        except ConnectionError:
            answer = b""
        return _Answer(
            status=int(answer[9:12] or 0),
            took_s=time.monotonic() - began_s,
            retry_after_s=_retry_after_s(answer),
            is_retry=timeout_s is not None,
        )

    async def load(self, rate_per_s, entries, *, target="/order/1"):
        """Send requests at a rate; refused callers retry once."""
        tasks = []
        ends_s = time.monotonic() + LOAD_S
        for entry in itertools.cycle(entries):
            if time.monotonic() >= ends_s:
                break
            tasks.append(asyncio.ensure_future(self._call(entry, target)))
            await asyncio.sleep(1.0 / rate_per_s)
        await asyncio.gather(*tasks)

    async def _call(self, entry, target):
        number = next(self._numbers)
        answer = await self.send(entry, target, number=number)
        self.answers.append(answer)
        if answer.is_bookable:
            await asyncio.sleep(answer.retry_after_s)
            left_s = CALLER_TIMEOUT_S - answer.took_s - answer.retry_after_s
            self.answers.append(
                await self.send(entry, target, number=number, timeout_s=left_s)
            )

    def statuses(self):
        """Return the statuses that callers received."""
        return {answer.status for answer in self.answers}

    def overruns(self):
        """Return the limited upstreams that got too many requests."""
        return {
            name: (most, allowed)
            for name, rate_per_s in self._limits.items()
            if (most := most_in_window(self._arrivals_s(name)))
            > (allowed := allowed_requests(rate_per_s))
        }

    def _arrivals_s(self, name):
        return [
            request.received_s
            for request in self.fleet.standins[name].requests
            if not request.is_system_call
            and request.received_s > self._limited_s + SPREAD_S
        ]


def _retry_after_s(answer):
    head = answer.partition(b"\r\n\r\n")[0].lower()
    _, found, rest = head.partition(b"retry-after: ")
    return float(rest.split(b"\r\n")[0]) if found else None


def _run(folder, scenario, *, services=3, engines=1):
    """Run a scenario and return its ``_Deployment``."""

    async def run():
        deployment = _Deployment(
            folder=folder, services=services, engines=engines
        )
        with deployment.cluster:
            await deployment.start()
            try:
                await scenario(deployment)
            finally:
                deployment.fleet.stop()
        return deployment

    return asyncio.run(run())


@pytest.mark.parametrize("used_entries", [3, 1])
def test_limit_holds_over_all_entries(tmp_path, used_entries):
    """Guards against entries that ignore a limit or apply it each for itself.

    The upstream without a limit has room, so nobody may be refused.
    """

    async def scenario(deployment):
        deployment.name_limits(s0=2.0, s1=2.6)
        entries = deployment.cluster.entries[:used_entries]
        await deployment.load(20.0, entries)

    deployment = _run(tmp_path, scenario)
    assert deployment.overruns() == {}
    assert deployment.statuses() == {200}


def test_limits_of_all_upstreams_are_used_in_full(tmp_path):
    """Guards against refusals while an upstream still takes requests."""

    async def scenario(deployment):
        deployment.name_limits(s0=3.0, s1=3.0, s2=3.0)
        await deployment.load(20.0, deployment.cluster.entries)

    deployment = _run(tmp_path, scenario)
    assert deployment.overruns() == {}
    assert deployment.statuses() == {200, 503}
    served = sum(a.status == 200 for a in deployment.answers)
    assert served >= 0.8 * 9.0 * LOAD_S


def test_refusals_over_a_limit_name_a_time_that_holds(tmp_path):
    """Guards against waits before a refusal, and retries refused again."""

    async def scenario(deployment):
        deployment.name_limits(s0=3.0, s1=3.0, s2=3.0)
        await deployment.load(14.0, deployment.cluster.entries)

    deployment = _run(tmp_path, scenario)
    refused = [a for a in deployment.answers if a.status == 503]
    assert refused
    assert all(a.retry_after_s for a in refused)
    assert max(a.took_s for a in refused) < REFUSED_WITHIN_S
    retries = [a for a in deployment.answers if a.is_retry]
    assert sum(a.status == 200 for a in retries) >= 0.9 * len(retries)


def test_limit_of_engines_holds(tmp_path):
    """Guards against generations and prefills that exceed a limit."""

    async def scenario(deployment):
        deployment.name_limits(d0=2.0, p0=2.0)
        entries = deployment.cluster.entries
        await deployment.load(8.0, entries, target="/note/1")

    deployment = _run(tmp_path, scenario, services=1, engines=2)
    assert deployment.overruns() == {}
    assert deployment.statuses() == {200}


def test_limit_holds_after_restarts(tmp_path):
    """Guards against limits and grants that a restart forgets."""

    async def restart(processes):
        for process in processes:
            process.kill()
            process.start()
            await asyncio.sleep(1.0)

    async def scenario(deployment):
        deployment.name_limits(s0=2.0, s1=2.0, s2=2.0)
        cluster = deployment.cluster
        await asyncio.gather(
            deployment.load(16.0, cluster.entries),
            restart([*cluster.control, *cluster.entries[:2]]),
        )

    deployment = _run(tmp_path, scenario)
    assert deployment.overruns() == {}


def test_limit_holds_without_control(tmp_path):
    """Guards against entries that go past a limit when they are cut off."""

    async def cut_off(deployment):
        await asyncio.sleep(1.0)
        for process in deployment.cluster.control:
            process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(4.0)
        for process in deployment.cluster.control:
            process.send_signal(signal.SIGCONT)

    async def scenario(deployment):
        deployment.name_limits(s0=2.0, s1=2.0)
        await asyncio.gather(
            deployment.load(16.0, deployment.cluster.entries),
            cut_off(deployment),
        )

    deployment = _run(tmp_path, scenario)
    assert deployment.overruns() == {}
    assert deployment.statuses() == {200}
