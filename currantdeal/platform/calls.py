"""Encodes requests to the platform's upstreams and decodes the responses.

Implements ``currantdeal.node.dialect.UpstreamDialect``.
"""

import hashlib
import itertools
import math
import re
import secrets
from dataclasses import replace

import msgspec

from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    CallerRequest,
    ResponseMetadata,
    UpstreamLoad,
)
from currantdeal.node.head import (
    GrantRequest,
    Outgoing,
    RequestHead,
    end_to_end,
    find_header,
)
from currantdeal.organisations import digest_key
from currantdeal.platform import headers as header_names
from currantdeal.platform.decoding import (
    PathName,
    decode_json,
    parse_header_int,
)

_MS = 1_000.0
_USUAL_PACE = 100.0
_BEARER = b"bearer"
_LOWEST_PRIORITY = 9
_ID_PREFIX_BYTES = 6
_MAX_SHARED_PARTS = 16
_PART = re.compile(r"([0-9a-f]{1,64}):[0-9]{1,18}")
_JSON = (b"content-type", b"application/json")
_DECIMAL = re.compile(
    r"([0-9]+\.?[0-9]*|\.[0-9]+)(e[+-]?[0-9]+)?", re.IGNORECASE
)


class _HoldReply(msgspec.Struct):
    Hold: PathName


class _PrefillReply(msgspec.Struct):
    KvHandle: PathName


class PlatformCalls:
    """Implementation of the platform's upstream interface.

    Calls of the system itself get ids of their own.  Some upstreams repeat
    them in their answers, as they do with the ids of callers' requests.
    """

    def __init__(self):
        """Choose the prefix of the ids of calls."""
        prefix = secrets.token_hex(_ID_PREFIX_BYTES)
        self._call_ids = (f"{prefix}-{n:x}" for n in itertools.count())

    def read_caller(self, head):
        """Decode the headers of a caller's request.

        Raises
        ------
        DialectError
            If the deadline is not a finite number of 0 or more.
        """
        prompt, max_output = _parse_token_counts(
            _header_text(head, header_names.TOKEN_COUNTS)
        )
        return CallerRequest(
            request_id=_header_text(head, header_names.REQUEST_ID),
            caller_timeout_s=_parse_seconds(
                _header_text(head, header_names.DEADLINE)
            ),
            prompt_tokens=prompt,
            max_output_tokens=max_output,
            expected_output_tokens=_parse_tokens(
                _header_text(head, header_names.LENGTH_HINT)
            ),
            resume_after=_header_text(head, header_names.LAST_EVENT_ID),
            key_digest=_parse_key(head),
            credentials_digest=_digest_credentials(head),
            shared_parts=_parse_shared_parts(
                _header_text(head, header_names.PREFIX_HASH)
            ),
        )

    def without_credentials(self, head):
        """Return a request head without the caller's credentials."""
        return RequestHead(
            method=head.method,
            target=head.target,
            headers=tuple(
                header
                for header in head.headers
                if header[0] != header_names.AUTHORIZATION
            ),
        )

    def outgoing(self, head, body, options):
        """Encode a caller's request for one upstream."""
        forwarded = end_to_end(
            head.headers, without=header_names.SYSTEM_HEADERS
        )
        framed = [h for h in forwarded if h[0] != b"content-length"]
        if body or find_header(forwarded, "content-length") is not None:
            framed.append((b"content-length", _encode_number(len(body))))
        elif find_header(head.headers, "transfer-encoding") is not None:
            framed.append((b"content-length", b"0"))
        return Outgoing(
            method=head.method,
            target=head.target,
            headers=(*framed, *_system_headers(options)),
            body=body,
            send_before_s=options.send_before_s,
            id_header=header_names.REQUEST_ID,
            is_id_echoed=True,
        )

    def read_response(self, head):
        """Decode the head of an upstream's response."""
        return ResponseMetadata(
            not_run=_has_header(head, header_names.NOT_EXECUTED)
            or head.status == 421,
            is_signed=_has_header(head, header_names.SIGNATURE)
            and not _has_header(head, b"content-encoding"),
            load=_parse_load(_header_text(head, header_names.LOAD)),
            answered_by=_header_text(head, header_names.INSTANCE),
            limit_per_s=_parse_limit(head),
        )

    def response_headers(self, head):
        """Return the headers for the caller, without a content length."""
        return end_to_end(head.headers, without={b"content-length"})

    def check_health(self, address, path):
        """Encode a health check."""
        return self._bodyless_call("GET", path, address)

    def reserve(self, address, *, tokens, hold_s, upstream):
        """Encode a reservation of memory."""
        body = {"Tokens": tokens, "ttl_ms": round(hold_s * _MS)}
        call = self._json_call("/v1/hold-take", address, body, upstream)
        return replace(call, grant=GrantRequest(size=tokens, read=_read_hold))

    def read_reservation(self, body):
        """Decode the response to a reservation."""
        return decode_json(body, _HoldReply, "reservation").Hold

    def release_reservation(self, address, reservation):
        """Encode the release of a reservation."""
        return self._bodyless_call(
            "DELETE", f"/v1/hold-drop/{reservation}", address
        )

    def read_prefill(self, body):
        """Decode the response to a prefill."""
        return decode_json(body, _PrefillReply, "prefill").KvHandle

    def release_prefill(self, address, handle):
        """Encode the release of a KV cache."""
        return self._bodyless_call(
            "DELETE", f"/v1/kv-handle/{handle}", address
        )

    def change_stage(self, address, order):
        """Encode an order to switch an engine to another stage."""
        body = {
            "Operation": "Stage",
            "Stage": order.stage.value,
            "Holder": order.holder,
            "FencingToken": order.fencing_number,
        }
        return self._json_call("/v1/order", address, body, order.upstream)

    def _json_call(self, target, address, body, upstream):
        raw = msgspec.json.encode(body)
        return Outgoing(
            method="POST",
            target=target,
            headers=(
                *self._call_headers(address),
                _JSON,
                (b"content-length", _encode_number(len(raw))),
                (header_names.EXPECTED_INSTANCE, upstream.encode("latin-1")),
            ),
            body=raw,
            id_header=header_names.REQUEST_ID,
        )

    def _bodyless_call(self, method, target, address):
        return Outgoing(
            method=method,
            target=target,
            headers=self._call_headers(address),
            id_header=header_names.REQUEST_ID,
        )

    def _call_headers(self, address):
        return (
            (b"host", address.encode()),
            (header_names.REQUEST_ID, next(self._call_ids).encode()),
        )


