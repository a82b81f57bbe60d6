"""Messages to the actor that owns the homes of an instance."""

from dataclasses import dataclass

from currantdeal.core import FencingNumber, UpstreamId
from currantdeal.membership import (
    ClaimsAnswer,
    HandOverHome,
    TakeOverHome,
)
from currantdeal.ports import HeldMemory
from currantdeal.state import OrderStatus


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Periodic trigger for planning and checks."""


@dataclass(frozen=True, kw_only=True)
class HandOver:
    """Move all homes to other instances and take no new ones."""


@dataclass(frozen=True, kw_only=True)
class MoveEnded:
    """A proposal to move a home has completed.

    Parameters
    ----------
    fence : FencingNumber or None
        Fencing number, if this instance has become home.
    version : int
        Version of the state in which this instance became home.
    """

    move: TakeOverHome | HandOverHome
    fence: FencingNumber | None = None
    version: int = 0


@dataclass(frozen=True, kw_only=True)
class FormerHomeStopped:
    """The former home of an upstream can no longer grant memory."""

    upstream_id: UpstreamId
    fence: FencingNumber


@dataclass(frozen=True, kw_only=True)
class ClaimsCollected:
    """Reachable entries and the engine have reported what they hold."""

    upstream_id: UpstreamId
    fence: FencingNumber
    answers: tuple[ClaimsAnswer, ...]
    held: tuple[HeldMemory, ...]


@dataclass(frozen=True, kw_only=True)
class HeldReported:
    """The engine has reported the memory it holds."""

    upstream_id: UpstreamId
    fence: FencingNumber
    held: tuple[HeldMemory, ...]


@dataclass(frozen=True, kw_only=True)
class HeldCheckFailed:
    """The engine did not report the memory it holds."""

    upstream_id: UpstreamId


@dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """An attempt to execute or record an order has ended.

    Parameters
    ----------
    status : OrderStatus or None
        Result of the order; None if the engine did not answer.
    recorded : bool
        True when the result is in the replicated state.
    """

    order_id: int
    upstream_id: UpstreamId
    status: OrderStatus | None
    recorded: bool = False


@dataclass(frozen=True, kw_only=True)
class RetireEnded:
    """A proposal to retire an upstream has completed."""

    upstream_id: UpstreamId
