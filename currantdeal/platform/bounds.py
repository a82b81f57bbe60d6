"""Limits agreed with the operators, under the platform's names."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class AgreedBounds:
    """The limits that the product keeps.

    Parameters
    ----------
    grace_s : float
        Time between the request to stop and the kill.
    retry_ratio, retry_allowance, retry_window_s : float
        Repeats of requests at a service: a share of the requests, and a
        number beyond that, in any window of that length.
    order_pause_s : float
        Time between orders of two holders to one upstream.
    """

    grace_s: float
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    order_pause_s: float


def read_bounds(given):
    """Decode the limits; those that are missing get cautious figures."""
    return AgreedBounds(
        grace_s=float(given.get("GraceS", 8.0)),
        retry_ratio=float(given.get("RetryBudgetRatio", 0.1)),
        retry_allowance=float(given.get("RetryBurst", 10.0)),
        retry_window_s=float(given.get("BudgetWindowS", 10.0)),
        order_pause_s=float(given.get("LeaseMs", 3_000.0)) / 1_000.0,
    )
