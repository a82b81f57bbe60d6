"""Upstreams as they announce themselves, and what they report."""

from dataclasses import dataclass
from enum import Enum

from currantdeal.core.ids import DataCenterId, RegionId, UpstreamId


class UpstreamKind(str, Enum):
    """What stands behind an upstream's address."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(str, Enum):
    """Part of a request that an upstream may serve."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


@dataclass(frozen=True, kw_only=True)
class Label:
    """One label of an upstream."""

    name: str
    value: str = ""


@dataclass(frozen=True, kw_only=True)
class Upstream:
    """What an upstream says of itself when it announces.

    Parameters
    ----------
    upstream_id : UpstreamId
        Stable name of the upstream.
    incarnation : int
        Grows with each start of the upstream under the same name.
    address : str
        ``IP:PORT`` of its HTTP interface.
    kind : UpstreamKind
        Engine or plain service.
    roles : tuple of Role
        Parts of a request it can serve at present.
    targets : tuple of str
        Models it has loaded, or the names of the services it serves.
    region, data_center : str
        Where it stands.
    labels : tuple of Label
        Labels it announces; operators' labels win over them.
    pieces_total : int
        Fixed-size pieces of engine memory; 0 for services.
    tokens_per_piece : int
        Tokens whose KV cache fits in one piece.
    link_bytes_per_s : float
        Rate of its transfer link.
    kv_bytes_per_token : int
        Size of the KV cache of one token.
    checks_fencing : bool
        True when it refuses an order with an old fencing number.
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
    """What an upstream reports of its load; it lags behind the truth.

    Parameters
    ----------
    upstream_id : UpstreamId
        Whose load it is.
    incarnation : int
        Of the upstream that reports.
    running, queued : int
        Requests in the batch and before it.
    queued_tokens : int
        Prompt tokens that wait for prefill.
    pieces_free : int
        Free pieces of engine memory.
    step_s : float
        Measured time of one decode step, in seconds.
    prefill_tokens_per_s : float
        Measured rate of prefill.
    cached_prefixes : tuple of int
        Prefix keys that the engine said it holds; late and with gaps.
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
