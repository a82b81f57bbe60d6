"""Errors of the membership package."""

from currantdeal.core import CurrantdealError


class MembershipError(CurrantdealError):
    """Base class of the errors of membership and homes."""


class WireError(MembershipError):
    """Received bytes cannot be decoded."""
