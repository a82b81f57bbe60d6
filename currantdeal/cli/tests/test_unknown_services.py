"""Heartbeats that name a service that nobody has configured."""

import asyncio
import contextlib
import json

from currantdeal.testing.entry_world import (
    config_body,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat

START_S = 20.0
SETTLE_S = 1.5
"""Time in which all processes have received a heartbeat."""


async def _order(entry, number):
    """Return the status of the answer to an order; 0 without one."""
    host, _, port = entry.settings["listen"]["callers"].rpartition(":")
    raw = request_bytes("/order/1").replace(b"r-1", b"r-%d" % number)
    with contextlib.suppress(ConnectionError):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(raw)
        answer = await read_to_end(reader)
        writer.close()
        return int(answer[9:12] or 0)
    return 0


async def _announce_to_all(cluster, upstream, message):
    """Return the statuses of the answers of the control processes."""
    statuses = []
    for process in cluster.control:
        url = cluster.control_url(process, f"/v1/instances/{upstream}")
        body = json.dumps(message).encode()
        status, _ = await asyncio.to_thread(cluster.call, "PUT", url, body)
        statuses.append(status)
    return statuses


async def _play(folder):
    """Return answers to the heartbeat, and to orders after it."""
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    standin = StandInUpstream(upstream="u1")
    await standin.start()
    (entry,) = cluster.entries
    with cluster:
        await asyncio.to_thread(cluster.put_config, config_body())
        message = heartbeat(standin.address, "shop")
        async with asyncio.timeout(START_S):
            while await _announce_to_all(cluster, "u1", message) != [200] * 3:
                await asyncio.sleep(0.1)
            while await _order(entry, 0) != 200:
                await asyncio.sleep(0.1)
        other = heartbeat(standin.address, "unheard-of", born=9)
        refused = await _announce_to_all(cluster, "x0", other)
        await asyncio.sleep(SETTLE_S)
        served = [await _order(entry, number) for number in range(1, 6)]
        # A later configuration does not bring the heartbeat back.
        later = config_body(version=2).replace(b'"shop"', b'"unheard-of"')
        await asyncio.to_thread(cluster.put_config, later)
        await asyncio.to_thread(cluster.put_config, config_body(version=3))
        await asyncio.sleep(SETTLE_S)
        served += [await _order(entry, number) for number in range(6, 11)]
    return refused, served


def test_heartbeat_of_an_unknown_service_takes_no_upstream_away(tmp_path):
    """Guards against a report that removes a healthy upstream."""
    refused, served = asyncio.run(_play(tmp_path))
    assert served == [200] * 10
    assert refused == [404] * 3
