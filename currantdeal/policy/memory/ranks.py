"""Ranks of requests that wait for memory, and what each is due.

Load pattern: contention between priority classes, with a noisy neighbour.
See ``currantdeal.policy.memory.urgency``, which decides by them.
"""

import math
from dataclasses import dataclass
from enum import IntEnum

from currantdeal.policy.load.shared_load import LOAD_INTERVAL_S

SUMS_DELAY_S = 3 * LOAD_INTERVAL_S + 0.05
"""Time until all entries know that a request waits, and have asked again."""

MIN_SERVED_SHARE = 0.5
"""Share of the mean ratio of grants to arrivals that each rank is given."""


MIN_EXPECTED = 0.1
"""Expected arrivals, in requests, below which no room is kept for them."""


class Standing(IntEnum):
    """Order of callers of one urgency; retrying ones follow all others."""

    FIRST_TIME = 0
    ABOVE_SHARE = 1
    RETRYING = 2


@dataclass(frozen=True, kw_only=True)
class Rank:
    """Position of a request among those that wait for memory.

    Parameters
    ----------
    service : str
        Name of the service whose engines it waits for.
    priority : int
        Priority of its organisation, or else of its route; 0 is the highest.
    route_priority : int
        Priority of its route, among requests of one priority.
    standing : Standing
        Standing of its caller.

    Examples
    --------
    >>> rank = Rank(service="m", priority=1, standing=Standing.RETRYING)
    >>> rank.key, Rank.from_key("m/1/0/2") == rank
    ('m/1/0/2', True)
    """

    service: str
    priority: int
    route_priority: int = 0
    standing: Standing = Standing.FIRST_TIME

    @property
    def key(self):
        """Key of the rank in ``PoolLoad.waiting``."""
        urgency = f"{self.priority}/{self.route_priority}"
        return f"{self.service}/{urgency}/{self.standing:d}"

    @property
    def urgency(self):
        """Order of the rank, without the standing."""
        return self.priority, self.route_priority

    @classmethod
    def from_key(cls, key):
        """Return the rank with a key; None if there is none."""
        try:
            service, priority, route_priority, standing = key.rsplit("/", 3)
            return cls(
                service=service,
                priority=int(priority),
                route_priority=int(route_priority),
                standing=Standing(int(standing)),
            )
        except ValueError:
            return None

    def comes_before(self, other):
        """Return whether it is more urgent than a rank of its service."""
        return self.service == other.service and self._order < other._order

    @property
    def _order(self):
        # An answer to a retry is late in any case, and retries may not use
        # all memory: what they leave is for first-time callers of any urgency.
        return self.standing is Standing.RETRYING, *self.urgency, self.standing


@dataclass(frozen=True, kw_only=True)
class RankLoad:
    """Demand of one rank, in tokens and tokens per second."""

    waiting: float = 0.0
    arriving_per_s: float = 0.0
    granted_per_s: float = 0.0


def expected_shortfall(arriving_per_s, freed_per_s, *, size):
    """Return the tokens that arrivals may lack until the sums show them.

    Memory is freed in that time too; what must be kept is the excess of the
    arrivals, and one standard deviation of their number.

    Parameters
    ----------
    size : int
        Tokens of one request.

    Examples
    --------
    >>> expected_shortfall(0, 9_000, size=1_000)
    0.0
    >>> round(expected_shortfall(8_000, 9_000, size=1_000))
    2000
    """
    expected = SUMS_DELAY_S * arriving_per_s
    if expected < MIN_EXPECTED * size:
        return 0.0
    excess = SUMS_DELAY_S * max(0.0, arriving_per_s - freed_per_s)
    return excess + math.sqrt(expected * size)


def is_starved(rank, loads):
    """Return whether a rank was granted too little beside all ranks.

    Parameters
    ----------
    loads : dict
        ``RankLoad`` of each rank.

    Examples
    --------
    >>> first, last = Rank(service="m", priority=0), Rank(
    ...     service="m", priority=2)
    >>> is_starved(last, {
    ...     first: RankLoad(arriving_per_s=100, granted_per_s=100),
    ...     last: RankLoad(arriving_per_s=100, granted_per_s=20)})
    True
    """
    arriving_per_s = sum(load.arriving_per_s for load in loads.values())
    granted_per_s = sum(load.granted_per_s for load in loads.values())
    load = loads.get(rank, RankLoad())
    mean = granted_per_s / arriving_per_s if arriving_per_s else 0.0
    fair_per_s = MIN_SERVED_SHARE * mean * load.arriving_per_s
    return load.granted_per_s < fair_per_s


def above_share(wanted, held):
    """Return the organisations that want more than an even share.

    The share is the level at which all demands, cut to it, add up to what is
    held: max-min fairness.

    Parameters
    ----------
    wanted : dict
        Tokens that each organisation holds and waits for.
    held : int
        Tokens that they hold in all.

    Examples
    --------
    >>> sorted(above_share({"hot": 9000, "a": 2000, "b": 1000}, 8000))
    ['hot']
    >>> sorted(above_share({"a": 2000, "b": 1000}, 3000))
    []
    """
    left, level = held, math.inf
    ordered = sorted(wanted.values())
    for served, demand in enumerate(ordered):
        level = left / (len(ordered) - served)
        if demand > level:
            break
        left -= demand
    else:
        return frozenset()
    return frozenset(name for name, tokens in wanted.items() if tokens > level)
