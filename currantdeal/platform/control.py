"""Decodes calls to control instances and encodes the responses.

Implements ``currantdeal.node.dialect.ControlDialect``.
"""

import ipaddress
from urllib.parse import parse_qs, unquote

import msgspec

from currantdeal.core.errors import DialectError
from currantdeal.node.dialect import (
    Announce,
    CheckReadiness,
    GetConfig,
    Leave,
    LookUpEntries,
    PutConfig,
)
from currantdeal.platform.config import decode_config
from currantdeal.platform.decoding import (
    Int64,
    Label,
    Name,
    decode_json,
    parse_name,
)
from currantdeal.registry import Stage, UpstreamRecord, UpstreamState

_INSTANCES = "/v1/instances/"
_CONFIG = "/v1/config"
_MAX_PORT = 65_535


class _Heartbeat(msgspec.Struct):
    Service: Label
    Address: Name
    Zone: Label
    Slots: Int64
    State: str
    Sequence: Int64
    born: Int64
    Version: Label | None = None
    ColdRemainingMs: float | None = 0.0
    Stage: str | None = None


class PlatformControl:
    """Implementation of the platform's interface to control instances."""

    def read_operation(self, head):
        """Decode method and path; return None for an unknown operation.

        Raises
        ------
        DialectError
            If the path names an instance by bytes that are no name.
        """
        path, _, query = head.target.partition("?")
        operations = {
            ("PUT", _CONFIG): PutConfig(),
            ("GET", _CONFIG): GetConfig(),
            ("GET", "/v1/readyz"): CheckReadiness(),
        }
        if (head.method, path) in operations:
            return operations[(head.method, path)]
        if path.startswith(_INSTANCES):
            name = unquote(path[len(_INSTANCES) :])
            upstream = parse_name(name, "instance")
            if head.method == "PUT":
                return Announce(upstream=upstream)
            if head.method == "DELETE":
                return Leave(upstream=upstream)
        if (head.method, path) == ("GET", "/v1/resolve"):
            return _parse_entry_lookup(parse_qs(query))
        return None

    def read_announcement(self, upstream, body):
        """Decode an upstream's heartbeat."""
        heartbeat = decode_json(body, _Heartbeat, "announcement")
        if not heartbeat.Service:
            raise DialectError("announcement: the service is empty")
        if not _is_address(heartbeat.Address):
            raise DialectError(f"announcement: address {heartbeat.Address!r}")
        return UpstreamRecord(
            upstream=parse_name(upstream, "announcement"),
            service=heartbeat.Service,
            address=heartbeat.Address,
            data_center=heartbeat.Zone,
            slots=heartbeat.Slots,
            state=_parse_state(heartbeat.State),
            started_ms=heartbeat.born,
            sequence=heartbeat.Sequence,
            stage=_parse_stage(heartbeat.Stage),
            cold_s=(heartbeat.ColdRemainingMs or 0.0) / 1_000.0,
            software=heartbeat.Version or "",
        )

    def read_config(self, body):
        """Decode a complete configuration."""
        return decode_config(body)

    def directory_answer(self, addresses, keep_s):
        """Encode the addresses that callers may connect to."""
        found = {"Addresses": list(addresses), "TtlS": keep_s}
        return msgspec.json.encode(found)

    def error_answer(self, reason):
        """Encode the reason why a call was refused."""
        return msgspec.json.encode({"Error": reason})


def _parse_entry_lookup(query):
    def first_value(name):
        return query.get(name, [""])[0]

    return LookUpEntries(
        host=first_value("Name"),
        region=first_value("Region"),
        data_center=first_value("Zone"),
    )


def _is_address(text):
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT


def _parse_state(text):
    states = {
        "ready": UpstreamState.READY,
        "draining": UpstreamState.DRAINING,
    }
    if text not in states:
        raise DialectError(f"announcement: state {text!r}")
    return states[text]


def _parse_stage(text):
    stages = {None: None, "prefill": Stage.PREFILL, "decode": Stage.DECODE}
    if text not in stages:
        raise DialectError(f"announcement: stage {text!r}")
    return stages[text]
