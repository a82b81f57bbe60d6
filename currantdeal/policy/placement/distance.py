"""Decision when a request leaves its data centre, and how many do.

Load pattern: hot spot in one data centre.  Demand moves between data centres,
so upstreams near the callers are too few while others are idle.  Leaving costs
round trips, transfers and what an operator names as the price of bytes; it
pays where the wait here is longer than that.  Entries decide by the same sums,
a few tenths of a second old, so each sends only a share away.

All costs are seconds of a caller's wait.
"""

from collections import deque
from dataclasses import dataclass
from enum import IntEnum

from currantdeal.policy.memory.ranks import SUMS_DELAY_S

SAMPLES = 3
"""Round trips kept for a data centre; the shortest one counts."""

MAX_SAMPLE_AGE_S = 30.0
"""Age from which a round trip is no longer used."""

NEAR_S = 0.01
"""Cost beyond the nearest candidate up to which an upstream is near."""

MEMORY_WAIT_TARGETS = 2 / 3
"""Longest wait for memory, as a multiple of the latency target of the route.

The rest is for the prefill, the KV cache transfer and the first event.
"""

SLOT_WAIT_TARGETS = 0.5
"""Longest wait for a slot of an upstream, as a multiple of the target."""

RUN_ROUND_TRIPS = 3
"""Round trips of a generation: reservation, prefill and run."""

MIN_UNIT_S = 1e-9
LEVEL_STEPS = 12
GIGABYTE = 1e9

DEFAULT_TRANSFER_S = (0.0, 0.005, 0.06)
"""Transfer of a KV cache of unknown size, by ``Proximity``."""


class Proximity(IntEnum):
    """How near two data centres are; they may be the same one."""

    DATA_CENTER = 0
    REGION = 1
    ELSEWHERE = 2


@dataclass(frozen=True, kw_only=True)
class DistanceSettings:
    """What operators say about distance, by ``Proximity``.

    Parameters
    ----------
    round_trip_ms : tuple of float
        Round trip until one is measured: within a data centre, between two
        of a region, and between regions.
    wait_s_per_gb : tuple of float
        Price of bytes between two data centres of a region, and between
        regions: the seconds that a caller may wait to save a gigabyte.
    """

    round_trip_ms: tuple[float, float, float] = (1.0, 2.0, 25.0)
    wait_s_per_gb: tuple[float, float] = (0.0, 0.0)


@dataclass(frozen=True, kw_only=True)
class RoundTrip:
    """Estimated round trip to a data centre.

    Parameters
    ----------
    seconds, error_s : float
        The estimate, and by how much it may be wrong.
    age_s : float or None
        Age of the newest measurement; None if it comes from the settings.
    """

    seconds: float
    error_s: float
    age_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class KvTransfer:
    """Transfer of a KV cache between engines.

    Parameters
    ----------
    size_bytes : float
        Size of the cache.
    seconds : tuple of float
        Duration by ``Proximity`` of the engines.
    """

    size_bytes: float
    seconds: tuple[float, float, float]


