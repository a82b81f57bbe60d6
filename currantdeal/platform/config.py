"""The operators' configuration in the platform's format."""

import msgspec

from currantdeal.core.errors import DialectError
from currantdeal.platform.decoding import Int64, decode_json
from currantdeal.routing import (
    CallerLimits,
    EngineTraits,
    Repeat,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
)

_MS = 1_000.0
_KINDS = frozenset({"streaming", "idempotent", "non_idempotent"})


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


class _Engine(msgspec.Struct):
    Slots: int = 1
    KvCapacityTokens: int = 0
    HoldMs: float = 0.0
    Stride: int = 1
    SwitchS: float = 0.0
    HandleTtlS: float = 0.0


class _Service(msgspec.Struct):
    Name: str
    HealthPath: str = "/"
    MaxConnections: int = 100
    Engine: _Engine | None = None


class _Limits(msgspec.Struct):
    MaxHeaderBytes: int = 16_384
    MaxBodyBytes: int = 4_194_304
    HeaderTimeoutMs: float = 3_000.0
    IdleTimeoutMs: float = 15_000.0


class _Config(msgspec.Struct):
    Version: Int64
    Routes: list[_Route]
    Services: list[_Service]
    Limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_config(body):
    """Return the ``RoutingConfig`` that a body holds.

    Raises
    ------
    DialectError
        If the body cannot be read.
    """
    read = decode_json(body, _Config, "configuration")
    return RoutingConfig(
        version=read.Version,
        routes=tuple(_route(route) for route in read.Routes),
        services=tuple(_service(service) for service in read.Services),
        limits=_limits(read.Limits),
    )


def _route(read):
    if read.RouteType not in _KINDS:
        raise DialectError(f"route {read.Name}: kind {read.RouteType!r}")
    return Route(
        name=read.Name,
        host=read.Hostname,
        prefix=read.PathPrefix,
        services=_shares(read),
        repeat=_repeat(read),
        streaming=read.RouteType == "streaming",
        timeout_s=read.TimeoutMs / _MS,
        target_s=read.TargetLatencyMs / _MS,
        pause_target_s=read.ItlTargetMs / _MS,
        max_upstreams=max(1, read.MaxAttempts),
        rank=read.Priority,
    )


def _shares(read):
    if read.Backends is not None:
        return tuple(
            WeightedService(service=b.Service, weight=b.Weight)
            for b in read.Backends
        )
    if read.Service is None:
        raise DialectError(f"route {read.Name}: it names no service")
    return (WeightedService(service=read.Service, weight=1.0),)


def _repeat(read):
    if read.RouteType == "idempotent":
        return Repeat.FREELY
    if read.RouteType == "streaming" and read.Resumable:
        return Repeat.RESUMABLE
    return Repeat.ONCE


def _service(read):
    engine = read.Engine
    return Service(
        name=read.Name,
        health_path=read.HealthPath,
        max_connections=read.MaxConnections,
        engine=None if engine is None else _engine(engine),
    )


def _engine(read):
    return EngineTraits(
        slots=read.Slots,
        kv_tokens=read.KvCapacityTokens,
        hold_s=read.HoldMs / _MS,
        tokens_per_event=read.Stride,
        switch_s=read.SwitchS,
        handle_s=read.HandleTtlS,
    )


def _limits(read):
    return CallerLimits(
        max_head_bytes=read.MaxHeaderBytes,
        max_body_bytes=read.MaxBodyBytes,
        head_timeout_s=read.HeaderTimeoutMs / _MS,
        idle_timeout_s=read.IdleTimeoutMs / _MS,
    )
