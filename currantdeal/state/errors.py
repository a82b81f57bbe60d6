"""Errors of the replicated state."""

from currantdeal.core import CurrantdealError


class StateError(CurrantdealError):
    """Base of the state layer's errors."""


class SnapshotError(StateError):
    """Bytes do not hold a snapshot of the state."""
