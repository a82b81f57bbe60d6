"""Time and chance, so that tests decide both."""

from typing import Protocol


class Clock(Protocol):
    """Source of time.

    Durations and deadlines use ``monotonic_s``; ``wall_s`` only dates audit
    records and claims.
    """

    def monotonic_s(self) -> float:
        """Return seconds since an arbitrary start; never goes back."""

    def wall_s(self) -> float:
        """Return seconds since the epoch."""

    def sleep(self, seconds: float) -> None:
        """Return after the given time."""
