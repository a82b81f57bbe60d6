"""Errors of control."""

from currantdeal.core.errors import CurrantdealError


class ControlError(CurrantdealError):
    """Base of the errors of this package."""


class NotCommittedError(ControlError):
    """A change may or may not come into force; it can be sent again."""


class NotCertainError(ControlError):
    """Nobody here can tell which configuration is the newest."""
