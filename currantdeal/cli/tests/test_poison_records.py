"""Tests of extreme input that could crash processes repeatedly."""

import asyncio
import json
import time

import pytest

from currantdeal.testing.crashing_fleet import CrashingFleet
from currantdeal.testing.entry_world import config_body, request_bytes
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import heartbeat

HUGE_NUMBER = 10**30
NESTED = b"[" * 200_000 + b"]" * 200_000

START_S = 15.0

VALID_HEARTBEAT = heartbeat("127.0.0.1:9", "shop")


def _encode_heartbeat(**changes):
    return json.dumps({**VALID_HEARTBEAT, **changes}).encode()


HEARTBEATS = {
    "sequence": _encode_heartbeat(Sequence=HUGE_NUMBER),
    "started": _encode_heartbeat(born=HUGE_NUMBER),
    "places": _encode_heartbeat(Slots=HUGE_NUMBER),
    "nested": b'{"more":' + NESTED + b"," + _encode_heartbeat()[1:],
    "nested-field": _encode_heartbeat(Models=None).replace(b"null", NESTED),
    "port-above-range": _encode_heartbeat(Address="127.0.0.1:65536"),
    "port-huge": _encode_heartbeat(Address="127.0.0.1:" + "9" * 30),
    "port-zero": _encode_heartbeat(Address="127.0.0.1:0"),
    "port-negative": _encode_heartbeat(Address="127.0.0.1:-1"),
}


def _wait_for_control(cluster):
    """Wait until each control process has the first configuration."""
    cluster.put_config(config_body(version=1))
    for process in cluster.control:
        url = cluster.control_url(process, "/v1/config")
        deadline_s = time.monotonic() + START_S
        while cluster.call("GET", url)[0] != 200:
            assert time.monotonic() < deadline_s, "control does not answer"
            time.sleep(0.05)


@pytest.mark.parametrize("kind", HEARTBEATS)
def test_control_refuses_a_heartbeat_that_it_cannot_forward(tmp_path, kind):
    """Guards against an upstream whose heartbeats crash control processes.

    The heartbeat has a number beyond 64 bits or is nested too deeply, so that
    control cannot forward it.  Control refuses it with 400, keeps running and
    serves an entry that starts later.
    """
    with NodeCluster(folder=tmp_path, entries=1) as cluster:
        _wait_for_control(cluster)
        statuses = set()
        for process in cluster.control:
            url = cluster.control_url(process, "/v1/instances/u1")
            for _ in range(2):
                statuses.add(cluster.call("PUT", url, HEARTBEATS[kind])[0])
        time.sleep(1.5)
        assert all(process.is_running for process in cluster.control)
        assert statuses == {400}
        entry = cluster.entries[0]
        entry.kill()
        entry.start()
        deadline_s = time.monotonic() + START_S
        while not cluster.is_ready(entry):
            assert time.monotonic() < deadline_s, "the entry gets no routes"
            time.sleep(0.1)


@pytest.mark.parametrize(
    "body",
    [
        config_body(version=2).replace(b":2,", b":%d," % HUGE_NUMBER, 1),
        config_body(version=2)[:-1] + b',"more":' + NESTED + b"}",
    ],
    ids=["version", "nested"],
)
def test_change_that_cannot_be_forwarded_is_refused(tmp_path, body):
    """Guards against a change that crashes control with each resend.

    Without an answer the operator's client sends the change again.  A change
    with a number beyond 64 bits, or nested too deeply, is refused with 400.
    """
    with NodeCluster(folder=tmp_path, entries=0) as cluster:
        _wait_for_control(cluster)
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


async def _request_status(entry, size):
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
    # HTTP headers are sent as latin-1.
    writer.write(raw.decode().encode("latin-1"))
    answer = await reader.read()
    writer.close()
    return answer[9:12]


async def _wait_for_generations(entry):
    deadline_s = time.monotonic() + START_S
    while await _request_status(entry, ("3000,900", "500")) != b"200":
        assert time.monotonic() < deadline_s, "no generation is served"
        await asyncio.sleep(0.1)


async def _request_all_sizes(cluster):
    entry = cluster.entries[0]
    # A run of this length is reported to control while it lasts.
    fleet = CrashingFleet(
        cluster=cluster, crashes_on=lambda request: False, work_s=0.4
    )
    await fleet.start()
    try:
        await _wait_for_generations(entry)
        return {
            name: await _request_status(entry, size)
            for name, size in SIZES.items()
        }
    finally:
        fleet.stop()


def test_entry_outlives_a_request_of_any_size(tmp_path):
    """Guards against a request whose size headers crash each entry.

    The sizes are far larger than any real one or are no ASCII digits.
    """
    with NodeCluster(folder=tmp_path, entries=1) as cluster:
        _wait_for_control(cluster)
        entry = cluster.entries[0]
        while not cluster.is_ready(entry):
            time.sleep(0.1)
        statuses_by_size = asyncio.run(_request_all_sizes(cluster))
        assert entry.is_running
    assert statuses_by_size == dict.fromkeys(SIZES, b"200")
