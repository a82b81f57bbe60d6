"""Data from outside that could end control again and again."""

import json
import time

import pytest

from currantdeal.testing.entry_world import config_body
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
