"""Decodes the limits agreed with the operators from the platform's names."""

import math
from dataclasses import dataclass

from currantdeal.organisations import QuotaMargin


@dataclass(frozen=True, kw_only=True)
class AgreedBounds:
    """Limits that this program observes.

    Parameters
    ----------
    grace_s : float
        Time between the request to stop and the forced kill.
    retry_ratio, retry_burst, retry_window_s : float
        Retry budget of a service: retries as a fraction of its requests, plus
        a fixed number of retries, in any time window of this length.
    min_order_interval_s : float
        Minimum time between orders of two different holders to one upstream.
    revocation_s : float
        Time after the acknowledgement of a configuration that withdraws a key
        from which no request with it may run; infinite if not bounded.
    quota_margin : QuotaMargin
        Margin above the quotas of organisations.
    """

    grace_s: float
    retry_ratio: float
    retry_burst: float
    retry_window_s: float
    min_order_interval_s: float
    revocation_s: float
    quota_margin: QuotaMargin


def read_bounds(given):
    """Decode the limits; missing ones get conservative defaults."""
    strict = bool(given.get("StrictRevocation", False))
    revocation_s = float(given.get("RevokeMs", 5_000.0)) / 1_000.0
    return AgreedBounds(
        grace_s=float(given.get("GraceS", 8.0)),
        retry_ratio=float(given.get("RetryBudgetRatio", 0.1)),
        retry_burst=float(given.get("RetryBurst", 10.0)),
        retry_window_s=float(given.get("BudgetWindowS", 10.0)),
        min_order_interval_s=float(given.get("LeaseMs", 3_000.0)) / 1_000.0,
        revocation_s=revocation_s if strict else math.inf,
        quota_margin=QuotaMargin(
            window_s=float(given.get("QuotaWindowS", 10.0)),
            overshoot=float(given.get("QuotaOvershoot", 0.1)),
            slack=float(given.get("QuotaSlack", 0.0)),
        ),
    )