class DistanceCosts:
    """Costs of the ways from and between data centres, as an entry sees them.

    Parameters
    ----------
    home : str
        Data centre of the entry.
    proximity : callable
        ``Proximity`` of two data centres.
    settings : DistanceSettings
        What operators say.

    Examples
    --------
    >>> same = Proximity.DATA_CENTER
    >>> costs = DistanceCosts(
    ...     home="a", settings=DistanceSettings(),
    ...     proximity=lambda a, b: same if a == b else Proximity.ELSEWHERE)
    >>> costs.seconds("a", "b", trips=1, now_s=0.0)
    0.024
    >>> costs.record_round_trip("b", 0.05, now_s=0.0)
    >>> round(costs.seconds("a", "b", trips=1, now_s=0.0), 3)
    0.049
    >>> costs.seconds("a", "a", trips=1, now_s=0.0)
    0.0
    """

    def __init__(self, *, home, proximity, settings=None):
        """Start without measurements."""
        self.settings = settings or DistanceSettings()
        self._home = home
        self._proximity = proximity
        self._samples = {}

    def record_round_trip(self, data_center, took_s, *, now_s):
        """Record how long an exchange with a data centre took."""
        samples = self._samples.setdefault(data_center, deque(maxlen=SAMPLES))
        samples.append((now_s, took_s))

    def round_trip(self, data_center, *, now_s):
        """Return the ``RoundTrip`` between the entry and a data centre."""
        proximity = self._proximity(self._home, data_center)
        samples = self._samples.get(data_center)
        if samples is None or now_s - samples[-1][0] > MAX_SAMPLE_AGE_S:
            return self._unmeasured(proximity)
        ordered = sorted(took_s for _, took_s in samples)
        return RoundTrip(
            seconds=ordered[0],
            error_s=ordered[len(ordered) // 2] - ordered[0],
            age_s=now_s - samples[-1][0],
        )

    def seconds(self, first, second, *, trips, now_s, size_bytes=0, kv=None):
        """Return what a way costs beyond one within the data centre.

        Parameters
        ----------
        first, second : str
            The data centres.
        trips : int
            Round trips that a request needs.
        size_bytes : float
            Bytes that it sends, apart from a KV cache.
        kv : KvTransfer or None
            KV cache that is transferred.
        """
        if first == second:
            return 0.0
        proximity = self._proximity(first, second)
        there = self._between(first, second, proximity, now_s)
        here_s = self._home_round_trip_s(now_s)
        beyond_s = trips * max(0.0, there.seconds - here_s)
        if kv is not None:
            size_bytes += kv.size_bytes
            beyond_s += kv.seconds[proximity] - kv.seconds[0]
        return beyond_s + self._price_s(proximity, size_bytes)

    def _home_round_trip_s(self, now_s):
        # Busy engines here answer late; that does not bring others nearer.
        configured_s = self._unmeasured(Proximity.DATA_CENTER).seconds
        measured = self.round_trip(self._home, now_s=now_s)
        return min(configured_s, measured.seconds)

    def _price_s(self, proximity, size_bytes):
        if proximity is Proximity.DATA_CENTER:
            return 0.0
        price = self.settings.wait_s_per_gb[proximity - 1]
        return price * size_bytes / GIGABYTE

    def _between(self, first, second, proximity, now_s):
        """Return the ``RoundTrip`` of a pair; the entry measures its own."""
        if self._home in (first, second):
            other = second if first == self._home else first
            return self.round_trip(other, now_s=now_s)
        alike = [
            self.round_trip(name, now_s=now_s)
            for name in self._samples
            if self._proximity(self._home, name) is proximity
        ]
        return min(
            alike,
            key=lambda r: r.seconds,
            default=self._unmeasured(proximity),
        )

    def _unmeasured(self, proximity):
        seconds = self.settings.round_trip_ms[proximity] / 1_000.0
        return RoundTrip(seconds=seconds, error_s=seconds)


class LeaveGate:
    """Decides for each request of an entry whether it may leave.

    Parameters
    ----------
    random : random.Random
        Source of the choice of requests.
    """

    def __init__(self, *, random):
        """Start with all requests staying."""
        self._random = random
        self._leaving = set()

    def copy(self, *, random):
        """Return a gate in the same state, which may be asked in its place."""
        gate = LeaveGate(random=random)
        gate._leaving = set(self._leaving)
        return gate

    def may_leave(self, pool, here_s, away_s, **more):
        """Return whether a request may leave; parameters as of ``share``."""
        share = self.share(pool, here_s, away_s, **more)
        return self._random.random() < share

    def share(self, pool, here_s, away_s, *, unit_s, unreported, error_s=0.0):
        """Return the share of requests that leave.

        Parameters
        ----------
        pool : hashable
            What the upstreams serve.  It begins to send requests away for a
            gain above the error and one placement, and goes on until there
            is no gain.
        here_s, away_s : sequence of float
            Costs of the near upstreams, and of the others with their
            distance.
        unit_s : float
            Cost that one placement adds.
        unreported : float
            Placements of all entries that the costs do not include yet.
        error_s : float
            Error of the costs.

        Examples
        --------
        >>> from random import Random
        >>> gate = LeaveGate(random=Random(1))
        >>> gate.share("p", [0.1], [0.2], unit_s=0.1, unreported=0.0)
        0.0
        >>> share = gate.share("p", [0.6], [0.2], unit_s=0.1, unreported=8.0)
        >>> round(share, 2)
        0.5
        """
        share = share_to_leave(
            here_s,
            away_s,
            unit_s=unit_s,
            unreported=unreported,
            error_s=0.0 if pool in self._leaving else error_s + unit_s,
        )
        if not here_s or not away_s:
            return share
        if share > 0.0:
            self._leaving.add(pool)
        else:
            self._leaving.discard(pool)
        return share

    def is_leaving(self, pool):
        """Return whether the last request of a pool could leave."""
        return pool in self._leaving


def expected_unreported(placed_per_s, entries):
    """Return the placements that the sums don't tell of yet.

    Parameters
    ----------
    placed_per_s : float
        Placements of one entry in a second.
    entries : int
        Number of entries, which are taken to place as many each.

    Examples
    --------
    >>> round(expected_unreported(2.0, 20), 2)
    20.0
    """
    return placed_per_s * entries * SUMS_DELAY_S


def share_to_leave(here_s, away_s, *, unit_s, unreported, error_s=0.0):
    """Return the share of requests that leave, see ``LeaveGate.share``."""
    if not away_s:
        return 0.0
    if not here_s:
        return 1.0
    if min(here_s) - min(away_s) <= error_s:
        return 0.0
    to_move = _excess_s(here_s, away_s) / max(unit_s, MIN_UNIT_S)
    here_share = len(here_s) / (len(here_s) + len(away_s))
    return min(1.0, to_move / max(1.0, unreported * here_share))


def _excess_s(here_s, away_s):
    """Return the cost to move away for both sides to meet at one level.

    Examples
    --------
    >>> round(_excess_s([0.5, 0.7], [0.1, 0.9]), 2)
    0.33
    """
    low_s, high_s = min(away_s), max(here_s)
    for _ in range(LEVEL_STEPS):
        level_s = (low_s + high_s) / 2
        above_s = sum(cost - level_s for cost in here_s if cost > level_s)
        below_s = sum(level_s - cost for cost in away_s if cost < level_s)
        if above_s > below_s:
            low_s = level_s
        else:
            high_s = level_s
    return min(above_s, below_s)


def order_by_leaving(near, away, order, *, may_leave):
    """Return upstreams in one order if a request may leave, else near first.

    Parameters
    ----------
    near, away : list
        Groups of upstreams, see ``split_by_distance``.
    order : callable
        Returns one order of a list of groups.
    may_leave : bool
        Whether the request may leave.

    Examples
    --------
    >>> order_by_leaving([[3], [4]], [[1]], lambda g: sorted(sum(g, [])),
    ...                  may_leave=False)
    [3, 4, 1]
    """
    if may_leave:
        return order([*near, *away])
    return order(near) + order(away)


def split_by_distance(names, distance):
    """Return those near the nearest one, and the others.

    Parameters
    ----------
    distance : callable
        Seconds that the way to one costs.

    Examples
    --------
    >>> split_by_distance("abc", {"a": 0.0, "b": 0.002, "c": 0.03}.get)
    (['a', 'b'], ['c'])
    """
    distances = {name: distance(name) for name in names}
    limit_s = min(distances.values(), default=0.0) + NEAR_S
    near = [name for name in distances if distances[name] <= limit_s]
    away = [name for name in distances if distances[name] > limit_s]
    return near, away
