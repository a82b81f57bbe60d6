"""Emulates an engine of negligible cost that emits chunks at a fixed pace.

It implements the engine protocol of ``docs/protocols.md`` in one thread, so
that a measurement of many streams shows the instance's cost and not the
engine's.

Run ``python -m benchmarks.chunk_source --help`` for its options.
"""

import asyncio
import json
import sys

import click

KEEP_ALIVE_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
PREFILL = (
    b'{"kv_id": "k", "prompt_tokens": 4, "cached_tokens": 0,'
    b' "expires_in_s": 0.6}'
)


class ChunkSource:
    """Serves the connections of an instance.

    Parameters
    ----------
    gap_s : float
        Time between the chunks of a stream, in seconds.
    """

    def __init__(self, *, gap_s):
        """Set the pace; ``serve`` handles the connections."""
        self._gap_s = gap_s

    async def serve(self, reader, writer):
        """Serve one connection until it is closed."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split()[1].decode()
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        body = await reader.readexactly(length)
        if path == "/engine/decode":
            await self._stream(json.loads(body), writer)
            return False
        reply = PREFILL if path == "/engine/prefill" else b"{}"
        writer.write(KEEP_ALIVE_REPLY % (len(reply), reply))
        return True

    async def _stream(self, request, writer):
        writer.write(STREAM_HEAD)
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        total = request["max_tokens"]
        for offset in range(request["offset"], total):
            _send(writer, b'{"offset":%d,"text":"abc123 "}' % offset)
            due_s += self._gap_s
            await asyncio.sleep(due_s - loop.time())
        _send(writer, b'{"offset":%d,"finish_reason":"length"}' % total)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _send(writer, message):
    event = b"data: " + message + b"\n\n"
    writer.write(b"%x\r\n%b\r\n" % (len(event), event))


@click.command()
@click.option("--gap-ms", default=37.0)
def main(gap_ms):
    """Serve chunks; print the address as the first line of output."""
    asyncio.run(_main(gap_ms / 1000.0))


async def _main(gap_s):
    source = ChunkSource(gap_s=gap_s)
    server = await asyncio.start_server(source.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    sys.stdout.write(json.dumps({"address": f"{host}:{port}"}) + "\n")
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == "__main__":
    main()
