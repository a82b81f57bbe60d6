"""Compares ways in which entries observe the limit of one upstream together.

A model without network or time: a schedule of callers, partitions, restarts
and new owners is run in small steps against each way.
"""

import random
from collections import deque
from dataclasses import dataclass

from currantdeal.policy.limits.limit_owner import OPEN_S, LimitAsk, LimitOwner
from currantdeal.testing.rate_bound import WINDOW_S, most_in_window

SUMMARY = "ways to observe the limit that an upstream names"
LIMIT = 2.0
DEMAND = 10.0
"""Requests of callers, as a multiple of the limit."""

SEEDS = 10
STEP_S = 0.01
DURATION_S = 40.0
ONE_WAY_S = 0.02
"""Delay of a message between an entry and a control instance."""

EXCHANGE_S = 0.3
"""Delay after which an entry has the others' counts."""

ELECTION_S = 1.0
UPSTREAM = "u1"


@dataclass(frozen=True, kw_only=True)
class Load:
    """What happens to the entries.

    Parameters
    ----------
    busy : int
        Number of entries that callers use.
    entries : int
        Number of all entries.
    cut : int
        Number of entries that are partitioned from all others and from
        control during the middle third.
    elections_s : tuple of float
        Times at which the owner is replaced.
    restarts_s : tuple of float
        Times at which all entries lose what they know.
    """

    busy: int
    entries: int = 8
    cut: int = 0
    elections_s: tuple[float, ...] = ()
    restarts_s: tuple[float, ...] = ()

    def is_cut(self, entry, now_s):
        """Return whether an entry is partitioned at a time."""
        middle = DURATION_S / 3.0 <= now_s < DURATION_S * 2.0 / 3.0
        return middle and entry < self.cut


class EqualShares:
    """Each entry observes its share of the limit by itself."""

    def __init__(self, *, limit, load, rng):
        """Start with one request for each entry."""
        self._share = limit / load.entries
        self._tokens = [1.0] * load.entries
        self._updated_s = [0.0] * load.entries

    def request(self, entry, now_s):
        """Return the time at which a request may be sent, or None."""
        gained = self._share * (now_s - self._updated_s[entry])
        self._updated_s[entry] = now_s
        self._tokens[entry] = min(1.0, self._tokens[entry] + gained)
        if self._tokens[entry] < 1.0:
            return None
        self._tokens[entry] -= 1.0
        return now_s

    def restart(self, now_s):
        """Forget what was sent."""
        self._tokens = [1.0] * len(self._tokens)


class ExchangedSums:
    """Each entry sends while the counts that it knows are below the limit."""

    def __init__(self, *, limit, load, rng):
        """Start without counts."""
        self._limit = limit
        self._load = load
        self._sent = deque()

    def request(self, entry, now_s):
        """Return the time at which a request may be sent, or None."""
        while self._sent and self._sent[0][0] <= now_s - 1.0:
            self._sent.popleft()
        known = sum(
            other == entry
            or (
                sent_s <= now_s - EXCHANGE_S
                and not self._load.is_cut(entry, now_s)
                and not self._load.is_cut(other, now_s)
            )
            for sent_s, other in self._sent
        )
        if known + 1 > max(1.0, self._limit):
            return None
        self._sent.append((now_s, entry))
        return now_s

    def restart(self, now_s):
        """Forget what was sent."""
        self._sent.clear()


class OneOwner:
    """The owner assigns a slot to each request."""

    def __init__(self, *, limit, load, rng):
        """Open the first owner."""
        self._limit = limit
        self._load = load
        self._rng = rng
        self._owner = LimitOwner(opened_s=-ELECTION_S)
        self._pending = sorted(load.elections_s)
        self._opened_s = 0.0

    def request(self, entry, now_s):
        """Return the time at which a request may be sent, or None."""
        while self._pending and self._pending[0] <= now_s:
            self._opened_s = self._pending.pop(0) + ELECTION_S
            self._owner = LimitOwner(opened_s=self._opened_s)
        if self._load.is_cut(entry, now_s) or now_s < self._opened_s:
            return None
        ask = LimitAsk(rates_per_s={UPSTREAM: self._limit}, wait_s=0.2)
        arrives_s = now_s + ONE_WAY_S
        grant = self._owner.admit(ask, now_s=arrives_s)
        if not grant.upstream:
            return None
        return arrives_s + grant.delay_s + self._rng.uniform(0.0, OPEN_S)

    def restart(self, now_s):
        """Entries hold nothing that matters."""


WAYS = (EqualShares, ExchangedSums, OneOwner)
LOADS = {
    "even": Load(busy=8),
    "uneven": Load(busy=1),
    "cut": Load(busy=8, cut=4),
    "elections": Load(busy=8, elections_s=(8.0, 20.0, 21.5)),
    "restarts": Load(busy=8, restarts_s=(8.0, 12.0, 20.0, 24.0)),
    "many": Load(busy=64, entries=64),
}


@dataclass(frozen=True, kw_only=True)
class Result:
    """What a way did with a load.

    Parameters
    ----------
    most : int
        Largest number of requests in any ``WINDOW_S``.
    served : float
        Requests sent, as a share of what the limit allows or callers ask.
    """

    most: int
    served: float


def run_load(way, load, *, limit=LIMIT, seed=1):
    """Run a load and return its ``Result``."""
    rng = random.Random(seed)
    state = way(limit=limit, load=load, rng=rng)
    restarts = sorted(load.restarts_s)
    sent, asked = [], 0
    for step in range(int(DURATION_S / STEP_S)):
        now_s = step * STEP_S
        while restarts and restarts[0] <= now_s:
            state.restart(restarts.pop(0))
        if rng.random() >= DEMAND * limit * STEP_S:
            continue
        asked += 1
        at_s = state.request(rng.randrange(load.busy), now_s)
        if at_s is not None:
            sent.append(at_s)
    sent.sort()
    possible = min(asked, limit * DURATION_S)
    return Result(
        most=most_in_window(sent), served=round(len(sent) / possible, 2)
    )


@dataclass(frozen=True, kw_only=True)
class Comparison:
    """Results of all ways, by way and load.

    Parameters
    ----------
    results : dict
        Largest ``most`` and mean ``served`` over the seeds.
    """

    results: dict[str, dict[str, Result]]

    def render(self):
        """Return a table of text."""
        lines = [f"requests in {WINDOW_S} s, share of the limit used"]
        for way, by_load in self.results.items():
            cells = ", ".join(
                f"{load} {result.most} {result.served}"
                for load, result in by_load.items()
            )
            lines.append(f"{way:14} {cells}")
        return "\n".join(lines)


def run(*, seed):
    """Run all loads with all ways; returns a ``Comparison``."""
    seeds = range(seed, seed + SEEDS)
    results = {}
    for way in WAYS:
        results[way.__name__] = {
            name: _combine([run_load(way, load, seed=s) for s in seeds])
            for name, load in LOADS.items()
        }
    return Comparison(results=results)


def _combine(results):
    served = sum(result.served for result in results) / len(results)
    return Result(
        most=max(result.most for result in results), served=round(served, 2)
    )
