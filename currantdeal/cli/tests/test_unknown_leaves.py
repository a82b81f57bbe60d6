"""Leaves of upstreams that control processes do not know."""

import asyncio
import contextlib
import json
import time

from currantdeal.testing.entry_world import (
    config_body,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat

START_S = 20.0
LEAVE_S = 10.0
DRAIN_S = 2.5
"""Time after an acknowledged leave within which entries observe it."""

RUNNING_S = 8.5
"""Time from the restart of control until the upstream leaves."""


async def _order(entry, number):
    """Return the status of the answer to an order; 0 without one."""
    host, _, port = entry.settings["listen"]["callers"].rpartition(":")
    raw = request_bytes("/order/1", body=b"%d" % number)
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw.replace(b"Id: r-1", b"Id: r-%d" % number))
        answer = await read_to_end(reader)
        writer.close()
        return int(answer[9:12] or 0)
    return 0


async def _wait_until_served(entry):
    async with asyncio.timeout(START_S):
        while await _order(entry, 0) != 200:
            await asyncio.sleep(0.1)


async def _leave(cluster, upstream):
    """Return whether a control process acknowledges a leave in time."""
    ends_s = time.monotonic() + LEAVE_S
    while time.monotonic() < ends_s:
        for process in cluster.control:
            url = cluster.control_url(process, f"/v1/instances/{upstream}")
            status, _ = await asyncio.to_thread(cluster.call, "DELETE", url)
            if status == 200:
                return True
        await asyncio.sleep(0.3)
    return False


async def _play(folder):
    """Return how many orders an upstream got too late after its leave."""
    cluster = NodeCluster(folder=folder, control=3, entries=2)
    standin = StandInUpstream(upstream="u1")
    await standin.start()
    with cluster:
        await asyncio.to_thread(cluster.put_config, config_body())
        message = heartbeat(standin.address, "shop")
        await asyncio.to_thread(cluster.announce, "u1", message)
        for entry in cluster.entries:
            await _wait_until_served(entry)
        # It sends no more heartbeats, as if partitioned from control.
        await asyncio.to_thread(cluster.restart_all_control)
        for entry in cluster.entries:
            assert await _order(entry, 0) == 200
        await asyncio.sleep(RUNNING_S)
        assert await _leave(cluster, "u1")
        await asyncio.sleep(DRAIN_S)
        before = len(standin.runs)
        for number, entry in enumerate(cluster.entries * 3, start=1):
            await _order(entry, number)
        return len(standin.runs) - before


def test_entries_observe_the_leave_of_an_upstream_unknown_to_control(tmp_path):
    """Guards against a leave that control acknowledges and tells nobody."""
    assert asyncio.run(_play(tmp_path)) == 0


def test_upstream_that_nobody_knows_cannot_leave(tmp_path):
    """Guards against an acknowledged leave without a record to keep it."""

    async def play():
        cluster = NodeCluster(folder=tmp_path, control=3, entries=0)
        with cluster:
            await asyncio.to_thread(cluster.put_config, config_body())
            url = cluster.control_url(cluster.control[0], "/v1/instances/u9")
            status, body = 0, b""
            async with asyncio.timeout(START_S):
                while not status:
                    # It may still be starting when another one is up.
                    status, body = await asyncio.to_thread(
                        cluster.call, "DELETE", url
                    )
            return status, body

    status, body = asyncio.run(play())
    assert status == 503
    assert "known" in json.loads(body)["Error"]
