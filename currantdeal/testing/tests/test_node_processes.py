"""The harness of entry and control processes."""

import os
import socket
import threading

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


def test_answer_that_ends_early_counts_as_none(tmp_path):
    """Guards against calls that raise when a process is killed meanwhile."""
    cluster = NodeCluster(folder=tmp_path, control=1, entries=0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        thread = threading.Thread(target=_answer_in_part, args=(server,))
        thread.start()
        url = f"http://127.0.0.1:{server.getsockname()[1]}/"
        assert cluster.call("GET", url) == (0, b"")
        thread.join()


def _answer_in_part(server):
    connection, _ = server.accept()
    with connection:
        connection.recv(4_096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")
