"""Retry-after time of a refused request.

Load pattern: thundering herd of retries.  A caller that retries at once does
so into the same burst; callers with the same retry-after time retry together
and cause the next burst.  So the time is drawn uniformly from a range.

A lack of memory lasts until streams end, and a retry budget is used up while
upstreams fail or refuse for seconds; a missing upstream or configuration
is usually back sooner.  A quarantined request cannot be served within its
caller's timeout, so its retry-after time is long and not limited by the time
left.
"""

from enum import Enum


class RefusalReason(str, Enum):
    """Why a request was refused."""

    MEMORY = "memory"
    UPSTREAMS = "upstreams"
    CONFIGURATION = "configuration"
    STOPPING = "stopping"
    QUARANTINE = "quarantine"
    QUOTA = "quota"
    QUOTA_OWNER = "quota-owner"
    LIMIT = "limit"
    LIMIT_OWNER = "limit-owner"
    RETRY_BUDGET = "retry-budget"


_RANGES_S = {
    RefusalReason.MEMORY: (0.8, 3.0),
    RefusalReason.UPSTREAMS: (0.2, 0.6),
    RefusalReason.CONFIGURATION: (0.3, 1.0),
    RefusalReason.STOPPING: (0.05, 0.2),
    RefusalReason.QUARANTINE: (60.0, 90.0),
    RefusalReason.QUOTA: (0.5, 1.5),
    RefusalReason.QUOTA_OWNER: (0.2, 0.6),
    RefusalReason.LIMIT: (0.5, 1.5),
    RefusalReason.LIMIT_OWNER: (0.2, 0.6),
    RefusalReason.RETRY_BUDGET: (0.8, 3.0),
}

MEMORY_SPREAD = 1.0
"""Share by which a predicted time for memory is extended at most, at random.

The prediction is uncertain, and the callers of a burst have about the same.
"""

QUOTA_SPREAD = 0.2
"""Share by which the time of a quota is extended at most, at random."""


def choose_retry_after_s(
    refusal_reason, time_left_s, random, *, allowed_after_s=None
):
    """Return the seconds after which to retry a refused request.

    Except in quarantine, over a quota and over the limit of an upstream they
    are a third of the time left at most, so that a retry can still be served.

    Parameters
    ----------
    refusal_reason : RefusalReason
        Why the request was refused.
    time_left_s : float
        Seconds until the timeout of the caller.
    random : random.Random
        Source of the spread.
    allowed_after_s : float or None
        Seconds after which a quota or a limit allows the request, if it was
        refused for that; or after which memory is predicted to be free.

    Examples
    --------
    >>> from random import Random
    >>> memory = RefusalReason.MEMORY
    >>> 0.8 <= choose_retry_after_s(memory, 14.0, Random(1)) <= 3.0
    True
    >>> choose_retry_after_s(memory, 0.3, Random(1)) <= 0.1
    True
    >>> choose_retry_after_s(RefusalReason.QUARANTINE, 0.3, Random(1)) >= 60.0
    True
    >>> quota = RefusalReason.QUOTA
    >>> after_s = choose_retry_after_s(
    ...     quota, 0.3, Random(1), allowed_after_s=5.0)
    >>> 5.0 <= after_s <= 6.0
    True

    The predicted time for memory is spread over twice its length:

    >>> after_s = choose_retry_after_s(
    ...     memory, 14.0, Random(1), allowed_after_s=2.0)
    >>> 2.0 <= after_s <= 4.0
    True

    A limit allows each request at a time of its own:

    >>> choose_retry_after_s(
    ...     RefusalReason.LIMIT, 0.3, Random(1), allowed_after_s=5.0)
    5.0
    """
    low_s, high_s = _RANGES_S[refusal_reason]
    if refusal_reason is RefusalReason.MEMORY and allowed_after_s is not None:
        low_s = min(high_s, max(low_s, allowed_after_s))
        high_s = low_s * (1.0 + MEMORY_SPREAD)
    elif allowed_after_s is not None:
        spread = QUOTA_SPREAD * (refusal_reason is RefusalReason.QUOTA)
        return round(allowed_after_s * random.uniform(1.0, 1.0 + spread), 3)
    wanted_s = random.uniform(low_s, high_s)
    if refusal_reason is RefusalReason.QUARANTINE:
        return round(wanted_s, 3)
    return round(min(wanted_s, time_left_s / 3.0), 3)
