"""Messages about limits of upstreams, see ``currantdeal.node.messages``."""

from dataclasses import dataclass

from currantdeal.policy.limits.limit_owner import LimitAsk, LimitGrant


@dataclass(frozen=True, kw_only=True)
class LimitCall:
    """An entry asks for a slot at an upstream; returns a ``LimitAnswer``.

    Control instances forward it to the leader.
    """

    ask: LimitAsk


@dataclass(frozen=True, kw_only=True)
class LimitAnswer:
    """The slot that the owner of the limits assigns.

    Parameters
    ----------
    grant : LimitGrant or None
        None if no owner was reached.
    """

    grant: LimitGrant | None = None
