"""Defines the errors of the replicated state."""

from currantdeal.core import CurrantdealError


class StateError(CurrantdealError):
    """Base of the state layer's errors."""


class SnapshotError(StateError):
    """Bytes are not a valid snapshot of the state."""
