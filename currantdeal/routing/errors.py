"""Errors of the routing layer."""

from currantdeal.core.errors import CurrantdealError


class RoutingError(CurrantdealError):
    """Base class of the errors of this package."""


class InvalidConfigError(RoutingError):
    """A configuration is invalid and must not be applied."""
