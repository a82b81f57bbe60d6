"""The harness of entry and control processes."""

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
