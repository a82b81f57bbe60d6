"""Protocol for counters, gauges and histograms."""

from typing import Protocol


class MetricsPort(Protocol):
    """Metrics of one instance; names carry their unit as a suffix.

    Labels are passed as keyword arguments.  Each call for a metric must pass
    the same label names.
    """

    def add(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter; its name ends in ``_total``."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram."""
