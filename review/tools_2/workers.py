"""Stand-ins for workers: a plain service, and engines for generations."""

import asyncio
import contextlib
import itertools
import json
import secrets
import time

from deployment import HEARTBEAT_MS
from wire import call, encode, read_body, read_head

EVENT_S = 0.05
"""Time between two events of a stream."""

FIRST_EVENT_S = 0.06
"""Time from the start of a run to its first event."""


class Worker:
    """A worker that announces itself and serves requests.

    Parameters
    ----------
    deployment : Deployment
        Whose control processes it calls.
    record : Record
        Records what it ran.
    service : str
        Service that it belongs to.
    number : int
        Distinguishes its address from those of the others.
    stage : str
        ``prefill`` or ``decode`` for an engine, empty for a plain worker.
    slots : int
        Number of requests that it runs at a time.
    script : callable or None
        Coroutine function of this worker, a request and a writer, called in
        place of a run; returns how the run ended, for the record, or an
        empty string to have it run as usual.
    """

    def __init__(
        self,
        *,
        deployment,
        record,
        service,
        number,
        data_center,
        stage="",
        slots=48,
        script=None,
    ):
        """Start nothing before ``start``."""
        self.name = f"i-{secrets.token_hex(5)}"
        self.stage = stage
        self.script = script
        self.runs = 0
        self._deployment = deployment
        self._record = record
        self._service = service
        self._host = f"{deployment.prefix}.{150 + number}"
        self._data_center = data_center
        self._slots = slots
        self._running = 0
        self._sequence = itertools.count(1)
        self._born = int(time.time() * 1000)
        self._server = None
        self._beats = None
        self._writers = set()
        self.address = ""

    async def start(self):
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(
            self._serve, self._host, 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        self._beats = asyncio.ensure_future(self._send_beats())

    def stop(self):
        """Stop listening and close all channels."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def beat(self, state="ready"):
        """Send one liveness report; returns whether it was acknowledged."""
        beat = {
            "Service": self._service,
            "Address": self.address,
            "Zone": self._data_center,
            "Version": "v1",
            "Slots": self._slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": next(self._sequence),
            "born": self._born,
        }
        if self.stage:
            beat["Stage"] = self.stage
            beat["Models"] = [{"Name": "m", "Version": 1, "Adapters": []}]
        body = json.dumps(beat).encode()
        for address in self._deployment.control_addresses:
            answer = await call(
                address, "PUT", f"/v1/instances/{self.name}", body=body
            )
            if answer is not None and answer.status == 200:
                return True
        return False

    async def _send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, EOFError, ValueError):
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                await self._answer(request, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, request, writer):
        expected = request.get("x-currantdeal-expected-instance")
        path = request.start[1]
        if expected not in ("", self.name):
            self._send(request, writer, 421, not_executed=True)
        elif path == "/healthz":
            self._send(request, writer, 200)
        elif path == "/v1/hold-take":
            self._send_json(request, writer, {"Hold": secrets.token_hex(8)})
        elif path.startswith("/v1/"):
            self._send_json(request, writer, {})
        elif request.get("x-currantdeal-stage") == "prefill":
            await self._prefill(request, writer)
        elif self.stage == "prefill":
            self._send(request, writer, 421, not_executed=True)
        elif self._running >= self._slots:
            self._send(request, writer, 503, not_executed=True)
        else:
            await self._run(request, writer)

    async def _prefill(self, request, writer):
        await asyncio.sleep(0.03)
        handle = {
            "KvHandle": secrets.token_hex(6),
            "Tokens": 3000,
            "Version": 1,
        }
        self._send_json(request, writer, handle)

    async def _run(self, request, writer):
        self.runs += 1
        self._running += 1
        name = request.get("x-currantdeal-request-id")
        self._record.add("run began", request=name, worker=self.name)
        ended = "cut"
        try:
            if self.script:
                how = await self.script(self, request, writer)
                if how:
                    ended = how
                    return
            if self.stage:
                await self._stream(request, writer)
            else:
                await asyncio.sleep(0.06)
                self._send(request, writer, 200, b"done " + name.encode())
            ended = "whole"
        finally:
            self._running -= 1
            self._record.add(
                "run ended", request=name, worker=self.name, how=ended
            )

    async def _stream(self, request, writer, events=12):
        await asyncio.sleep(FIRST_EVENT_S)
        head = [
            *self._headers(request),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
            ("X-Currantdeal-Response-Signature", f"by-{self.name}"),
        ]
        writer.write(encode("HTTP/1.1 200 OK", head))
        last = int(request.get("last-event-id") or 0)
        for number in range(last + 1, events + 1):
            data = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    def _headers(self, request):
        name = request.get("x-currantdeal-request-id")
        load = f"{self._running},0,{self._slots}"
        headers = [
            ("X-Currantdeal-Instance-Id", self.name),
            ("X-Currantdeal-Instance-Load", load),
        ]
        if name:
            headers.append(("X-Currantdeal-Request-Id", name))
        return headers

    def _send(self, request, writer, status, body=b"", *, not_executed=False):
        headers = [*self._headers(request), ("Content-Length", len(body))]
        if not_executed:
            headers.append(("X-Currantdeal-Not-Executed", "1"))
        else:
            signature = ("X-Currantdeal-Response-Signature", f"by-{self.name}")
            headers.append(signature)
        writer.write(encode(f"HTTP/1.1 {status} Answer", headers, body))

    def _send_json(self, request, writer, content):
        body = json.dumps(content).encode()
        headers = [
            *self._headers(request),
            ("Content-Type", "application/json"),
            ("Content-Length", len(body)),
        ]
        writer.write(encode("HTTP/1.1 200 OK", headers, body))
