"""Retry-after time of a refused request.

Load pattern: thundering herd of retries.  A caller that retries at once does
so into the same burst; callers with the same retry-after time retry together
and cause the next burst.  So the time is drawn uniformly from a range.

A lack of memory lasts until streams end; a missing upstream or configuration
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


_RANGES_S = {
    RefusalReason.MEMORY: (0.8, 3.0),
    RefusalReason.UPSTREAMS: (0.2, 0.6),
    RefusalReason.CONFIGURATION: (0.3, 1.0),
    RefusalReason.STOPPING: (0.05, 0.2),
    RefusalReason.QUARANTINE: (60.0, 90.0),
}


def choose_retry_after_s(refusal_reason, time_left_s, random):
    """Return the seconds after which to retry a refused request.

    Except in quarantine they are a third of the time left at most, so that a
    retry can still be served.

    Parameters
    ----------
    refusal_reason : RefusalReason
        Why the request was refused.
    time_left_s : float
        Seconds until the timeout of the caller.
    random : random.Random
        Source of the spread.

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
    """
    low_s, high_s = _RANGES_S[refusal_reason]
    wanted_s = random.uniform(low_s, high_s)
    if refusal_reason is RefusalReason.QUARANTINE:
        return round(wanted_s, 3)
    return round(min(wanted_s, time_left_s / 3.0), 3)
