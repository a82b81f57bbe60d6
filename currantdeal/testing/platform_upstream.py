"""Provide a stand-in upstream that implements the platform's protocol.

It parses requests independently of the product's parser, so that a parser bug
cannot go unnoticed because both sides share it. A test can script any fault.
"""

import asyncio
import json
import re
import socket
import time
import weakref
from dataclasses import dataclass, field, replace

HEALTH_PATH = "/h"
"""Path of health checks in the configuration of the tests."""

EVENTS = 6
"""Number of events in a stream, unless a script sends others."""


@dataclass(frozen=True, kw_only=True)
class ReceivedRequest:
    """A request that the stand-in received."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_s: float = field(default_factory=time.monotonic)

    def get(self, name):
        """Return the value of a header, or an empty string."""
        for key, value in self.headers:
            if key == name.lower():
                return value
        return ""

    @property
    def is_health_check(self):
        """Whether the request is a health check of the system."""
        return self.method == "GET" and self.target == HEALTH_PATH

    @property
    def is_prefill(self):
        """Whether the request prefills a prompt for another engine."""
        return self.get("X-Currantdeal-Stage") == "prefill"

    @property
    def is_generation(self):
        """Whether the request is a generation, which streams events."""
        return bool(self.get("X-Currantdeal-Token-Counts"))

    @property
    def is_system_call(self):
        """Whether the system sent it for itself, such as a reservation."""
        return self.is_health_check or self.target.startswith("/v1/")

    @property
    def is_run(self):
        """Whether the request executes work."""
        return not self.is_system_call and not self.is_prefill

    @property
    def request_id(self):
        """Request id that the sender set."""
        return self.get("X-Currantdeal-Request-Id")


class StandInUpstream:
    """An upstream that listens on the loopback interface.

    Parameters
    ----------
    upstream : str
        Name of the upstream.
    script : callable or None
        Coroutine function that is called with this stand-in, a
        ``ReceivedRequest`` and a ``StreamWriter``. It returns True if it sent
        the response, and False to let the stand-in send its default response.

    Attributes
    ----------
    extra_headers : tuple of str
        Header lines that it adds to its answers, such as a limit.
    """

    def __init__(self, *, upstream="u1", script=None):
        """Create a stand-in that does not listen before ``start``."""
        self.upstream = upstream
        self.script = script
        self.extra_headers = ()
        self.requests = []
        self.open_connections = 0
        self.address = ""
        self.incarnation = 0
        self.is_up = False
        self._reserved = None
        self._server = None

    async def start(self, host="127.0.0.1", port=0):
        """Listen, on a free port unless one is given.

        The port stays reserved while this object lives: it refuses
        connections once stopped, and no other process can listen there.
        """
        address = self._reserve(host, port)
        self._server = await asyncio.start_server(self._serve, *address)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self.incarnation += 1
        self.is_up = True

    def _reserve(self, host, port):
        """Return host and port of a bound socket that does not listen.

        Another socket with the same option can be bound there and listen.
        """
        if self._reserved is None or port not in (
            0,
            self._reserved.getsockname()[1],
        ):
            self._reserved = socket.socket()
            self._reserved.setsockopt(
                socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
            )
            self._reserved.bind((host, port))
            weakref.finalize(self, self._reserved.close)
        return self._reserved.getsockname()

    def stop(self):
        """Stop listening."""
        self.is_up = False
        self._server.close()

    @property
    def runs(self):
        """Requests that execute work.

        Health checks, reservations and prefills are left out.
        """
        return [request for request in self.requests if request.is_run]

    async def _serve(self, reader, writer):
        self.open_connections += 1
        try:
            while (request := await read_request(reader)) is not None:
                self.requests.append(request)
                if self.script and await self.script(self, request, writer):
                    continue
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The test has ended; the server would log this as an error.
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def answer(self, request, writer):
        """Send the response of a healthy upstream."""
        if request.target == "/v1/hold-take":
            self._send_json(request, writer, {"Hold": "hold-1"})
        elif request.target.startswith("/v1/"):
            self._send_json(request, writer, {})
        elif request.is_prefill:
            content = {"KvHandle": "kv-1", "Tokens": 9, "Version": 1}
            self._send_json(request, writer, content)
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
        """Send a complete response with the stand-in's signature."""
        lines = [
            f"HTTP/1.1 {status} Answer",
            *echo_lines(request),
            f"X-Currantdeal-Response-Signature: by-{self.upstream}",
            f"Content-Length: {len(body)}",
            *self.extra_headers,
            *more,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def begin_stream(self, request, writer, *, is_framed=True):
        """Send the response head of an event stream, in chunks if framed."""
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            *echo_lines(request),
            f"X-Currantdeal-Response-Signature: by-{self.upstream}",
            "Transfer-Encoding: chunked" if is_framed else "Connection: close",
            *self.extra_headers,
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def _send_json(self, request, writer, content):
        send_json(request, writer, content, more=self.extra_headers)


def heartbeat(address, service, *, state="ready", sequence=1, born=0, **more):
    """Return the heartbeat message of an upstream.

    Parameters
    ----------
    born : int
        Start time of its process, in seconds after a fixed time.
    more : dict
        Additional fields, such as the stage of an engine.
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


def event_numbers(answer):
    """Return the numbers of the events in the bytes of a stream."""
    lines = answer.decode("latin-1").splitlines()
    found = (re.fullmatch(r"data: piece (\d+)", line) for line in lines)
    return [int(match[1]) for match in found if match]


def send_event(writer, number):
    """Send an event as one HTTP chunk."""
    send_chunk(writer, event_bytes(number))


def event_bytes(number):
    """Return the bytes of an event."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def send_chunk(writer, data):
    """Send bytes as one HTTP chunk."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def echo_lines(request):
    """Return the header line that repeats a request's id, if it has one."""
    if not request.request_id:
        return []
    return [f"X-Currantdeal-Request-Id: {request.request_id}"]


def send_refusal(request, writer, status=503):
    """Send a refusal marked as not executed."""
    lines = [
        f"HTTP/1.1 {status} No",
        *echo_lines(request),
        "X-Currantdeal-Not-Executed: 1",
        "Content-Length: 0",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")


def send_json(request, writer, content, status=200, *, more=()):
    """Send a response with a JSON body and further header lines."""
    body = json.dumps(content).encode()
    lines = [
        f"HTTP/1.1 {status} OK",
        *echo_lines(request),
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        *more,
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def read_request(reader, *, before_body=None):
    """Read the next request; return None at the end of the connection.

    Parameters
    ----------
    before_body : callable or None
        Coroutine function that is called with the request without its body
        before the body is read.
    """
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = []
    while (line := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers.append((name.strip().lower(), value.strip()))
    request = ReceivedRequest(
        method=method, target=target, headers=tuple(headers), body=b""
    )
    length = int(request.get("content-length") or 0)
    if not length:
        return request
    if before_body is not None:
        await before_body(request)
    body = await reader.readexactly(length)
    return replace(request, body=body, received_s=time.monotonic())