def _read_hold(body):
    try:
        return decode_json(body, _HoldReply, "reservation").Hold
    except DialectError:
        return ""


def _system_headers(options):
    left_ms = max(1, int(options.time_left_s * _MS))
    headers = [
        (header_names.DEADLINE, _encode_number(left_ms)),
        (
            header_names.EXPECTED_INSTANCE,
            options.upstream.encode("latin-1"),
        ),
    ]
    if options.organisation:
        headers.append((header_names.TENANT, options.organisation.encode()))
    if options.priority is not None:
        lowest = min(options.priority, _LOWEST_PRIORITY)
        headers.append((header_names.PRIORITY, _encode_number(lowest)))
    if options.prefill_only:
        headers.append((header_names.STAGE, b"prefill"))
    if options.kv_source:
        headers.append((header_names.KV_SOURCE, options.kv_source.encode()))
    if options.reservation:
        headers.append((header_names.KV_HOLD, options.reservation.encode()))
    if options.resume_after:
        headers.append(
            (
                header_names.LAST_EVENT_ID,
                options.resume_after.encode("latin-1"),
            )
        )
    return headers


def _has_header(head, name):
    return any(key == name for key, _ in head.headers)


def _header_text(head, name):
    for key, value in head.headers:
        if key == name:
            return value.decode("latin-1")
    return ""


def _credentials(head):
    return [v for k, v in head.headers if k == header_names.AUTHORIZATION]


def _parse_key(head):
    """Return the digest of the caller's key; empty without a single key."""
    values = _credentials(head)
    if len(values) != 1:
        return b""
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != _BEARER or not key:
        return b""
    return digest_key(key)


def _digest_credentials(head):
    values = _credentials(head)
    return hashlib.sha256(b"\n".join(values)).digest() if values else b""


def _encode_number(value):
    return str(value).encode("ascii")


def _parse_tokens(text):
    return parse_header_int(text.strip()) or 0


def _parse_seconds(text):
    if not text:
        return None
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = math.nan
    if not 0.0 <= milliseconds < math.inf:
        raise DialectError("the deadline is not a number of milliseconds")
    return milliseconds / _MS


def _parse_token_counts(text):
    parts = text.split(",")
    if len(parts) != 2:
        return 0, 0
    return _parse_tokens(parts[0]), _parse_tokens(parts[1])


def _parse_shared_parts(text):
    """Return the identifiers of all parts of a prompt except the last.

    The last one belongs to the request or its session.  A part that is not
    well-formed is skipped, and those beyond ``_MAX_SHARED_PARTS`` are left
    out.
    """
    fields = text.lower().split(",")[:-1]
    parts = (_PART.fullmatch(field.strip()) for field in fields)
    distinct = dict.fromkeys(part[1] for part in parts if part)
    return tuple(distinct)[:_MAX_SHARED_PARTS]


def _parse_limit(head):
    """Return the rate that an upstream names; infinite without a limit."""
    text = _header_text(head, header_names.RATE_LIMIT) or _header_text(
        head, header_names.RATE_LIMIT_LONG
    )
    if not text:
        return math.inf
    if not _DECIMAL.fullmatch(text):
        return None
    limit_per_s = float(text)
    return limit_per_s if limit_per_s < math.inf else None


def _parse_load(text):
    fields = [field.strip() for field in text.split(",")]
    counts = [parse_header_int(field) for field in fields[:3]]
    if len(fields) not in (3, 4) or None in counts:
        return None
    running, waiting, slots = counts
    return UpstreamLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        pace=_parse_pace(*fields[3:]),
    )


def _parse_pace(text=""):
    """Return how long work takes, given in percent of the usual, or None."""
    if not _DECIMAL.fullmatch(text):
        return None
    percent = float(text)
    return percent / _USUAL_PACE if 0.0 < percent < math.inf else None
