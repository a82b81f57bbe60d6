"""Defines the results of commands to the replicated state."""

from dataclasses import dataclass

from currantdeal.core import FencingNumber
from currantdeal.state.cluster import Claim


@dataclass(frozen=True, kw_only=True)
class Applied:
    """The command was applied, at this version of the state."""

    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another change was applied first; nothing was changed."""

    current_version: int
    message: str


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """The command is not valid in this state; nothing was changed."""

    message: str


@dataclass(frozen=True, kw_only=True)
class HomeAssigned:
    """The proposed instance is home, with this fencing number."""

    version: int
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class OrderIssued:
    """The order is stored under this id."""

    version: int
    order_id: int


@dataclass(frozen=True, kw_only=True)
class ClaimGranted:
    """The proposer has the exclusive right to send the call."""

    token: int


@dataclass(frozen=True, kw_only=True)
class ClaimExists:
    """The call was claimed before; the claim has its status and answer."""

    claim: Claim


@dataclass(frozen=True, kw_only=True)
class ClaimMismatch:
    """The key was used before for a call with another digest."""

    message: str


@dataclass(frozen=True, kw_only=True)
class ClaimTableFull:
    """No further claim can be stored now, so the call must not run."""

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
