"""Calls to control in the platform's dialect.

Implements ``currantdeal.node.dialect.ControlDialect``.
"""

import ipaddress
from urllib.parse import parse_qs, unquote

import msgspec

from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    Announce,
    AskReady,
    FindEntries,
    GetConfig,
    Leave,
    PutConfig,
)
from currantdeal.platform.config import decode_config
from currantdeal.platform.decoding import Int64, decode_json
from currantdeal.registry import Stage, UpstreamRecord, UpstreamState

_INSTANCES = "/v1/instances/"
_CONFIG = "/v1/config"
_HIGHEST_PORT = 65_535


class _Beat(msgspec.Struct):
    Service: str
    Address: str
    Zone: str
    Slots: Int64
    State: str
    Sequence: Int64
    born: Int64
    Version: str | None = None
    ColdRemainingMs: float | None = 0.0
    Stage: str | None = None


class PlatformControl:
    """The dialect of the platform towards control."""

    def read_operation(self, head):
        """Decode method and path; None for what is not known."""
        path, _, query = head.target.partition("?")
        fixed = {
            ("PUT", _CONFIG): PutConfig(),
            ("GET", _CONFIG): GetConfig(),
            ("GET", "/v1/readyz"): AskReady(),
        }
        if (head.method, path) in fixed:
            return fixed[(head.method, path)]
        if path.startswith(_INSTANCES):
            upstream = unquote(path[len(_INSTANCES) :])
            if head.method == "PUT":
                return Announce(upstream=upstream)
            if head.method == "DELETE":
                return Leave(upstream=upstream)
        if (head.method, path) == ("GET", "/v1/resolve"):
            return _find_entries(parse_qs(query))
        return None

    def read_announcement(self, upstream, body):
        """Decode a heartbeat."""
        beat = decode_json(body, _Beat, "announcement")
        if not upstream or not beat.Service:
            raise DialectError("announcement: a name is empty")
        if not _is_address(beat.Address):
            raise DialectError(f"announcement: address {beat.Address!r}")
        return UpstreamRecord(
            upstream=upstream,
            service=beat.Service,
            address=beat.Address,
            data_center=beat.Zone,
            slots=beat.Slots,
            state=_state(beat.State),
            started_ms=beat.born,
            sequence=beat.Sequence,
            stage=_stage(beat.Stage),
            cold_s=(beat.ColdRemainingMs or 0.0) / 1_000.0,
            software=beat.Version or "",
        )

    def read_config(self, body):
        """Decode a whole configuration."""
        return decode_config(body)

    def directory_answer(self, addresses, keep_s):
        """Encode where callers may connect."""
        found = {"Addresses": list(addresses), "TtlS": keep_s}
        return msgspec.json.encode(found)

    def error_answer(self, reason):
        """Encode why a call was refused."""
        return msgspec.json.encode({"Error": reason})


def _find_entries(query):
    def first(name):
        return query.get(name, [""])[0]

    return FindEntries(
        host=first("Name"), region=first("Region"), data_center=first("Zone")
    )


def _is_address(text):
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= _HIGHEST_PORT


def _state(text):
    states = {
        "ready": UpstreamState.READY,
        "draining": UpstreamState.DRAINING,
    }
    if text not in states:
        raise DialectError(f"announcement: state {text!r}")
    return states[text]


def _stage(text):
    stages = {None: None, "prefill": Stage.PREFILL, "decode": Stage.DECODE}
    if text not in stages:
        raise DialectError(f"announcement: stage {text!r}")
    return stages[text]
