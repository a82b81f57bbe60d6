"""Requests to upstreams of the platform, and their answers.

Implements ``currantdeal.node.dialect.UpstreamDialect``.
"""

import math

import msgspec

from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    CallerRequest,
    ReplyTraits,
    UpstreamLoad,
)
from currantdeal.node.head import Outgoing, end_to_end, find_header
from currantdeal.platform import headers as names
from currantdeal.platform.decoding import decode_json, read_whole

_MS = 1_000.0
_JSON = (b"content-type", b"application/json")


class _HoldReply(msgspec.Struct):
    Hold: str


class _PrefillReply(msgspec.Struct):
    KvHandle: str


class PlatformCalls:
    """The dialect of the platform's upstreams."""

    def read_caller(self, head):
        """Decode the headers of a caller.

        Raises
        ------
        DialectError
            If the deadline is not a number from 0.
        """
        prompt, most = _token_counts(_text(head, names.TOKEN_COUNTS))
        return CallerRequest(
            request_id=_text(head, names.REQUEST_ID),
            patience_s=_seconds(_text(head, names.DEADLINE)),
            prompt_tokens=prompt,
            max_output_tokens=most,
            expected_output_tokens=_tokens(_text(head, names.LENGTH_HINT)),
            resume_after=_text(head, names.LAST_EVENT_ID),
            caller=_text(head, names.AUTHORIZATION),
        )

    def outgoing(self, head, body, directions):
        """Encode a caller's request for one upstream."""
        kept = end_to_end(head.headers, without=names.SYSTEM_HEADERS)
        framed = [h for h in kept if h[0] != b"content-length"]
        if body or find_header(kept, "content-length") is not None:
            framed.append((b"content-length", _number(len(body))))
        elif find_header(head.headers, "transfer-encoding") is not None:
            framed.append((b"content-length", b"0"))
        return Outgoing(
            method=head.method,
            target=head.target,
            headers=(*framed, *_direction_headers(directions)),
            body=body,
        )

    def read_reply(self, head):
        """Decode the head of an upstream's answer."""
        return ReplyTraits(
            not_run=_has(head, names.NOT_EXECUTED) or head.status == 421,
            genuine=_has(head, names.SIGNATURE)
            and not _has(head, b"content-encoding"),
            request_id=_text(head, names.REQUEST_ID),
            load=_load(_text(head, names.LOAD)),
            answered_by=_text(head, names.INSTANCE),
        )

    def reply_headers(self, head):
        """Return the headers that the caller gets, without a length."""
        return end_to_end(head.headers, without={b"content-length"})

    def check_health(self, address, path):
        """Encode a health check."""
        return _bare_call("GET", path, address)

    def reserve(self, address, *, tokens, hold_s, upstream):
        """Encode a reservation of memory."""
        body = {"Tokens": tokens, "ttl_ms": round(hold_s * _MS)}
        return _json_call("POST", "/v1/hold-take", address, body, upstream)

    def read_reservation(self, body):
        """Decode the answer to a reservation."""
        return decode_json(body, _HoldReply, "reservation").Hold

    def release_reservation(self, address, reservation):
        """Encode giving a reservation back."""
        return _bare_call("DELETE", f"/v1/hold-drop/{reservation}", address)

    def read_prefill(self, body):
        """Decode the answer of a prefill."""
        return decode_json(body, _PrefillReply, "prefill").KvHandle

    def release_prefill(self, address, handle):
        """Encode freeing a KV cache."""
        return _bare_call("DELETE", f"/v1/kv-handle/{handle}", address)

    def change_stage(self, address, order):
        """Encode an order to do the other stage."""
        body = {
            "Operation": "Stage",
            "Stage": order.stage.value,
            "Holder": order.holder,
            "FencingToken": order.fencing_number,
        }
        return _json_call("POST", "/v1/order", address, body, order.upstream)


def _direction_headers(directions):
    left_ms = max(1, int(directions.time_left_s * _MS))
    found = [
        (names.DEADLINE, _number(left_ms)),
        (names.EXPECTED_INSTANCE, directions.upstream.encode("latin-1")),
    ]
    if directions.prefill_only:
        found.append((names.STAGE, b"prefill"))
    if directions.kv_source:
        found.append((names.KV_SOURCE, directions.kv_source.encode()))
    if directions.reservation:
        found.append((names.KV_HOLD, directions.reservation.encode()))
    if directions.resume_after:
        found.append(
            (names.LAST_EVENT_ID, directions.resume_after.encode("latin-1"))
        )
    return found


def _json_call(method, target, address, body, upstream):
    raw = msgspec.json.encode(body)
    return Outgoing(
        method=method,
        target=target,
        headers=(
            (b"host", address.encode()),
            _JSON,
            (b"content-length", _number(len(raw))),
            (names.EXPECTED_INSTANCE, upstream.encode("latin-1")),
        ),
        body=raw,
    )


def _bare_call(method, target, address):
    return Outgoing(
        method=method, target=target, headers=((b"host", address.encode()),)
    )


def _has(head, name):
    return any(key == name for key, _ in head.headers)


def _text(head, name):
    for key, value in head.headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def _number(value):
    return str(value).encode("ascii")


def _tokens(text):
    return read_whole(text.strip()) or 0


def _seconds(text):
    if not text:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = math.nan
    if not 0.0 <= milliseconds < math.inf:
        raise DialectError("the deadline is not a number of milliseconds")
    return milliseconds / _MS


def _token_counts(text):
    parts = text.split(",")
    if len(parts) != 2:
        return 0, 0
    return _tokens(parts[0]), _tokens(parts[1])


def _load(text):
    parts = [read_whole(part.strip()) for part in text.split(",")]
    if len(parts) != 3 or None in parts:
        return None
    running, waiting, slots = parts
    return UpstreamLoad(running=running, waiting=waiting, slots=slots)
