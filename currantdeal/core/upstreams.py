"""Announcements and load reports of upstreams."""

from dataclasses import dataclass
from enum import Enum

from currantdeal.core.ids import DataCenterId, RegionId, UpstreamId


class UpstreamKind(str, Enum):
    """What an upstream is: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(str, Enum):
    """Part of a request that an upstream may serve."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class Label:
    """A name and a value attached to an upstream, used by selectors."""

    name: str
    value: str = ""


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """Properties of an upstream, as it announces them.

    Parameters
    ----------
    upstream_id : UpstreamId
        Stable name of the upstream.
    incarnation : int
        Increases with each start of the upstream under the same name.
    address : str
        ``IP:PORT`` of its HTTP interface.
    kind : UpstreamKind
        Engine or plain service.
    roles : tuple of Role
        Parts of a request it can currently serve.
    targets : tuple of str
        Models it has loaded, or the names of the services it serves.
    region, data_center : str
        Its location.
    labels : tuple of Label
        Labels it announces; operators' labels take precedence.
    pieces_total : int
        Fixed-size pieces of engine memory; 0 for services.
    tokens_per_piece : int
        Tokens whose KV cache fits in one piece.
    link_bytes_per_s : float
        Bandwidth of its transfer link.
    kv_bytes_per_token : int
        Size of the KV cache of one token.
    checks_fencing : bool
        True if it rejects orders with an outdated fencing number.
    """

    upstream_id: UpstreamId
    incarnation: int
    address: str
    kind: UpstreamKind
    roles: tuple[Role, ...]
    targets: tuple[str, ...]
    region: RegionId
    data_center: DataCenterId
    labels: tuple[Label, ...] = ()
    pieces_total: int = 0
    tokens_per_piece: int = 16
    link_bytes_per_s: float = 0.0
    kv_bytes_per_token: int = 0
    checks_fencing: bool = True


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """An upstream's report of its load, which lags behind the actual load.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream that reports.
    incarnation : int
        Incarnation of that upstream.
    running, queued : int
        Number of requests in the running batch, and of those queued for it.
    queued_tokens : int
        Number of prompt tokens queued for prefill.
    pieces_free : int
        Number of free pieces of engine memory.
    step_s : float
        Measured time of one decode step, in seconds.
    prefill_tokens_per_s : float
        Measured rate of prefill.
    cached_prefixes : tuple of int
        Keys of the prefixes that the engine reports as cached; delayed and
        incomplete.
    """

    upstream_id: UpstreamId
    incarnation: int
    running: int = 0
    queued: int = 0
    queued_tokens: int = 0
    pieces_free: int = 0
    step_s: float = 0.0
    prefill_tokens_per_s: float = 0.0
    cached_prefixes: tuple[int, ...] = ()
