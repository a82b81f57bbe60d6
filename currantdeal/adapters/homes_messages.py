"""Messages within one instance to the actor that keeps its homes."""

from dataclasses import dataclass

from currantdeal.core import FencingNumber, UpstreamId
from currantdeal.membership import (
    ClaimsAnswer,
    GiveHome,
    TakeHome,
)
from currantdeal.ports import HeldMemory
from currantdeal.state import OrderStatus


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, kw_only=True)
class HandOver:
    """Give all homes to others and take no more."""


@dataclass(frozen=True, kw_only=True)
class MoveEnded:
    """A proposal to move a home was answered.

    Parameters
    ----------
    fence : FencingNumber or None
        The fencing number, if this instance has become home.
    version : int
        Version of the state in which it did.
    """

    move: TakeHome | GiveHome
    fence: FencingNumber | None = None
    version: int = 0


@dataclass(frozen=True, kw_only=True)
class FormerEnded:
    """The former home of an upstream can grant no more."""

    upstream_id: UpstreamId
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class ClaimsTaken:
    """Living entries have told what they hold, and the engine as well."""

    upstream_id: UpstreamId
    fence: FencingNumber
    answers: tuple[ClaimsAnswer, ...]
    held: tuple[HeldMemory, ...]


@dataclass(frozen=True, kw_only=True)
class HeldTaken:
    """The engine has told what it holds."""

    upstream_id: UpstreamId
    fence: FencingNumber
    held: tuple[HeldMemory, ...]


@dataclass(frozen=True, kw_only=True)
class CheckFailed:
    """The engine did not tell what it holds."""

    upstream_id: UpstreamId


@dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """An engine has answered an order; no status when it has not.

    Parameters
    ----------
    recorded : bool
        True when the end is in the replicated state.
    """

    order_id: int
    upstream_id: UpstreamId
    status: OrderStatus | None
    recorded: bool = False


@dataclass(frozen=True, kw_only=True)
class RetireEnded:
    """A proposal to retire an upstream was answered."""

    upstream_id: UpstreamId
