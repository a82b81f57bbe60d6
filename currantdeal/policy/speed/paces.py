"""Measured times of work at upstreams, as sums that can be added.

Load pattern: stragglers.  Upstreams of a pool differ in speed, for good or for
a while.  Each entry sends too little work to know them, so entries share what
they measured.

Paces are nested mappings: of a pool, see ``pool_key``, to upstreams, see
``process_key``, to ``(nominal ms, ms taken, measurements)``.
"""

import math
from dataclasses import dataclass
from enum import Enum

PACE_INTERVAL_S = 0.9
"""Interval at which paces are sent, at each step of the exchange of loads."""

ALL = ""
"""Key of the sum over all upstreams of a pool."""

SINGLE_ERROR = 0.6
"""Relative error of one measurement; queues are known only roughly."""

MIN_ERROR = 0.05
"""Relative error that remains however much was measured."""

EVEN_POOL_ERRORS = 2.5
"""Factor of the errors in a pool that is as even as they allow.

Among many upstreams, some exceed their error by chance.
"""

MIN_UNUSUAL = 2
"""Upstreams beyond their error that make a pool uneven; one is an outlier."""

MAX_SLOWDOWN = 10.0

PROCESS_MASK = 0xFFFF  # bits of the start that tell two processes apart


class Work(str, Enum):
    """Kind of work whose time is measured."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


@dataclass(frozen=True, kw_only=True)
class SpeedEstimate:
    """Estimated speed of an upstream at one kind of work.

    Parameters
    ----------
    slowdown : float
        Time that work takes there, as a multiple of the pool's own figure.
    error : float
        Error of the slowdown; infinite without history.
    age_s : float
        Seconds since the last work that was measured.

    Examples
    --------
    >>> SpeedEstimate(slowdown=1.7, error=0.2, age_s=0.0).factor
    1.7
    >>> SpeedEstimate(slowdown=1.2, error=0.2, age_s=0.0).factor
    1.0
    """

    slowdown: float = 1.0
    error: float = math.inf
    age_s: float = math.inf

    @property
    def factor(self):
        """The slowdown as far as it exceeds its error; choices use it.

        It is 1 up to the error and the slowdown from twice the error on.
        """
        difference = self.slowdown - 1.0
        excess = max(0.0, abs(difference) - self.error)
        return 1.0 + math.copysign(
            min(abs(difference), 2 * excess), difference
        )


UNKNOWN_SPEED = SpeedEstimate()


@dataclass(frozen=True, kw_only=True)
class PoolSpeeds:
    """Speeds of the upstreams of one pool.

    Parameters
    ----------
    pace : float
        Time that work takes on average, as a multiple of its nominal time.
    slowdowns : dict
        Slowdown and error of each upstream.
    """

    pace: float
    slowdowns: dict[str, tuple[float, float]]

    @property
    def is_uneven(self):
        """Whether several upstreams differ from the pool."""
        found = self.slowdowns.values()
        return sum(_is_unusual(*of_one) for of_one in found) >= MIN_UNUSUAL


def pool_key(work, pool):
    """Return the key of the paces of one kind of work in a pool.

    Examples
    --------
    >>> pool_key(Work.PREFILL, "llm")
    'prefill/llm'
    """
    return f"{work.value}/{pool}"


def process_key(record):
    """Return the key of an upstream's process, as short as possible.

    Examples
    --------
    >>> from types import SimpleNamespace
    >>> process_key(SimpleNamespace(upstream="e1", started_ms=0x10ABC))
    'e1:abc'
    """
    return f"{record.upstream}:{record.started_ms & PROCESS_MASK:x}"


def add_paces(sums, more):
    """Add paces to others in place.

    Examples
    --------
    >>> sums = {"prefill/llm": {"e1": (100, 200, 1)}}
    >>> add_paces(sums, {"prefill/llm": {"e1": (50, 60, 1)}})
    >>> sums
    {'prefill/llm': {'e1': (150, 260, 2)}}
    """
    for pool, upstreams in more.items():
        into = sums.setdefault(pool, {})
        for name, pace in upstreams.items():
            before = into.get(name, (0, 0, 0))
            into[name] = tuple(map(sum, zip(before, pace, strict=True)))


def pool_speeds(upstreams):
    """Return the ``PoolSpeeds`` of the paces of one pool.

    Examples
    --------
    >>> speeds = pool_speeds({"e1": (1000, 1500, 36), "e2": (500, 1500, 36)})
    >>> speeds.pace, speeds.slowdowns["e1"][0], speeds.is_uneven
    (2.0, 0.75, True)
    """
    nominal, taken, _ = _total(upstreams)
    pace = taken / nominal if nominal and taken else 1.0
    slowdowns = {
        name: (_slowdown(of_one, pace), _error(of_one[2]))
        for name, of_one in upstreams.items()
        if name != ALL and of_one[0] and of_one[2]
    }
    if ALL not in upstreams and _is_even(slowdowns.values()):
        slowdowns = {
            name: (slowdown, EVEN_POOL_ERRORS * error)
            for name, (slowdown, error) in slowdowns.items()
        }
    return PoolSpeeds(pace=pace, slowdowns=slowdowns)


def unusual_paces(paces):
    """Return the pools' totals, and the paces beyond their error.

    Examples
    --------
    >>> even = {f"e{n}": (1000, 1000, 36) for n in range(9)}
    >>> unusual_paces({"prefill/llm": {**even, "slow": (500, 1000, 36)}})
    {'prefill/llm': {'slow': (500, 1000, 36), '': (9500, 10000, 360)}}
    """
    return {
        pool: {
            **{
                name: upstreams[name]
                for name, found in pool_speeds(upstreams).slowdowns.items()
                if _is_unusual(*found)
            },
            ALL: _total(upstreams),
        }
        for pool, upstreams in paces.items()
    }


def _is_unusual(slowdown, error):
    return abs(slowdown - 1.0) > error


def _is_even(slowdowns):
    """Return whether upstreams differ by no more than their errors."""
    ratios = [(slowdown - 1.0) / error for slowdown, error in slowdowns]
    return sum(ratio * ratio for ratio in ratios) <= len(ratios)


def _total(upstreams):
    if ALL in upstreams:
        return tuple(upstreams[ALL])
    paces = zip(*upstreams.values(), strict=True)
    return tuple(sum(column) for column in paces) or (0, 0, 0)


def _slowdown(pace, pool_pace):
    nominal, taken, _ = pace
    slowdown = taken / nominal / pool_pace
    return min(MAX_SLOWDOWN, max(1 / MAX_SLOWDOWN, slowdown))


def _error(measurements):
    return MIN_ERROR + SINGLE_ERROR / math.sqrt(measurements)
