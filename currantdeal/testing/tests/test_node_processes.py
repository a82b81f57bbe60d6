import asyncio

from currantdeal.testing.node_processes import NodeCluster


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
