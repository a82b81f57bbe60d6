"""Stand-in for an upstream that speaks the platform's dialect.

It reads requests with a parser of its own, so that a mistake in the
product's parser does not hide in both, and it can misbehave in every way
that a test scripts.
"""

import asyncio
import json
from dataclasses import dataclass

EVENTS = 6
"""Events of a stream unless a test says otherwise."""


@dataclass(frozen=True, kw_only=True)
class SeenRequest:
    """A request as it reached the stand-in."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def get(self, name):
        """Return a header's value, or an empty text."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return ""

    @property
    def is_prefill(self):
        """Whether the prompt is to be prefilled for another engine."""
        return self.get("X-Currantdeal-Stage") == "prefill"

    @property
    def is_generation(self):
        """Whether it asks for a stream of events."""
        return bool(self.get("X-Currantdeal-Token-Counts"))

    @property
    def request_id(self):
        """The caller's id of the attempt."""
        return self.get("X-Currantdeal-Request-Id")


class StandInUpstream:
    """One upstream on loopback.

    Parameters
    ----------
    upstream : str
        Its name.
    script : callable or None
        Coroutine function of this stand-in, a ``SeenRequest`` and a
        ``StreamWriter``; returns True when it has answered, and False to
        have the stand-in answer as usual.
    """

    def __init__(self, *, upstream="u1", script=None):
        """Listen nowhere before ``start``."""
        self.upstream = upstream
        self.script = script
        self.seen = []
        self.open_connections = 0
        self.address = ""
        self.incarnation = 0
        self.is_up = False
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen, at a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port)
        found = self._server.sockets[0].getsockname()
        self.address = f"{found[0]}:{found[1]}"
        self.incarnation += 1
        self.is_up = True

    def stop(self):
        """Listen no more."""
        self.is_up = False
        self._server.close()

    @property
    def runs(self):
        """Requests that it would have run: no reservations, no prefills."""
        return [
            request
            for request in self.seen
            if not request.target.startswith("/v1/") and not request.is_prefill
        ]

    async def _serve(self, reader, writer):
        self.open_connections += 1
        try:
            while (request := await read_request(reader)) is not None:
                self.seen.append(request)
                if self.script and await self.script(self, request, writer):
                    continue
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The test is over; the server would report it as an error.
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def answer(self, request, writer):
        """Answer as a sound upstream does."""
        if request.target == "/v1/hold-take":
            send_json(writer, {"Hold": "hold-1"})
        elif request.target.startswith("/v1/"):
            send_json(writer, {})
        elif request.is_prefill:
            send_json(writer, {"KvHandle": "kv-1", "Tokens": 9, "Version": 1})
        elif request.is_generation:
            self.begin_stream(request, writer)
            last = request.get("Last-Event-Id")
            for number in range(int(last or 0) + 1, EVENTS + 1):
                send_event(writer, number)
            writer.write(b"0\r\n\r\n")
        else:
            self.send(request, writer, 200, b"ok")
        await writer.drain()

    def send(self, request, writer, status, body, *more):
        """Send a whole answer with the stand-in's signature."""
        lines = [
            f"HTTP/1.1 {status} Answer",
            f"X-Currantdeal-Request-Id: {request.request_id}",
            f"X-Currantdeal-Response-Signature: by-{self.upstream}",
            f"Content-Length: {len(body)}",
            *more,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def begin_stream(self, request, writer):
        """Send the head of a stream of events."""
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Currantdeal-Request-Id: {request.request_id}",
            f"X-Currantdeal-Response-Signature: by-{self.upstream}",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


def heartbeat(address, service, *, state="ready", sequence=1, born=0, **more):
    """Return what an upstream says of itself.

    Parameters
    ----------
    born : int
        Start of its process, in seconds after a fixed time.
    more : dict
        Further fields, such as the stage of an engine.
    """
    return {
        "Service": service,
        "Address": address,
        "Zone": "dc1",
        "Version": "v1",
        "Slots": 8,
        "State": state,
        "ColdRemainingMs": 0,
        "Sequence": sequence,
        "born": 1_700_000_000_000 + 1_000 * born,
        **more,
    }


def pieces(answer):
    """Return the numbers of the events that the bytes of a stream hold."""
    return [
        int(line.split()[-1])
        for line in answer.decode("latin-1").splitlines()
        if line.startswith("data: piece")
    ]


def send_event(writer, number):
    """Send one event as a chunk."""
    send_chunk(writer, f"id: {number}\ndata: piece {number}\n\n".encode())


def send_chunk(writer, data):
    """Send bytes as a chunk."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def refuse(writer, status=503):
    """Send a refusal that says that nothing ran."""
    writer.write(
        f"HTTP/1.1 {status} No\r\nX-Currantdeal-Not-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )


def send_json(writer, content, status=200):
    """Send a JSON answer."""
    body = json.dumps(content).encode()
    writer.write(
        f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


async def read_request(reader):
    """Return the next request, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = []
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name.strip().lower(), value.strip()))
    length = int(dict(headers).get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return SeenRequest(
        method=method, target=target, headers=tuple(headers), body=body
    )
