"""HTTP client of model engines; implements ``ports.EnginePort``.

The protocol is described in ``docs/protocols.md``.
"""

import msgspec

from currantdeal.adapters.answer_bounds import (
    MAX_BYTES_BETWEEN_EVENTS,
    MAX_EVENT_BYTES,
)
from currantdeal.adapters.connections import (
    Connections,
    HttpRequest,
    connection_lost_error,
)
from currantdeal.core import (
    DECODE_ERRORS,
    KvExpiredError,
    Ran,
    StaleFenceError,
    UpstreamRefusedError,
)
from currantdeal.ports import HeldMemory, OutputChunk, PrefillResult

CONTROL_TIMEOUT_S = 1.0
"""Timeout of a short control call, such as a cancel."""

CANCELLED_REASON = "cancelled"

_EVENT_START = b"data: "
_EVENT_END = b"\n\n"
_JSON_HEADERS = (("Content-Type", "application/json"),)
_CHUNKS = msgspec.json.Decoder(OutputChunk)
_PREFILLS = msgspec.json.Decoder(PrefillResult)


class _Refusal(msgspec.Struct):
    error: str = ""
    message: str = ""


class _HeldAnswer(msgspec.Struct):
    held: tuple[HeldMemory, ...] = ()


class HttpEngines:
    """Client of model engines.

    Parameters
    ----------
    connections : Connections
        Shared by all clients of upstreams.
    """

    def __init__(self, *, connections=None):
        """Store the connections, or create some if none are given."""
        self._connections = connections or Connections()

    def prefill(self, upstream, request, *, timeout_s):
        """Let the engine compute and keep the KV cache of a prompt."""
        body = self._post(upstream, "prefill", request, timeout_s=timeout_s)
        return _decode(_PREFILLS, body)

    def import_kv(self, upstream, request, *, timeout_s):
        """Let the decode engine fetch a KV cache into its memory."""
        self._post(upstream, "import", request, timeout_s=timeout_s)

    def decode(self, upstream, request, *, silence_s):
        """Yield the output chunks in order; the last has a finish reason."""
        response = self._connections.open(
            _post_of(upstream, "decode", request), timeout_s=silence_s
        )
        try:
            if response.status != 200:
                body = self._connections.read(response)
                raise _refusal(response.status, body)
            yield from _output_chunks(response, upstream.address)
        finally:
            response.close()

    def cancel(self, upstream, request_id):
        """Cancel a request and free all memory held for it."""
        self._post(
            upstream,
            "cancel",
            {"request_id": request_id},
            timeout_s=CONTROL_TIMEOUT_S,
        )

    def held(self, upstream):
        """Return the memory that the engine holds for requests."""
        request = HttpRequest(
            address=upstream.address, method="GET", path="/engine/held"
        )
        response = self._connections.fetch(
            request, timeout_s=CONTROL_TIMEOUT_S
        )
        if response.status != 200:
            raise _refusal(response.status, response.body)
        return _decode(msgspec.json.Decoder(_HeldAnswer), response.body).held

    def order(self, upstream, order, fence):
        """Order the engine to load, unload or change its roles."""
        self._post(
            upstream,
            "orders",
            {"fence": fence, "order": order},
            timeout_s=CONTROL_TIMEOUT_S,
        )

    def _post(self, upstream, name, message, *, timeout_s):
        response = self._connections.fetch(
            _post_of(upstream, name, message), timeout_s=timeout_s
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


def _output_chunks(response, address):
    # Hot path, run for each token: one read returns all events that have
    # arrived, and each is decoded directly into its message.
    rest = b""
    for data in response.parts():
        *events, rest = (rest + data).split(_EVENT_END)
        for event in events:
            if not event.startswith(_EVENT_START):
                continue
            chunk = _decode(_CHUNKS, event[len(_EVENT_START) :])
            if chunk.finish_reason == CANCELLED_REASON:
                raise UpstreamRefusedError("cancelled", ran=Ran.YES)
            response.allow(MAX_BYTES_BETWEEN_EVENTS)
            yield chunk
            if chunk.finish_reason:
                return
        if len(rest) > MAX_EVENT_BYTES:
            raise UpstreamRefusedError("an event does not end", ran=Ran.MAYBE)
    raise connection_lost_error(
        address, "the stream ended before its last event"
    )


def _decode(decoder, raw):
    try:
        return decoder.decode(raw)
    except DECODE_ERRORS as exc:
        raise UpstreamRefusedError(
            f"invalid answer of the engine: {exc}", ran=Ran.MAYBE
        ) from exc


def _refusal(status, body):
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except DECODE_ERRORS:
        refusal = _Refusal(message=f"status {status}")
    message = f"{refusal.error}: {refusal.message}"
    if refusal.error == "stale-fence":
        return StaleFenceError(message, ran=Ran.NO)
    if refusal.error == "kv-expired":
        return KvExpiredError(message, ran=Ran.NO)
    ran = Ran.NO if 400 <= status < 500 and refusal.error else Ran.MAYBE
    return UpstreamRefusedError(message, ran=ran)
