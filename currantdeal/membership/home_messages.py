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
    """Request of an entry for a reservation.

    Parameters
    ----------
    process : int
        Start of the entry's process; distinguishes it from earlier ones.
    """

    process: int
    request: ReservationRequest


@dataclass(frozen=True, kw_only=True)
class GrowCall:
    """Request of an entry for more memory under a grant."""

    upstream_id: UpstreamId
    request_id: RequestId
    pieces: int


@dataclass(frozen=True, kw_only=True)
class HomeRefusal:
    """Refusal of a reservation by a home.

    Parameters
    ----------
    moving : bool
        True while the home changes; a retry shortly after may succeed.
    """

    message: str
    retry_after_s: float = 0.0
    moving: bool = False


@dataclass(frozen=True, kw_only=True)
class HeldKey:
    """Key of a reservation."""

    upstream_id: UpstreamId
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class Claims:
    """Number and digest of the reservations of an entry at a home."""

    count: int = 0
    digest: int = 0


@dataclass(frozen=True, kw_only=True)
class Sync:
    """Heartbeat of an entry to a home.

    Parameters
    ----------
    claims : Claims
        Digest of the entry's reservations at this home.
    held : tuple of HeldKey or None
        List of these reservations, if the home has requested it.
    released : tuple of HeldKey
        Reservations released since the last heartbeat.
    reports : bytes
        Renewals that this entry received from upstreams, encoded by
        ``encode_loads``.
    loads_after : int
        Number of the last load that the entry received from this home.
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
        Loads that changed after the number in the heartbeat, encoded by
        ``encode_loads``.
    loads_after : int
        Number of the last load in this answer.
    list_wanted : bool
        True if the digest differs from the ledger, so that the next
        heartbeat should include the list.
    lost : tuple of HeldKey
        Reservations in the entry's list that are not in the ledger.
    """

    loads: bytes = b""
    loads_after: int = 0
    list_wanted: bool = False
    lost: tuple[HeldKey, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ClaimsCall:
    """Request of a new home for an entry's reservations on an upstream."""

    upstream_id: UpstreamId
    home: InstanceId
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class ClaimedGrant:
    """Reservation that an entry claims to hold."""

    request: ReservationRequest
    pieces: int


@dataclass(frozen=True, kw_only=True)
class ClaimsAnswer:
    """Reservations of an entry on the upstream."""

    entry: InstanceId
    process: int
    claimed: tuple[ClaimedGrant, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PassedReports:
    """Load reports forwarded for a sender that cannot reach their home."""

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
