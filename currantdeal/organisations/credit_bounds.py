"""Divides a quota and its margin into the parts that credit may use."""

from dataclasses import dataclass
from functools import singledispatch

from currantdeal.organisations.records import Quota, RetryAllowance

POOL_SHARE = 0.15
"""Share of the margin for the reserves of the entries."""

MAX_OPEN_S = 0.4
"""Time for which the credit of one request stays open.

It covers a round trip to the owner on which one packet is lost.
"""

RETRY_OPEN_S = 1.0
"""Time for which the credit of one retry stays open.

It covers the opening of a connection.
"""

RETRY_BASE_SHARE = 0.5
"""Share of an allowance of retries that a new owner grants from its start."""

CLOCK_DRIFT = 0.02
"""Largest relative difference in rate between two clocks."""

BASE_DEPTH_S = 1.0
"""Capacity of the bucket, as the time in which it fills."""


@dataclass(frozen=True, kw_only=True, slots=True)
class QuotaMargin:
    """What operators allow above each quota.

    Parameters
    ----------
    window_s : float
        Length of the sliding window in which use is counted.
    overshoot : float
        Margin as a share of the quota in a window.
    slack : float
        Further margin, in units of the quota.
    """

    window_s: float
    overshoot: float
    slack: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CreditBounds:
    """Parts into which a quota and its margin are divided.

    Parameters
    ----------
    window_s : float
        Length of the sliding window in which grants are counted.  It is longer
        than that of the use by the time for which credit stays open.
    base_rate_per_s, base_depth : float
        Token bucket, from which an owner grants from its start.
    extra : float
        Units in a window that an owner grants beyond the bucket.
    pools : float
        Largest sum of the reserves of all entries.
    open_s : float
        Time for which the credit of one request stays open.

    Examples
    --------
    >>> from currantdeal.organisations import Quota
    >>> margin = QuotaMargin(window_s=8.2, overshoot=0.1, slack=930.0)
    >>> bounds = bounds_of(Quota(rate_per_s=100.0, burst=180.0), margin)
    >>> bounds.base_rate_per_s, round(bounds.extra), bounds.pools
    (100.0, 876, 154.5)
    """

    window_s: float
    base_rate_per_s: float
    base_depth: float
    extra: float
    pools: float
    open_s: float = MAX_OPEN_S


@singledispatch
def bounds_of(quota, margin):
    """Return the ``CreditBounds`` of a quota or an allowance.

    The margin of a quota is a ``QuotaMargin``; an allowance has none.
    """
    raise TypeError(f"nothing that credit can limit: {quota!r}")


@bounds_of.register
def _(quota: RetryAllowance, margin):
    open_s = RETRY_OPEN_S * (1.0 + CLOCK_DRIFT)
    window_s = quota.window_s + open_s
    counted_s = window_s + open_s
    base_rate_per_s = RETRY_BASE_SHARE * quota.units / counted_s
    base_depth = BASE_DEPTH_S * base_rate_per_s
    return CreditBounds(
        window_s=window_s,
        base_rate_per_s=base_rate_per_s,
        base_depth=base_depth,
        extra=quota.units - base_rate_per_s * counted_s - base_depth,
        pools=0.0,
        open_s=RETRY_OPEN_S,
    )


@bounds_of.register
def _(quota: Quota, margin):
    limit = quota.rate_per_s * margin.window_s + quota.burst
    spare = margin.overshoot * limit + margin.slack
    pools = POOL_SHARE * spare
    allowance = limit + spare - pools
    window_s = margin.window_s + MAX_OPEN_S
    # Credit that is returned to the bucket may be of a grant that was made
    # before the window.
    counted_s = window_s + MAX_OPEN_S
    # A burst must be possible at any time.
    base_rate_per_s = min(
        quota.rate_per_s, (allowance - quota.burst) / counted_s
    )
    base_depth = BASE_DEPTH_S * base_rate_per_s
    return CreditBounds(
        window_s=window_s,
        base_rate_per_s=base_rate_per_s,
        base_depth=base_depth,
        extra=allowance - base_rate_per_s * counted_s - base_depth,
        pools=pools,
    )
