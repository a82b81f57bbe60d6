"""Reservations of engine memory and link shares at an upstream's home."""

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
    """Ask an engine's home for memory and a share of its link.

    Parameters
    ----------
    entry : InstanceId
        The instance that serves the request.
    pieces : int
        Pieces of memory for prompt and expected output; 0 on an engine that
        only prefills.
    prefill_tokens : int
        Prompt tokens to compute there; 0 on an engine that only decodes.
    kv_bytes : int
        Bytes that its link will carry.
    hold_s : float
        Seconds for which the memory is expected to be held.
    lead_s : float
        Seconds until the memory is needed, were the grant given now.
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
    """A reservation that the home keeps while the entry renews it.

    Parameters
    ----------
    fence : FencingNumber
        The home's, sent along to the engine.
    start_in_s : float
        Seconds until the reserved work may start; the prefill is timed so
        that its result is taken up before it expires.
    """

    grant_id: GrantId
    request_id: RequestId
    upstream_id: UpstreamId
    home: InstanceId
    fence: FencingNumber
    start_in_s: float = 0.0


class HomesPort(Protocol):
    """Reservations, wherever the upstream's home is."""

    def reserve(
        self, request: ReservationRequest, *, timeout_s: float
    ) -> Grant:
        """Return a grant, or raise ``ReservationError``."""

    def release(self, grant: Grant) -> None:
        """Give a grant back; never raises, a lost release is reclaimed."""

    def grow(self, grant: Grant, *, pieces: int) -> bool:
        """Return whether the grant was enlarged by some pieces."""

    def refresh(self, grant: Grant) -> Grant | None:
        """Return the grant under its present home, or None if it is lost.

        Asked before a stream is resumed: a home that took over has another
        fencing number, and the engine may refuse the former one.
        """

    def load(self, upstream_id: UpstreamId) -> LoadReport | None:
        """Return the last known load; lagged, and None when unknown."""

    def report_load(self, report: LoadReport) -> None:
        """Take in a renewal with its load and pass it to the home."""
