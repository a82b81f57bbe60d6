"""Counters, gauges and histograms, for every package that keeps some."""

from typing import Protocol


class MetricsPort(Protocol):
    """Metrics of one instance; names carry their unit as a suffix.

    Labels are given as keyword arguments, the same names at each call.
    """

    def add(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Add to a counter; its name ends in ``_total``."""

    def set(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Put a value into a histogram."""
