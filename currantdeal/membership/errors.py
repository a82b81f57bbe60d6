"""Errors of the membership package."""

from currantdeal.core import CurrantdealError


class MembershipError(CurrantdealError):
    """Base of the errors of membership and homes."""


class WireError(MembershipError):
    """A datagram does not hold a membership message."""
