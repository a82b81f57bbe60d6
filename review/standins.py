"""Stand-ins for clients and upstreams, and the record of a case."""

import asyncio
import contextlib
import json
import random
import threading
import time
from dataclasses import dataclass, field

HOST = "shop.example"
ID = "X-Currantdeal-Request-Id"
NOT_EXECUTED = "X-Currantdeal-Not-Executed: 1"
LEAVE_TIMEOUT_S = 1.0


class Record:
    """Lines of what was sent, answered and run, with their times.

    Parameters
    ----------
    path : pathlib.Path
        File that the lines are written to.
    """

    def __init__(self, *, path):
        """Empty the file."""
        self._file = path.open("w")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def add(self, kind, **fields):
        """Add a line."""
        after_s = time.monotonic() - self._began_s
        parts = [f"{after_s:8.3f}", kind]
        parts += [f"{name}={value}" for name, value in fields.items()]
        with self._lock:
            self._file.write(" ".join(parts) + "\n")
            self._file.flush()


@dataclass(kw_only=True)
class Received:
    """A request as an upstream received it; header names in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes
    number: int = field(default=0)

    def get(self, name):
        """Return the value of a header, or an empty string."""
        return self.headers.get(name.lower(), "")

    @property
    def request_id(self):
        """Id of the request."""
        return self.get(ID)


class Upstream:
    """An upstream that listens on loopback and announces itself.

    Subclasses implement ``answer``.

    Parameters
    ----------
    name : str
        Id that it announces.
    service : str
        Service that it belongs to.
    data_center : str
        Where it runs.
    record : Record
        Receives what it does.
    more : dict
        Further fields of its heartbeats.
    """

    def __init__(self, *, name, service, data_center, record, more=None):
        """Create it without a socket."""
        self.name = name
        self.service = service
        self.data_center = data_center
        self.record = record
        self.more = more or {}
        self.state = "ready"
        self.address = ""
        self._sequence = 0
        self._born = int(time.time() * 1_000)
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        """Stop listening and end all connections."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def heartbeat(self):
        """Return the next heartbeat as bytes."""
        self._sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.data_center,
                "Version": "v1",
                "Slots": 6,
                "State": self.state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born,
                **self.more,
            }
        ).encode()

    async def serve_connection(self, reader, writer):
        """Answer one request after the other."""
        while (request := await read_request(reader)) is not None:
            await self.answer(request, writer)
            await writer.drain()

    async def answer(self, request, writer):
        """Answer a request."""
        raise NotImplementedError

    def begin_response(self, request, status, *headers):
        """Return the head of a response that echoes the request's id."""
        lines = [f"HTTP/1.1 {status} Answer"]
        if request.request_id:
            lines.append(f"{ID}: {request.request_id}")
        return "\r\n".join([*lines, *headers]).encode() + b"\r\n\r\n"

    def response(self, request, status, body, *headers):
        """Return a whole response."""
        length = f"Content-Length: {len(body)}"
        return self.begin_response(request, status, length, *headers) + body

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve_connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


async def read_request(reader):
    """Return the next request; None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Received(method=method, target=target, headers=headers, body=body)


async def http_exchange(method, address, target, body=b"", timeout_s=1.0):
    """Send a call on a connection of its own; returns status, or 0."""
    host, _, port = address.rpartition(":")
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {address}\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0
    finally:
        if writer is not None:
            writer.close()


async def announce(upstream, control):
    """Send one heartbeat, to the next control process if one fails."""
    body = upstream.heartbeat()
    for address in random.sample(control, len(control)):
        target = f"/v1/instances/{upstream.name}"
        if await http_exchange("PUT", address, target, body) == 200:
            return True
    return False


async def keep_announcing(upstreams, control, interval_s):
    """Send the heartbeats of all upstreams until cancelled."""
    while True:
        await asyncio.gather(*(announce(u, control) for u in upstreams))
        await asyncio.sleep(interval_s)


@dataclass(kw_only=True)
class Answer:
    """What a client received; status 0 if the channel ended without one."""

    status: int
    headers: dict
    body: bytes
    complete: bool


class Client:
    """A client that keeps one channel for all its requests.

    Parameters
    ----------
    address : str
        The entry that it uses.
    """

    def __init__(self, *, address):
        """Connect with the first request."""
        self.address = address
        self._reader = None
        self._writer = None

    async def send(self, request_id, method, path, headers, body, limit_s):
        """Send a request and return the ``Answer``."""
        try:
            async with asyncio.timeout(limit_s):
                return await self._send(
                    request_id, method, path, headers, body, limit_s
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return Answer(status=0, headers={}, body=b"", complete=False)

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _send(self, request_id, method, path, headers, body, limit_s):
        if self._writer is None:
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"{ID}: {request_id}",
            f"X-Currantdeal-Deadline-Ms: {round(limit_s * 1_000)}",
            *headers,
            f"Content-Length: {len(body)}",
        ]
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        status, found = await self._read_head()
        content, complete = await self._read_body(found)
        if found.get("connection", "").lower() == "close" or not complete:
            self.close()
        return Answer(
            status=status, headers=found, body=content, complete=complete
        )

    async def _read_head(self):
        line = await self._reader.readline()
        if not line:
            raise ConnectionResetError("closed without an answer")
        status = int(line.split()[1])
        headers = {}
        while (line := await self._reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        return status, headers

    async def _read_body(self, headers):
        if "content-length" in headers:
            size = int(headers["content-length"])
            return await self._reader.readexactly(size), True
        body = b""
        with contextlib.suppress(OSError, ValueError, IndexError):
            while size := int((await self._reader.readline()).split()[0], 16):
                body += await self._reader.readexactly(size)
                await self._reader.readline()
            await self._reader.readline()
            return body, True
        return body, False
