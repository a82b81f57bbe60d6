"""Answers that the replicated state gives to commands."""

from dataclasses import dataclass

from currantdeal.core import FencingNumber
from currantdeal.state.cluster import Claim


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The change is made, at this version of the state."""

    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another change came first; nothing was changed."""

    current_version: int
    message: str


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """The command makes no sense in this state; nothing was changed."""

    message: str


@dataclass(frozen=True, kw_only=True)
class HomeAssigned:
    """The proposer is home, under this fencing number."""

    version: int
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class OrderIssued:
    """The order is kept under this number."""

    version: int
    order_id: int


@dataclass(frozen=True, kw_only=True)
class ClaimGranted:
    """The proposer, and nobody else, may send the call."""

    token: int


@dataclass(frozen=True, kw_only=True)
class ClaimExists:
    """The call has been claimed before; its claim tells how it went."""

    claim: Claim


@dataclass(frozen=True, kw_only=True)
class ClaimMismatch:
    """The key was used before for a call with another body."""

    message: str


@dataclass(frozen=True, kw_only=True)
class ClaimTableFull:
    """No claim can be kept at present, so the call must not run."""

    retry_after_s: float


Result = (
    Applied
    | Conflict
    | Invalid
    | HomeAssigned
    | OrderIssued
    | ClaimGranted
    | ClaimExists
    | ClaimMismatch
    | ClaimTableFull
)

RESULTS = Result.__args__
