"""Defines the operators' configuration: routes, services and limits.

A configuration is replaced as a whole and identified by its version.  It
names services but not upstreams: upstreams announce which service they
belong to, so that the service of a route selects upstreams by this label.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.organisations import Organisation


class RetrySafety(str, Enum):
    """Whether a request may be sent to an upstream more than once.

    ``FREELY`` marks idempotent requests.  ``RESUMABLE`` streams may continue
    at another upstream after the last event received.  ``ONCE`` requests may
    be sent to another upstream only if the first one states that it did not
    run them.
    """

    FREELY = "freely"
    RESUMABLE = "resumable"
    ONCE = "once"


@dataclass(frozen=True, kw_only=True)
class WeightedService:
    """A service of a route, and its weight in the random choice."""

    service: str
    weight: float


@dataclass(frozen=True, kw_only=True)
class Route:
    """Maps requests of one host and path prefix to services.

    Parameters
    ----------
    retry_safety : RetrySafety
        Whether the requests may be sent more than once.
    streaming : bool
        True if the answer is a stream of events.
    timeout_s : float
        Timeout of the complete answer.
    target_s : float
        Target latency of the answer, or of its first event.
    gap_target_s : float
        Target for the longest gap between events of a stream; 0 if none.
    max_upstreams : int
        Maximum number of upstreams that may run one request.
    priority : int
        Priority; 0 is the highest.
    anonymous : bool
        True if its requests need no key.
    """

    name: str
    host: str
    prefix: str
    services: tuple[WeightedService, ...]
    retry_safety: RetrySafety
    streaming: bool
    timeout_s: float
    target_s: float
    gap_target_s: float = 0.0
    max_upstreams: int = 1
    priority: int = 0
    anonymous: bool = False


@dataclass(frozen=True, kw_only=True)
class EngineTraits:
    """Properties that all model engines of a service share.

    Parameters
    ----------
    slots : int
        Number of requests that an engine runs concurrently.
    kv_tokens : int
        Capacity of an engine's KV cache, in tokens.
    hold_s : float
        Longest time for which memory may be reserved in advance.
    tokens_per_event : int
        Number of tokens in one event of a stream.
    switch_s : float
        Time that an engine takes to switch between prefill and decode.
    kv_handle_ttl_s : float
        Time for which a prefill engine keeps the KV cache of a prompt that
        another engine will fetch.
    kv_bytes_per_token : float
        Size of the KV cache of a token; 0 if unknown.
    link_bytes_per_s : float
        Rate of an engine's transfers; 0 if unknown.
    transfer_factors : tuple of float
        Factors by which a transfer takes longer within a data centre, between
        two of a region, and between regions.
    """

    slots: int
    kv_tokens: int
    hold_s: float
    tokens_per_event: int
    switch_s: float
    kv_handle_ttl_s: float = 0.0
    kv_bytes_per_token: float = 0.0
    link_bytes_per_s: float = 0.0
    transfer_factors: tuple[float, float, float] = (1.0, 1.0, 1.0)


@dataclass(frozen=True, kw_only=True)
class Service:
    """A group of interchangeable upstreams.

    ``engine`` is set only for services of model engines.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts of a caller's requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True)
class RoutingConfig:
    """One version of the configuration.

    Parameters
    ----------
    organisations : tuple of Organisation or None
        Organisations whose callers may send requests; None if requests need
        no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = CallerLimits()
    organisations: tuple[Organisation, ...] | None = None
