"""Decodes the operators' configuration from the platform's format."""

import msgspec

from currantdeal.core.errors import DialectError
from currantdeal.organisations import (
    Organisation,
    Quota,
    QuotaUnit,
    digest_key,
)
from currantdeal.platform.decoding import Int64, Path, decode_json
from currantdeal.routing import (
    CallerLimits,
    EngineTraits,
    RetrySafety,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
)

_MS = 1_000.0
_UNITS = {"requests": QuotaUnit.REQUESTS, "tokens": QuotaUnit.TOKENS}
_ROUTE_TYPES = frozenset({"streaming", "idempotent", "non_idempotent"})


class _Backend(msgspec.Struct):
    Service: str
    Weight: float


class _Route(msgspec.Struct):
    Name: str
    Hostname: str
    PathPrefix: str
    RouteType: str
    TimeoutMs: float
    TargetLatencyMs: float = 0.0
    Priority: int = 0
    Service: str | None = None
    Backends: list[_Backend] | None = None
    MaxAttempts: int = 1
    Resumable: bool = False
    ItlTargetMs: float = 0.0
    Anonymous: bool = False


_BYTES_PER_MBIT = 125_000.0
_TRANSFER_FACTORS = (1.0, 2.0, 10.0)
"""Duration of transfers within a zone, between zones and between regions."""


class _Engine(msgspec.Struct):
    Slots: int = 1
    KvCapacityTokens: int = 0
    HoldMs: float = 0.0
    Stride: int = 1
    SwitchS: float = 0.0
    HandleTtlS: float = 0.0
    KvBytes: float = 0.0
    LinkMbps: float = 0.0


class _Service(msgspec.Struct):
    Name: str
    HealthPath: Path = "/"
    MaxConnections: int = 100
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: int = 16_384
    MaxBodyBytes: int = 4_194_304
    HeaderTimeoutMs: float = 3_000.0
    IdleTimeoutMs: float = 15_000.0


class _Tenant(msgspec.Struct):
    Name: str
    ApiKeys: list[str]
    Priority: int | None = None
    Unit: str = "requests"
    UncachedTokens: int = 0
    RatePerS: float = 0.0
    Burst: float = 0.0


class _Config(msgspec.Struct):
    Version: Int64
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits = msgspec.field(default_factory=_Limits)
    Tenants: list[_Tenant] | None = None


def decode_config(body):
    """Return the ``RoutingConfig`` decoded from a body.

    Raises
    ------
    DialectError
        If the body is malformed.
    """
    parsed = decode_json(body, _Config, "configuration")
    return RoutingConfig(
        version=parsed.Version,
        routes=tuple(_route(route) for route in parsed.Routes),
        services=tuple(_service(service) for service in parsed.Services),
        limits=_limits(parsed.Limits),
        organisations=_organisations(parsed.Tenants),
    )


def _route(parsed):
    if parsed.RouteType not in _ROUTE_TYPES:
        raise DialectError(f"route {parsed.Name}: kind {parsed.RouteType!r}")
    return Route(
        name=parsed.Name,
        host=parsed.Hostname,
        prefix=parsed.PathPrefix,
        services=_weighted_services(parsed),
        retry_safety=_retry_safety(parsed),
        streaming=parsed.RouteType == "streaming",
        timeout_s=parsed.TimeoutMs / _MS,
        target_s=parsed.TargetLatencyMs / _MS,
        gap_target_s=parsed.ItlTargetMs / _MS,
        max_upstreams=max(1, parsed.MaxAttempts),
        priority=parsed.Priority,
        anonymous=parsed.Anonymous,
    )


def _weighted_services(parsed):
    if parsed.Backends is not None:
        return tuple(
            WeightedService(service=b.Service, weight=b.Weight)
            for b in parsed.Backends
        )
    if parsed.Service is None:
        raise DialectError(f"route {parsed.Name}: it names no service")
    return (WeightedService(service=parsed.Service, weight=1.0),)


def _retry_safety(parsed):
    if parsed.RouteType == "idempotent":
        return RetrySafety.FREELY
    if parsed.RouteType == "streaming" and parsed.Resumable:
        return RetrySafety.RESUMABLE
    return RetrySafety.ONCE


def _service(parsed):
    engine = parsed.Engine
    return Service(
        name=parsed.Name,
        health_path=parsed.HealthPath,
        max_connections=parsed.MaxConnections,
        engine=None if engine is None else _engine(engine),
    )


def _engine(parsed):
    return EngineTraits(
        slots=parsed.Slots,
        kv_tokens=parsed.KvCapacityTokens,
        hold_s=parsed.HoldMs / _MS,
        tokens_per_event=parsed.Stride,
        switch_s=parsed.SwitchS,
        kv_handle_ttl_s=parsed.HandleTtlS,
        kv_bytes_per_token=parsed.KvBytes,
        link_bytes_per_s=parsed.LinkMbps * _BYTES_PER_MBIT,
        transfer_factors=_TRANSFER_FACTORS,
    )


def _organisations(parsed):
    if parsed is None:
        return None
    quotas = {}
    return tuple(
        Organisation(
            name=tenant.Name,
            key_digests=tuple(digest_key(k.encode()) for k in tenant.ApiKeys),
            priority=tenant.Priority,
            quota=_quota(tenant, quotas),
        )
        for tenant in parsed
    )


def _quota(parsed, known):
    """Return the quota; organisations with the same one share an object."""
    if parsed.Unit not in _UNITS:
        raise DialectError(f"tenant {parsed.Name!r}: unit {parsed.Unit!r}")
    if not parsed.RatePerS:
        return None
    quota = Quota(
        rate_per_s=parsed.RatePerS,
        burst=parsed.Burst,
        unit=_UNITS[parsed.Unit],
        default_tokens=parsed.UncachedTokens,
    )
    return known.setdefault(quota, quota)


def _limits(parsed):
    return CallerLimits(
        max_header_bytes=parsed.MaxHeaderBytes,
        max_body_bytes=parsed.MaxBodyBytes,
        header_timeout_s=parsed.HeaderTimeoutMs / _MS,
        idle_timeout_s=parsed.IdleTimeoutMs / _MS,
    )
