"""Errors of the routing layer."""

from currantdeal.core.errors import CurrantdealError


class RoutingError(CurrantdealError):
    """Base of the errors of this package."""


class InvalidConfigError(RoutingError):
    """A configuration must not come into force; the message says why."""
