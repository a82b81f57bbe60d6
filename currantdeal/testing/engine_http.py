"""HTTP interface of the stand-in engine, as ``docs/protocols.md`` has it."""

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

BLOCK = 65_536
FETCH_TIMEOUT_S = 30.0
KV_PATH = "/engine/kv/"


@dataclass(frozen=True, kw_only=True)
class CancelRequest:
    """Free what is held for a request."""

    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class OrderRequest:
    """An order with the fencing number of who gives it."""

    fence: FencingNumber
    order: EngineOrder


@dataclass(frozen=True, kw_only=True)
class ExportHead:
    """First line of an exported KV cache; zeros follow."""

    prompt: str
    tokens: int


class Link:
    """Transfer link of limited rate, shared by all exports."""

    def __init__(self, *, bytes_per_s):
        """Start idle."""
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self._lock = threading.Lock()

    def carry(self, count):
        """Return once some more bytes may be sent."""
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._free_s)
            self._free_s = start_s + count / self._bytes_per_s
            wait_s = self._free_s - now_s
        time.sleep(max(0.0, wait_s))


class EngineApp:
    """What the handlers share: the engine, its link and its client.

    Parameters
    ----------
    core : EngineCore
        The engine.
    """

    def __init__(self, *, core):
        """Open no connection yet."""
        self.core = core
        self.link = Link(bytes_per_s=core.profile.model.link_bytes_per_s)
        self._pool = urllib3.PoolManager(retries=False, maxsize=16)

    def fetch(self, request):
        """Return the prompt whose KV cache another engine exports."""
        url = f"http://{request.source_address}{KV_PATH}{request.kv_id}"
        timeout = urllib3.Timeout(connect=2.0, read=FETCH_TIMEOUT_S)
        try:
            answer = self._pool.request("GET", url, timeout=timeout)
        except urllib3.exceptions.HTTPError as exc:
            raise RefusedError(502, "transfer-failed", str(exc)) from exc
        if answer.status == 410:
            raise RefusedError(410, "kv-expired")
        if answer.status != 200:
            raise RefusedError(502, "transfer-failed", str(answer.status))
        head, _, _ = answer.data.partition(b"\n")
        return msgspec.json.decode(head, type=ExportHead).prompt


class EngineHandler(StandInHandler):
    """One connection to the engine."""

    @property
    def _core(self):
        return self.app.core

    @property
    def _faults(self):
        return self._core.switch.faults

    def do_GET(self):  # noqa: N802
        """Answer reads."""
        if self.path == "/control/journal":
            self.send_json({"events": self._core.journal.events})
        elif self.path == "/control":
            self.send_json(self._faults)
        elif not self._holds_still():
            self._answer(self._get)

    def do_POST(self):  # noqa: N802
        """Answer calls."""
        if self.path == "/control":
            self._answer(self._control)
        elif not self._holds_still():
            self._answer(self._post)

    def _holds_still(self):
        return not self.hold_while(lambda: self._faults.lie_silent)

    def _answer(self, work):
        try:
            work()
        except RefusedError as exc:
            self.send_refusal(exc)
        except OSError:
            # The caller went away; what it left is cancelled by others.
            self.close_connection = True

    def _get(self):
        if self.path == "/engine/held":
            self.send_json({"held": self._core.held()})
        elif self.path.startswith(KV_PATH):
            self._export(self.path.removeprefix(KV_PATH))
        else:
            raise RefusedError(404, "unknown-path")

    def _post(self):
        work = _POSTS.get(self.path)
        if work is None:
            raise RefusedError(404, "unknown-path")
        work(self)

    def _control(self):
        changes = self.read_json(dict)
        merged = asdict(self._faults) | changes
        try:
            faults = msgspec.convert(merged, EngineFaults)
        except msgspec.ValidationError as exc:
            raise RefusedError(400, "bad-request", str(exc)) from exc
        self._core.switch.set(faults)
        self.send_json(faults)

    def _prefill(self):
        request = self.read_json(PrefillRequest)
        self.send_json(self._core.prefill(request))

    def _import(self):
        request = self.read_json(ImportRequest)
        running = self._core.reserve(request)
        try:
            prompt = self.app.fetch(request)
            self._core.decodes.admit(running, prompt)
        except RefusedError:
            self._core.decodes.abort(running)
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
        result = self._core.prefills.take(kv_id)
        sent = False
        try:
            sent = self._send_kv(result)
        finally:
            self._core.prefills.end_export(result, sent=sent)

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
                self.hold_while(lambda: self._stalls(result))
            if not self._core.prefills.is_exporting(result.kv_id):
                self.close_connection = True
                return False
            count = min(left, BLOCK)
            self.app.link.carry(count)
            self._core.switch.maybe_die(Stage.EXPORT)
            self.wfile.write(bytes(count))
            left -= count
        return True

    def _stalls(self, result):
        exporting = self._core.prefills.is_exporting(result.kv_id)
        return exporting and self._faults.stall_transfer

    def _decode(self):
        request = self.read_json(DecodeRequest)
        running = self._core.decodes.begin(request)
        opened = self._faults.silence_open_streams
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        with contextlib.suppress(RefusedError):
            self._send_chunks(running, request.offset, opened)
            self.wfile.write(b"0\r\n\r\n")
            return
        self.close_connection = True

    def _send_chunks(self, running, offset, opened):
        finished = False
        while not finished:
            if not self.hold_while(lambda: self._silenced(opened)):
                raise RefusedError(499, "gone")
            chunk = self._core.decodes.next_chunk(running, offset)
            if chunk is not None:
                self._send_chunk(chunk)
                finished = bool(chunk.finish_reason)
                offset += 1
            elif self.peer_left():
                raise RefusedError(499, "gone")

    def _silenced(self, opened):
        faults = self._faults
        later = faults.silence_open_streams > opened
        return later or faults.silence_all_streams or faults.lie_silent

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
