"""Model engines over HTTP; implements ``ports.EnginePort``.

The dialect is described in ``docs/protocols.md``.
"""

import msgspec
from urllib3.exceptions import HTTPError

from currantdeal.adapters.connections import (
    Connections,
    HttpRequest,
    lost_run,
)
from currantdeal.core import (
    KvExpiredError,
    Ran,
    StaleFenceError,
    UpstreamRefusedError,
)
from currantdeal.ports import HeldMemory, OutputChunk, PrefillResult

CONTROL_TIMEOUT_S = 1.0
"""Longest wait for a short control call, such as a cancel."""

CANCELLED_REASON = "cancelled"

_READ_BYTES = 65_536
_EVENT_START = b"data: "
_EVENT_END = b"\n\n"
_JSON_HEADERS = (("Content-Type", "application/json"),)
_CHUNKS = msgspec.json.Decoder(OutputChunk)
_PREFILLS = msgspec.json.Decoder(PrefillResult)


class _Refusal(msgspec.Struct):
    error: str = ""
    message: str = ""


class _Held(msgspec.Struct):
    held: tuple[HeldMemory, ...] = ()


class HttpEngines:
    """Client of model engines.

    Parameters
    ----------
    connections : Connections
        Shared by all clients of upstreams.
    """

    def __init__(self, *, connections=None):
        """Keep the connections."""
        self._connections = connections or Connections()

    def prefill(self, upstream, request, *, timeout_s):
        """Compute and keep the KV cache of a prompt."""
        body = self._post(
            upstream, "prefill", request, timeout_s=timeout_s, fresh=True
        )
        return _decode(_PREFILLS, body)

    def import_kv(self, upstream, request, *, timeout_s):
        """Fetch a KV cache into the decode engine's memory."""
        self._post(
            upstream, "import", request, timeout_s=timeout_s, fresh=True
        )

    def decode(self, upstream, request, *, silence_s):
        """Yield output tokens in order, then the end."""
        response = self._connections.open(
            _post_of(upstream, "decode", request),
            timeout_s=silence_s,
            fresh=True,
        )
        try:
            if response.status != 200:
                body = _read_all(response, upstream.address)
                raise _refusal(response.status, body)
            yield from _chunks(response, upstream.address)
        finally:
            response.close()

    def cancel(self, upstream, request_id):
        """Free all memory held for a request."""
        self._post(
            upstream,
            "cancel",
            {"request_id": request_id},
            timeout_s=CONTROL_TIMEOUT_S,
        )

    def held(self, upstream):
        """Return what the engine holds."""
        request = HttpRequest(
            address=upstream.address, method="GET", path="/engine/held"
        )
        response = self._connections.fetch(
            request, timeout_s=CONTROL_TIMEOUT_S
        )
        if response.status != 200:
            raise _refusal(response.status, response.body)
        return _decode(msgspec.json.Decoder(_Held), response.body).held

    def order(self, upstream, order, fence):
        """Order the engine to load, unload or change its roles."""
        self._post(
            upstream,
            "orders",
            {"fence": fence, "order": order},
            timeout_s=CONTROL_TIMEOUT_S,
            fresh=True,
        )

    def _post(self, upstream, name, message, *, timeout_s, fresh=False):
        response = self._connections.fetch(
            _post_of(upstream, name, message), timeout_s=timeout_s, fresh=fresh
        )
        if response.status != 200:
            raise _refusal(response.status, response.body)
        return response.body


def _post_of(upstream, name, message):
    return HttpRequest(
        address=upstream.address,
        method="POST",
        path=f"/engine/{name}",
        headers=_JSON_HEADERS,
        body=msgspec.json.encode(message),
    )


def _chunks(response, address):
    # The shortest path there is for each token: one read brings whatever
    # events have arrived, and each is decoded straight into its message.
    rest = b""
    for data in _reads(response, address):
        *events, rest = (rest + data).split(_EVENT_END)
        for event in events:
            if not event.startswith(_EVENT_START):
                continue
            chunk = _decode(_CHUNKS, event[len(_EVENT_START) :])
            if chunk.finish_reason == CANCELLED_REASON:
                raise UpstreamRefusedError("cancelled", ran=Ran.YES)
            yield chunk
            if chunk.finish_reason:
                return
    raise lost_run(address, "the stream broke off")


def _reads(response, address):
    """Yield what arrives, as it arrives."""
    try:
        if response.chunked:
            # Fewer layers for each read than ``read1`` goes through.
            yield from response.read_chunked(decode_content=False)
            return
        while data := response.read1(_READ_BYTES):
            yield data
    except (HTTPError, OSError) as exc:
        raise lost_run(address, exc) from exc


def _read_all(response, address):
    try:
        return response.read()
    except (HTTPError, OSError) as exc:
        raise lost_run(address, exc) from exc


def _decode(decoder, raw):
    try:
        return decoder.decode(raw)
    except msgspec.MsgspecError as exc:
        raise UpstreamRefusedError(
            f"not an answer of an engine: {exc}", ran=Ran.MAYBE
        ) from exc


def _refusal(status, body):
    try:
        told = msgspec.json.decode(body, type=_Refusal)
    except msgspec.MsgspecError:
        told = _Refusal(message=f"status {status}")
    message = f"{told.error}: {told.message}"
    if told.error == "stale-fence":
        return StaleFenceError(message, ran=Ran.NO)
    if told.error == "kv-expired":
        return KvExpiredError(message, ran=Ran.NO)
    ran = Ran.NO if 400 <= status < 500 and told.error else Ran.MAYBE
    return UpstreamRefusedError(message, ran=ran)
