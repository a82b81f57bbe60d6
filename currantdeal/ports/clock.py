"""Protocol for time, so that tests can control it."""

from typing import Protocol


class Clock(Protocol):
    """Source of time.

    Durations and deadlines use ``monotonic_s``; ``wall_s`` is used only for
    timestamps of audit records and claims.
    """

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never decreases."""

    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Block for the given time."""
