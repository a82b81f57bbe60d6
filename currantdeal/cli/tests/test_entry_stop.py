"""Calls that arrive while an entry process stops."""

import asyncio
import signal
import socket
import time

from currantdeal.testing.entry_world import (
    config_body,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat

START_S = 20.0
GRACE_S = 8.0
RUN_S = 2.2
TIMEOUT_MS = 3_000
INTERVAL_S = 0.1


async def _work(standin, request, writer):
    if not request.is_system_call:
        await asyncio.sleep(RUN_S)
    return False


async def _order(entry, number):
    """Return the answer to an order; None if no connection is accepted."""
    host, _, port = entry.settings["listen"]["callers"].rpartition(":")
    raw = request_bytes("/order/1").replace(b"r-1", b"r-%d" % number)
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return None
    writer.write(raw)
    answer = await read_to_end(reader)
    writer.close()
    return answer


async def _play(folder):
    """Return the answers to orders from the signal to the end."""
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    standin = StandInUpstream(upstream="u1", script=_work)
    await standin.start()
    (entry,) = cluster.entries
    with cluster:
        config = config_body(timeout_ms=TIMEOUT_MS)
        await asyncio.to_thread(cluster.put_config, config)
        message = heartbeat(standin.address, "shop")
        await asyncio.to_thread(cluster.announce, "u1", message)
        async with asyncio.timeout(START_S):
            answer = b""
            while not (answer and answer.startswith(b"HTTP/1.1 200")):
                answer = await _order(entry, 0)
                await asyncio.sleep(0.1)
        entry.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + GRACE_S
        tasks = []
        while entry.is_running and time.monotonic() < until_s:
            number = len(tasks) + 1
            tasks.append(asyncio.create_task(_order(entry, number)))
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*tasks)
    runs = {r.request_id for r in standin.runs}
    return [
        (answer, f"r-{number}" in runs)
        for number, answer in enumerate(answers, start=1)
        if answer is not None
    ]


def test_no_call_outlasts_its_entry(tmp_path):
    """Guards against an accepted call that is cut when its entry ends."""
    answers = asyncio.run(_play(tmp_path))
    statuses = [answer[9:12] for answer, _ in answers]
    assert set(statuses) == {b"200", b"503"}
    for answer, ran in answers:
        assert ran == answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer.lower()


ANSWER_BYTES = 8_000_000
"""More than the system keeps for a caller that takes nothing."""

SHORT_TIMEOUT_MS = 1_500
LATE_S = 5.5
STALL_S = 0.9


async def _answer_at_length(standin, request, writer):
    if request.is_system_call:
        return False
    standin.send(request, writer, 200, b"x" * ANSWER_BYTES)
    await writer.drain()
    return True


async def _take_late(entry):
    """Return the answer to an order, of which nothing is taken at first."""
    host, _, port = entry.settings["listen"]["callers"].rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=1)
    writer.write(request_bytes("/order/1"))
    await asyncio.sleep(STALL_S)
    answer = await read_to_end(reader)
    writer.close()
    return answer


async def _stop_beside_late_taker(folder):
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    standin = StandInUpstream(upstream="u1", script=_answer_at_length)
    await standin.start()
    (entry,) = cluster.entries
    with cluster:
        config = config_body(timeout_ms=SHORT_TIMEOUT_MS)
        await asyncio.to_thread(cluster.put_config, config)
        message = heartbeat(standin.address, "shop")
        await asyncio.to_thread(cluster.announce, "u1", message)
        async with asyncio.timeout(START_S):
            while not (await _order(entry, 0) or b"").startswith(
                b"HTTP/1.1 200"
            ):
                await asyncio.sleep(0.1)
        entry.send_signal(signal.SIGTERM)
        await asyncio.sleep(LATE_S)
        answer = await _take_late(entry)
        return answer, await asyncio.to_thread(entry.wait, GRACE_S)


def test_answer_that_is_being_taken_outlives_a_planned_stop(tmp_path):
    """Guards against a stop that cuts what a slow caller has not taken."""
    answer, status = asyncio.run(_stop_beside_late_taker(tmp_path))
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(answer.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
    assert status == 0
