"""Tests of a query of death with real entry and control processes."""

import asyncio
import time

import pytest

from currantdeal.testing.crashing_fleet import CrashingFleet
from currantdeal.testing.entry_world import config_body, request_bytes
from currantdeal.testing.node_processes import NodeCluster

POISON = b"poison"
ALLOWED_CRASHES = 3
START_S = 20.0

SPREAD_S = 1.0
"""Time in which a crash is reported to all entries, in seconds."""


def _order_bytes(body, number):
    raw = request_bytes("/order/1", body=body)
    return raw.replace(b"r-1", f"r-{number}".encode())


class _Deployment:
    """Processes, upstreams that crash on the poison, and a caller."""

    def __init__(self, *, folder):
        self.cluster = NodeCluster(folder=folder, control=3, entries=3)
        self.fleet = CrashingFleet(
            cluster=self.cluster,
            crashes_on=lambda request: request.body == POISON,
        )
        self._sent = 0

    async def send(self, entry, body):
        """Return the status of a request; 0 without an answer."""
        self._sent += 1
        host, _, port = entry.settings["listen"]["callers"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_order_bytes(body, self._sent))
            answer = await reader.read()
            writer.close()
        except ConnectionError:
            return 0
        return int(answer[9:12] or 0)

    async def start(self):
        body = config_body(version=1)
        await asyncio.to_thread(self.cluster.put_config, body)
        await self.fleet.start()
        await self.wait_until_served()

    async def wait_until_served(self):
        """Wait until each entry serves a harmless request."""
        deadline_s = time.monotonic() + START_S
        for entry in self.cluster.entries:
            while await self.send(entry, b"sound") != 200:
                assert time.monotonic() < deadline_s, "an entry does not serve"
                await asyncio.sleep(0.05)

    async def send_poison_to_all(self):
        """Return the status of the poison request at each entry."""
        return [await self.send(e, POISON) for e in self.cluster.entries]

    async def restart(self, processes):
        for process in processes:
            process.kill()
        for process in processes:
            process.start()
        await self.wait_until_served()


async def _crash_three_upstreams(deployment):
    """Crash one upstream through each entry."""
    for entry in deployment.cluster.entries:
        assert await deployment.send(entry, POISON) == 502
        await asyncio.sleep(SPREAD_S)


def _run_stages(folder, *stages):
    async def run():
        deployment = _Deployment(folder=folder)
        with deployment.cluster:
            await deployment.start()
            try:
                for stage in stages:
                    await stage(deployment)
            finally:
                deployment.fleet.stop()
            return len(deployment.fleet.crashes)

    return asyncio.run(run())


async def _check_all_refuse(deployment):
    assert await deployment.send_poison_to_all() == [429, 429, 429]


async def _restart_an_entry(deployment):
    await deployment.restart(deployment.cluster.entries[:1])


async def _restart_control(deployment):
    await deployment.restart(deployment.cluster.control)
    await deployment.restart(deployment.cluster.entries[:1])


async def _restart_all(deployment):
    await deployment.restart(deployment.cluster.processes)


def test_query_of_death_is_known_to_all_entries(tmp_path):
    """Guards against three crashes per entry instead of three in total.

    Without the shared crash records each entry would send the request on
    until it had counted its own three crashes.
    """
    assert (
        _run_stages(tmp_path, _crash_three_upstreams, _check_all_refuse)
        == ALLOWED_CRASHES
    )


@pytest.mark.parametrize(
    "restart", [_restart_an_entry, _restart_control, _restart_all]
)
def test_query_of_death_is_known_after_a_restart(tmp_path, restart):
    """Guards against a restart that loses the crash records.

    The request would crash further upstreams after a restart of an entry, of
    control or of all processes.
    """
    crashes = _run_stages(
        tmp_path, _crash_three_upstreams, restart, _check_all_refuse
    )
    assert crashes == ALLOWED_CRASHES
