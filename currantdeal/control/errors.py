"""Defines the errors of control."""

from currantdeal.core.errors import CurrantdealError


class ControlError(CurrantdealError):
    """Base of the errors of this package."""


class NotCommittedError(ControlError):
    """The outcome of a change is unknown; it is safe to retry."""


class NotCertainError(ControlError):
    """The newest configuration cannot be determined by this replica."""
