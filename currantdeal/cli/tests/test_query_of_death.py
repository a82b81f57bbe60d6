"""A request that crashes upstreams, with real entries and control."""

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
"""Time in which all entries know of a crash."""


def _order(body, number):
    raw = request_bytes("/order/1", body=body)
    return raw.replace(b"r-1", f"r-{number}".encode())


class _World:
    """Processes, upstreams that crash, and callers."""

    def __init__(self, *, folder):
        self.cluster = NodeCluster(folder=folder, control=3, entries=3)
        self.fleet = CrashingFleet(
            cluster=self.cluster,
            crashes_under=lambda request: request.body == POISON,
        )
        self._sent = 0

    async def ask(self, entry, body):
        """Return the status of a request; 0 if there is no answer."""
        self._sent += 1
        host, _, port = entry.settings["listen"]["callers"].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_order(body, self._sent))
            answer = await reader.read()
            writer.close()
        except ConnectionError:
            return 0
        return int(answer[9:12] or 0)

    async def start(self):
        body = config_body(version=1)
        await asyncio.to_thread(self.cluster.put_config, body)
        await self.fleet.start()
        await self.await_served()

    async def await_served(self):
        """Wait until each entry serves a sound request."""
        ends_s = time.monotonic() + START_S
        for entry in self.cluster.entries:
            while await self.ask(entry, b"sound") != 200:
                assert time.monotonic() < ends_s, "an entry does not serve"
                await asyncio.sleep(0.05)

    async def ask_all(self):
        """Return the status of the poison at each entry."""
        return [await self.ask(e, POISON) for e in self.cluster.entries]

    async def restart(self, processes):
        for process in processes:
            process.kill()
        for process in processes:
            process.start()
        await self.await_served()


async def _crash_three(world):
    """Crash one upstream by way of each entry."""
    for entry in world.cluster.entries:
        assert await world.ask(entry, POISON) == 502
        await asyncio.sleep(SPREAD_S)


def _play(folder, *stages):
    async def run():
        world = _World(folder=folder)
        with world.cluster:
            await world.start()
            try:
                for stage in stages:
                    await stage(world)
            finally:
                world.fleet.stop()
            return len(world.fleet.crashes)

    return asyncio.run(run())


async def _all_refuse(world):
    assert await world.ask_all() == [429, 429, 429]


async def _restart_an_entry(world):
    await world.restart(world.cluster.entries[:1])


async def _restart_control(world):
    await world.restart(world.cluster.control)
    await world.restart(world.cluster.entries[:1])


async def _restart_all(world):
    await world.restart(world.cluster.processes)


def test_query_of_death_is_known_to_all_entries(tmp_path):
    """Guards against three crashes at each entry instead of three in all."""
    assert _play(tmp_path, _crash_three, _all_refuse) == ALLOWED_CRASHES


@pytest.mark.parametrize(
    "restart", [_restart_an_entry, _restart_control, _restart_all]
)
def test_query_of_death_is_known_after_a_restart(tmp_path, restart):
    """Guards against a restart that forgets what crashes upstreams."""
    crashes = _play(tmp_path, _crash_three, restart, _all_refuse)
    assert crashes == ALLOWED_CRASHES
