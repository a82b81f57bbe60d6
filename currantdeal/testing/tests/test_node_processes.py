"""The harness of entry and control processes."""

import os

import pytest

from currantdeal.testing.node_processes import NodeCluster

CLUSTERS = 5_000


def test_ports_of_a_cluster_differ(tmp_path):
    """Guards against processes that fail to listen on a port of their own."""
    for _ in range(CLUSTERS):
        cluster = NodeCluster(folder=tmp_path, control=1, entries=1)
        control, entry = (p.settings for p in cluster.processes)
        ports = [
            str(control["peer_port"]),
            *(a.rpartition(":")[2] for a in control["listen"].values()),
            *(a.rpartition(":")[2] for a in entry["listen"].values()),
        ]
        # Both programs serve their metrics on the same port.
        assert len(set(ports)) == len(ports) - 1


def test_process_that_is_started_twice_runs_once(tmp_path):
    """Guards against a process that outlives its cluster."""
    cluster = NodeCluster(folder=tmp_path, control=1, entries=0)
    (process,) = cluster.processes
    with cluster:
        first = process.process_id
        process.start()
    with pytest.raises(ProcessLookupError):
        os.kill(first, 0)
