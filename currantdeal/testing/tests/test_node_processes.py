import asyncio
import signal
import threading

import pytest

from currantdeal.testing.errors import HarnessError
from currantdeal.testing.node_processes import NodeCluster

LATE_S = 2.0


def test_an_answer_that_is_broken_off_counts_as_none(tmp_path):
    """Guards against a soak that ends when a process is killed mid-answer."""

    async def break_off(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 503 No\r\nContent-Length: 54\r\n\r\n")
        await writer.drain()
        writer.close()

    async def run():
        server = await asyncio.start_server(break_off, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        cluster = NodeCluster(folder=tmp_path, control=0, entries=0)
        url = f"http://{host}:{port}/"
        return await asyncio.to_thread(cluster.call, "GET", url)

    assert asyncio.run(run()) == (0, b"")


def test_no_control_process_of_a_started_cluster_refuses_connections(tmp_path):
    """Guards against tests that call a process which still starts."""
    cluster = NodeCluster(folder=tmp_path, control=3, entries=0)
    late = cluster.control[0]
    start = late.start

    def start_late():
        start()
        late.send_signal(signal.SIGSTOP)
        resume = threading.Timer(LATE_S, late.send_signal, [signal.SIGCONT])
        resume.start()

    late.start = start_late
    with cluster:
        url = cluster.control_url(late, "/v1/config")
        assert cluster.call("GET", url)[0] != 0


def test_process_that_ends_while_it_starts_is_reported(tmp_path):
    """Guards against a wait that hides why a process has ended."""
    cluster = NodeCluster(folder=tmp_path, control=1, entries=0)
    cluster.control[0].settings["peer_port"] = "none"
    with pytest.raises(HarnessError, match="ended with status 78"), cluster:
        pass
