"""Retry-after of a refused request.

Load pattern: thundering herd of retries.  Whoever is told to retry at once
comes back into the same burst; all who are told the same time come back
together and make the next one.  So the time is spread evenly over a range.

A lack of memory eases as streams end; a missing upstream or configuration is
back sooner.  A request in quarantine is not served within its caller's
patience, so it is not told to come back within it.
"""

from enum import Enum


class Shortage(str, Enum):
    """Why a request was refused."""

    MEMORY = "memory"
    UPSTREAMS = "upstreams"
    CONFIGURATION = "configuration"
    STOPPING = "stopping"
    QUARANTINE = "quarantine"


_RANGES_S = {
    Shortage.MEMORY: (0.8, 3.0),
    Shortage.UPSTREAMS: (0.2, 0.6),
    Shortage.CONFIGURATION: (0.3, 1.0),
    Shortage.STOPPING: (0.05, 0.2),
    Shortage.QUARANTINE: (60.0, 90.0),
}


def return_after_s(shortage, time_left_s, random):
    """Return the seconds after which to come back.

    Examples
    --------
    >>> from random import Random
    >>> 0.8 <= return_after_s(Shortage.MEMORY, 14.0, Random(1)) <= 3.0
    True
    >>> return_after_s(Shortage.MEMORY, 0.3, Random(1)) <= 0.1
    True
    >>> return_after_s(Shortage.QUARANTINE, 0.3, Random(1)) >= 60.0
    True
    """
    low_s, high_s = _RANGES_S[shortage]
    wanted_s = random.uniform(low_s, high_s)
    if shortage is Shortage.QUARANTINE:
        return round(wanted_s, 3)
    return round(min(wanted_s, time_left_s / 3.0), 3)
