"""Stop requests that reach an entry process while it starts."""

import asyncio
import signal
import time

import pytest

from currantdeal.cli.entry_drain import STOP_ACCEPTING_AFTER_S
from currantdeal.testing.entry_world import (
    config_body,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat

GRACE_S = 8.0
DELAYS_S = (0.1, 0.3, 0.6, 0.9, 1.5)
INTERVAL_S = 0.05
MAX_CROSSING_S = 0.05
"""Time from the close of the listener within which requests may cross it."""


async def _order(address, request_id):
    """Return id, time and answer; None if no connection is accepted."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    raw = request_bytes("/order/1").replace(b"r-1", request_id.encode())
    sent_s = time.monotonic()
    writer.write(raw)
    answer = await read_to_end(reader)
    writer.close()
    return request_id, sent_s, answer


async def _stop_starting(process, delay_s):
    """Return exit status, times of the signal and of it, and the answers."""
    host, _, port = process.settings["listen"]["callers"].rpartition(":")
    process.start()
    started_s = time.monotonic()
    stopped_s = None
    tasks = []
    while process.is_running:
        now_s = time.monotonic()
        if stopped_s is None and now_s >= started_s + delay_s:
            process.send_signal(signal.SIGTERM)
            stopped_s = now_s
        request_id = f"r-{delay_s}-{len(tasks)}"
        order = _order((host, int(port)), request_id)
        tasks.append(asyncio.create_task(order))
        await asyncio.sleep(INTERVAL_S)
    ended_s = time.monotonic()
    answers = await asyncio.gather(*tasks)
    return process.wait(0), stopped_s, ended_s, list(filter(None, answers))


async def _play(folder):
    cluster = NodeCluster(folder=folder, control=3, entries=len(DELAYS_S))
    standin = StandInUpstream(upstream="u1")
    await standin.start()
    with cluster:
        for entry in cluster.entries:
            entry.kill()
        config = config_body(timeout_ms=1_500)
        await asyncio.to_thread(cluster.put_config, config)
        message = heartbeat(standin.address, "shop")
        await asyncio.to_thread(cluster.announce, "u1", message)
        found = await asyncio.gather(
            *map(_stop_starting, cluster.entries, DELAYS_S)
        )
    ran = {request.request_id for request in standin.runs}
    return dict(zip(DELAYS_S, found, strict=True)), ran


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop at each time after the start."""
    return asyncio.run(_play(tmp_path_factory.mktemp("start")))


@pytest.mark.parametrize("delay_s", DELAYS_S)
def test_entry_that_is_stopped_while_it_starts_answers(played, delay_s):
    """Guards against requests that are taken by a process about to end.

    One that crosses the close of the listener is not read, and has not run.
    """
    found, ran = played
    status, stopped_s, ended_s, answers = found[delay_s]
    assert status in (0, -signal.SIGTERM)
    assert ended_s - stopped_s < GRACE_S
    for request_id, sent_s, answer in answers:
        if answer in (b"", b"<reset>"):
            crossing_s = sent_s - stopped_s - STOP_ACCEPTING_AFTER_S
            assert abs(crossing_s) < MAX_CROSSING_S, request_id
        else:
            assert answer[9:12] in (b"200", b"503"), answer
        assert (request_id in ran) == (answer[9:12] == b"200")
    if status != 0:
        assert not answers
