"""Messages between entries and homes."""

from dataclasses import dataclass

from currantdeal.core import (
    Codec,
    FencingNumber,
    InstanceId,
    LoadReport,
    RequestId,
    UpstreamId,
)
from currantdeal.ports import Grant, ReservationRequest


@dataclass(frozen=True, kw_only=True)
class ReserveCall:
    """An entry asks for a reservation.

    Parameters
    ----------
    process : int
        Start of the entry's process, which tells it from an earlier one.
    """

    process: int
    request: ReservationRequest


@dataclass(frozen=True, kw_only=True)
class GrowCall:
    """An entry asks for more memory under a grant."""

    upstream_id: UpstreamId
    request_id: RequestId
    pieces: int


@dataclass(frozen=True, kw_only=True)
class HomeRefusal:
    """The home did not reserve.

    Parameters
    ----------
    moving : bool
        True when the home is changing, so that asking again shortly helps.
    """

    message: str
    retry_after_s: float = 0.0
    moving: bool = False


@dataclass(frozen=True, kw_only=True)
class HeldKey:
    """Names one reservation."""

    upstream_id: UpstreamId
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class Claims:
    """Digest of the reservations that an entry holds at a home."""

    count: int = 0
    digest: int = 0


@dataclass(frozen=True, kw_only=True)
class Sync:
    """Heartbeat of an entry to a home.

    Parameters
    ----------
    claims : Claims
        Digest of what the entry holds there.
    held : tuple of HeldKey or None
        The list itself, if the home has asked for it.
    released : tuple of HeldKey
        Reservations given back since the last heartbeat.
    reports : bytes
        Renewals of upstreams that came in at this entry, by
        ``encode_loads``.
    loads_after : int
        Number of the last load that the entry has from this home.
    """

    entry: InstanceId
    process: int
    claims: Claims
    held: tuple[HeldKey, ...] | None = None
    released: tuple[HeldKey, ...] = ()
    reports: bytes = b""
    loads_after: int = 0


@dataclass(frozen=True, kw_only=True)
class SyncAnswer:
    """Answer of a home to a heartbeat.

    Parameters
    ----------
    loads : bytes
        Loads that changed after the number that the entry told, by
        ``encode_loads``.
    loads_after : int
        Number of the last load in this answer.
    list_wanted : bool
        True when the digest differs from the ledger.
    lost : tuple of HeldKey
        Reservations that the entry listed and the home does not keep.
    """

    loads: bytes = b""
    loads_after: int = 0
    list_wanted: bool = False
    lost: tuple[HeldKey, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ClaimsCall:
    """A new home asks what an entry holds of an upstream."""

    upstream_id: UpstreamId
    home: InstanceId
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class ClaimedGrant:
    """A reservation that an entry claims to hold."""

    request: ReservationRequest
    pieces: int


@dataclass(frozen=True, kw_only=True)
class ClaimsAnswer:
    """What an entry holds of the upstream."""

    entry: InstanceId
    process: int
    claimed: tuple[ClaimedGrant, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PassedReports:
    """Load reports whose sender cannot reach their home itself."""

    reports: tuple[LoadReport, ...]


HOME_CODEC = Codec(
    classes=(
        ReserveCall,
        Grant,
        GrowCall,
        HomeRefusal,
        Sync,
        SyncAnswer,
        ClaimsCall,
        ClaimsAnswer,
        PassedReports,
    )
)
