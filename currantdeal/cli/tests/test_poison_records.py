"""Data from outside that could end control again and again."""

import asyncio
import json
import time

import pytest

from currantdeal.testing.crashing_fleet import CrashingFleet
from currantdeal.testing.entry_world import config_body, request_bytes
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import heartbeat

HUGE = 10**30
DEEP = b"[" * 200_000 + b"]" * 200_000

START_S = 15.0

GOOD = heartbeat("127.0.0.1:9", "shop")


def _beat(**changes):
    return json.dumps({**GOOD, **changes}).encode()


BEATS = {
    "sequence": _beat(Sequence=HUGE),
    "started": _beat(born=HUGE),
    "places": _beat(Slots=HUGE),
    "nested": b'{"more":' + DEEP + b"," + _beat()[1:],
}


def _await_control(cluster):
    """Wait until each control process has the first configuration."""
    cluster.put_config(config_body(version=1))
    for process in cluster.control:
        url = cluster.control_url(process, "/v1/config")
        ends_s = time.monotonic() + START_S
        while cluster.call("GET", url)[0] != 200:
            assert time.monotonic() < ends_s, "control does not answer"
            time.sleep(0.05)


@pytest.mark.parametrize("kind", BEATS)
def test_control_outlives_a_heartbeat_that_it_cannot_pass_on(tmp_path, kind):
    """Guards against one upstream that ends control with each heartbeat."""
    with NodeCluster(folder=tmp_path, entries=1) as cluster:
        _await_control(cluster)
        statuses = set()
        for process in cluster.control:
            url = cluster.control_url(process, "/v1/instances/u1")
            for _ in range(2):
                statuses.add(cluster.call("PUT", url, BEATS[kind])[0])
        time.sleep(1.5)
        assert all(process.is_running for process in cluster.control)
        assert statuses == {400}
        entry = cluster.entries[0]
        entry.kill()
        entry.start()
        ends_s = time.monotonic() + START_S
        while not cluster.is_ready(entry):
            assert time.monotonic() < ends_s, "the entry gets no routes"
            time.sleep(0.1)


@pytest.mark.parametrize(
    "body",
    [
        config_body(version=2).replace(b":2,", b":%d," % HUGE, 1),
        config_body(version=2)[:-1] + b',"more":' + DEEP + b"}",
    ],
    ids=["version", "nested"],
)
def test_change_that_cannot_be_passed_on_is_refused(tmp_path, body):
    """Guards against a change that is sent again for want of an answer."""
    with NodeCluster(folder=tmp_path, entries=0) as cluster:
        _await_control(cluster)
        for process in cluster.control:
            url = cluster.control_url(process, "/v1/config")
            assert cluster.call("PUT", url, body)[0] == 400


SIZES = {
    "prompt": ("1" + "0" * 30 + ",900", "500"),
    "output": ("3000,1" + "0" * 30, "500"),
    "expected": ("3000,900", "1" + "0" * 30),
    "sign": ("\u00b2,\u00b3", "500"),
    "digits": ("3000,900", "9" * 3_000),
}


async def _ask(entry, size):
    counts, hint = size
    raw = request_bytes(
        "/note/1",
        more=(
            "X-Currantdeal-Model: m",
            f"X-Currantdeal-Token-Counts: {counts}",
            f"X-Currantdeal-Length-Hint: {hint}",
        ),
    )
    host, _, port = entry.settings["listen"]["callers"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    # Headers are latin-1 on the wire.
    writer.write(raw.decode().encode("latin-1"))
    answer = await reader.read()
    writer.close()
    return answer[9:12]


async def _await_generations(entry):
    ends_s = time.monotonic() + START_S
    while await _ask(entry, ("3000,900", "500")) != b"200":
        assert time.monotonic() < ends_s, "no generation is served"
        await asyncio.sleep(0.1)


async def _ask_all_sizes(cluster):
    entry = cluster.entries[0]
    # A run that lasts is reported to control while it runs.
    fleet = CrashingFleet(
        cluster=cluster, crashes_under=lambda request: False, work_s=0.4
    )
    await fleet.start()
    try:
        await _await_generations(entry)
        return {name: await _ask(entry, size) for name, size in SIZES.items()}
    finally:
        fleet.stop()


def test_entry_outlives_a_request_of_any_size(tmp_path):
    """Guards against one request that ends each entry that takes it."""
    with NodeCluster(folder=tmp_path, entries=1) as cluster:
        _await_control(cluster)
        entry = cluster.entries[0]
        while not cluster.is_ready(entry):
            time.sleep(0.1)
        found = asyncio.run(_ask_all_sizes(cluster))
        assert entry.is_running
    assert found == dict.fromkeys(SIZES, b"200")
