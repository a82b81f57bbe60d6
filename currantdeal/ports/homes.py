"""Protocol for reservations of engine memory and link shares.

An upstream's home is the instance that grants the reservations for it.
"""

from dataclasses import dataclass
from typing import Protocol

from currantdeal.core import (
    CallerId,
    FencingNumber,
    GrantId,
    InstanceId,
    LoadReport,
    RequestId,
    UpstreamId,
)


@dataclass(frozen=True, kw_only=True)
class ReservationRequest:
    """Request to an engine's home for memory and a share of its link.

    Parameters
    ----------
    entry : InstanceId
        The instance that serves the request.
    pieces : int
        Pieces of memory for prompt and expected output; 0 on an engine that
        only runs prefill.
    prefill_tokens : int
        Prompt tokens to compute on the engine; 0 if it only decodes.
    kv_bytes : int
        Number of bytes to transfer over its link.
    hold_s : float
        Expected time for which the memory is held, in seconds.
    lead_s : float
        Seconds from the grant until the memory is needed.
    """

    request_id: RequestId
    caller: CallerId
    entry: InstanceId
    upstream_id: UpstreamId
    pieces: int = 0
    prefill_tokens: int = 0
    kv_bytes: int = 0
    hold_s: float = 1.0
    lead_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Grant:
    """A reservation that the home keeps for as long as the entry renews it.

    Parameters
    ----------
    fence : FencingNumber
        The home's fencing number, which is sent to the engine.
    start_in_s : float
        Seconds until the reserved work may start; the prefill is scheduled
        so that its result is imported before it expires.
    """

    grant_id: GrantId
    request_id: RequestId
    upstream_id: UpstreamId
    home: InstanceId
    fence: FencingNumber
    start_in_s: float = 0.0


class HomesPort(Protocol):
    """Makes and releases reservations, whichever instance is the home."""

    def reserve(
        self, request: ReservationRequest, *, timeout_s: float
    ) -> Grant:
        """Return a grant, or raise ``ReservationError``."""

    def release(self, grant: Grant) -> None:
        """Release a grant.

        Never raises; the home reclaims a grant whose release is lost.
        """

    def grow(self, grant: Grant, *, pieces: int) -> bool:
        """Enlarge a grant by some pieces and return whether it succeeded."""

    def refresh(self, grant: Grant) -> Grant | None:
        """Return the grant under its current home, or None if it is lost.

        Called before a stream is resumed: a new home has another fencing
        number, and the engine may reject the former one.
        """

    def load(self, upstream_id: UpstreamId) -> LoadReport | None:
        """Return the last known load, which lags; None if it is unknown."""

    def report_load(self, report: LoadReport) -> None:
        """Record a renewal with its load and forward it to the home."""
