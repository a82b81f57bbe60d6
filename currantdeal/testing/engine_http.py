"""Serve the stand-in engine over HTTP.

The protocol is described in ``docs/protocols.md``.
"""

import contextlib
import threading
import time
from dataclasses import asdict, dataclass

import msgspec
import urllib3

from currantdeal.core import FencingNumber, RequestId
from currantdeal.ports import DecodeRequest, ImportRequest, PrefillRequest
from currantdeal.state import EngineOrder
from currantdeal.testing.engine_messages import EngineFaults, Stage
from currantdeal.testing.errors import RefusedError
from currantdeal.testing.http_server import StandInHandler

BLOCK_BYTES = 65_536
FETCH_TIMEOUT_S = 30.0
KV_PATH = "/engine/kv/"


@dataclass(frozen=True, kw_only=True)
class CancelRequest:
    """Release everything that is held for a request."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class OrderRequest:
    """An order with the fencing number of its sender."""

    fence: FencingNumber
    order: EngineOrder


@dataclass(frozen=True, kw_only=True)
class ExportHead:
    """First line of an exported KV cache; zero bytes follow it."""

    prompt: str
    tokens: int


class TransferLink:
    """Transfer link of limited bandwidth that all exports share."""

    def __init__(self, *, bytes_per_s):
        """Create an idle link."""
        self._bytes_per_s = bytes_per_s
        self._idle_from_s = 0.0
        self._lock = threading.Lock()

    def throttle(self, count):
        """Sleep until the link has carried a number of further bytes."""
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._idle_from_s)
            self._idle_from_s = start_s + count / self._bytes_per_s
            wait_s = self._idle_from_s - now_s
        time.sleep(max(0.0, wait_s))


class EngineApp:
    """State that the handlers share: engine, transfer link and HTTP client.

    Parameters
    ----------
    core : EngineCore
        The engine.
    """

    def __init__(self, *, core):
        """Create the link and a client without open connections."""
        self.core = core
        self.link = TransferLink(
            bytes_per_s=core.profile.model.link_bytes_per_s
        )
        self._pool = urllib3.PoolManager(retries=False, maxsize=16)

    def fetch(self, request):
        """Fetch a KV cache from another engine and return its prompt."""
        url = f"http://{request.source_address}{KV_PATH}{request.kv_id}"
        timeout = urllib3.Timeout(connect=2.0, read=FETCH_TIMEOUT_S)
        try:
            response = self._pool.request("GET", url, timeout=timeout)
        except urllib3.exceptions.HTTPError as exc:
            raise RefusedError(502, "transfer-failed", str(exc)) from exc
        if response.status == 410:
            raise RefusedError(410, "kv-expired")
        if response.status != 200:
            raise RefusedError(502, "transfer-failed", str(response.status))
        head, _, _ = response.data.partition(b"\n")
        return msgspec.json.decode(head, type=ExportHead).prompt


class EngineHandler(StandInHandler):
    """Handler of one connection to the engine."""

    @property
    def _core(self):
        return self.app.core

    @property
    def _faults(self):
        return self._core.fault_injector.faults

    def do_GET(self):  # noqa: N802
        """Handle reads and exports."""
        if self.path == "/control/journal":
            self.send_json({"events": self._core.journal.events})
        elif self.path == "/control":
            self.send_json(self._faults)
        elif not self._peer_closed_while_silent():
            self._run_handler(self._get)

    def do_POST(self):  # noqa: N802
        """Handle engine calls and fault settings."""
        if self.path == "/control":
            self._run_handler(self._control)
        elif not self._peer_closed_while_silent():
            self._run_handler(self._post)

    def _peer_closed_while_silent(self):
        return not self.block_while(lambda: self._faults.lie_silent)

    def _run_handler(self, handler):
        try:
            handler()
        except RefusedError as exc:
            self.send_refusal(exc)
        except OSError:
            # The caller disconnected. The instances cancel what it left.
            self.close_connection = True

    def _get(self):
        if self.path == "/engine/held":
            self.send_json({"held": self._core.held()})
        elif self.path.startswith(KV_PATH):
            self._export(self.path.removeprefix(KV_PATH))
        else:
            raise RefusedError(404, "unknown-path")

    def _post(self):
        handler = _POSTS.get(self.path)
        if handler is None:
            raise RefusedError(404, "unknown-path")
        handler(self)

    def _control(self):
        changes = self.read_json(dict)
        merged = asdict(self._faults) | changes
        try:
            faults = msgspec.convert(merged, EngineFaults)
        except msgspec.ValidationError as exc:
            raise RefusedError(400, "bad-request", str(exc)) from exc
        self._core.fault_injector.set(faults)
        self.send_json(faults)

    def _prefill(self):
        request = self.read_json(PrefillRequest)
        self.send_json(self._core.prefill(request))

    def _import(self):
        request = self.read_json(ImportRequest)
        running = self._core.reserve(request)
        try:
            prompt = self.app.fetch(request)
            self._core.decode_batch.finish_import(running, prompt)
        except RefusedError:
            self._core.decode_batch.abort_import(running)
            raise
        self.send_json({})

    def _cancel(self):
        self._core.cancel(self.read_json(CancelRequest).request_id)
        self.send_json({})

    def _order(self):
        request = self.read_json(OrderRequest)
        self._core.order(request.fence, request.order)
        self.send_json({})

    def _export(self, kv_id):
        result = self._core.prefill_pool.start_export(kv_id)
        sent = False
        try:
            sent = self._send_kv(result)
        finally:
            self._core.prefill_pool.end_export(result, sent=sent)

    def _send_kv(self, result):
        head = ExportHead(prompt=result.prompt, tokens=result.tokens)
        line = msgspec.json.encode(head) + b"\n"
        size = self._core.profile.model.kv_bytes(result.tokens)
        self.send_response(200)
        self.send_header("Content-Type", "application/octet-stream")
        self.send_header("Content-Length", str(len(line) + size))
        self.end_headers()
        self.wfile.write(line)
        return self._send_blocks(result, size)

    def _send_blocks(self, result, size):
        left = size
        while left > 0:
            if left <= size // 2 and self._faults.stall_transfer:
                self.block_while(lambda: self._is_stalled(result))
            if not self._core.prefill_pool.is_exporting(result.kv_id):
                self.close_connection = True
                return False
            count = min(left, BLOCK_BYTES)
            self.app.link.throttle(count)
            self._core.fault_injector.crash_if_set(Stage.EXPORT)
            self.wfile.write(bytes(count))
            left -= count
        return True

    def _is_stalled(self, result):
        exporting = self._core.prefill_pool.is_exporting(result.kv_id)
        return exporting and self._faults.stall_transfer

    def _decode(self):
        request = self.read_json(DecodeRequest)
        running = self._core.decode_batch.start_decode(request)
        silence_count = self._faults.silence_open_streams
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        with contextlib.suppress(RefusedError):
            self._send_chunks(running, request.offset, silence_count)
            self.wfile.write(b"0\r\n\r\n")
            return
        self.close_connection = True

    def _send_chunks(self, running, offset, silence_count):
        finished = False
        while not finished:
            if not self.block_while(lambda: self._is_silenced(silence_count)):
                raise RefusedError(499, "gone")
            chunk = self._core.decode_batch.next_chunk(running, offset)
            if chunk is not None:
                self._send_chunk(chunk)
                finished = bool(chunk.finish_reason)
                offset += 1
            elif self.peer_closed():
                raise RefusedError(499, "gone")

    def _is_silenced(self, silence_count):
        faults = self._faults
        silenced_since_open = faults.silence_open_streams > silence_count
        return (
            silenced_since_open
            or faults.silence_all_streams
            or faults.lie_silent
        )

    def _send_chunk(self, chunk):
        event = b"data: " + msgspec.json.encode(chunk) + b"\n\n"
        self.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))


_POSTS = {
    "/engine/prefill": EngineHandler._prefill,
    "/engine/import": EngineHandler._import,
    "/engine/decode": EngineHandler._decode,
    "/engine/cancel": EngineHandler._cancel,
    "/engine/orders": EngineHandler._order,
}
