"""Decides which requests may ask for KV cache memory while it is short.

Load pattern: contention between priority classes, with a noisy neighbour.
When requests wait at many entries, released memory would go to whichever asks
at the right moment, and the least urgent ones, which wait longest, would get
most of it.

This is trunk reservation: a request may ask only if the free memory covers,
besides itself, what requests of more urgent ranks wait for over all entries,
and what those bring that arrive before the sums can show them.  A rank that
was granted much less than the others is not held back, so that none starves.
Without current sums nothing is held back, see ``currantdeal.policy.load``.
"""

import math
from dataclasses import dataclass
from itertools import count

from currantdeal.policy.load.rates import DecayingRate
from currantdeal.policy.load.shared_load import MAX_SUMS_AGE_S
from currantdeal.policy.memory.ranks import (
    Rank,
    RankLoad,
    Standing,
    above_share,
    expected_shortfall,
    is_starved,
)

REFUSAL_MARGIN = 1.5
"""Predicted wait, as a multiple of the time left, above which to refuse.

The sums and rates behind the prediction are old and uneven.
"""

MIN_RATE_PER_S = 1.0
"""Tokens a second below which nothing of a rank arrives any more."""

MAX_ORGANISATIONS = 32
"""Organisations with the largest demand that an entry reports."""


@dataclass(frozen=True, kw_only=True)
class Turn:
    """Whether a request may ask for memory now, and why.

    Parameters
    ----------
    may_ask : bool
        Whether it may.
    ahead : int
        Tokens that are kept for more urgent requests.
    free : int
        Tokens that are estimated to be free.
    wait_s : float
        Predicted time until its turn comes; 0 if it may ask.
    """

    may_ask: bool
    ahead: int
    free: int
    wait_s: float

    def is_too_late(self, left_s):
        """Return whether the turn comes too late, with time left to wait."""
        return not self.may_ask and self.wait_s > REFUSAL_MARGIN * left_s


class MemoryTurns:
    """Requests of one entry that want memory, and the sums over all entries.

    Examples
    --------
    >>> turns = MemoryTurns()
    >>> turns.update_sums({"m/0/0/0": (4000, 0, 0)}, {}, now_s=0.0)
    >>> least = turns.enter(service="m", priority=2, tokens=3000, now_s=0.0)
    >>> turns.turn(least, free=6000, now_s=0.1).may_ask
    False
    >>> turns.turn(least, free=7000, now_s=0.1).may_ask
    True
    >>> turns.turn(least, free=6000, now_s=9.0).may_ask  # sums stopped
    True
    """

    def __init__(self):
        """Start without requests and without sums."""
        self._waiters = {}
        self._waiting = {}
        self._numbers = count()
        self._arriving = {}
        self._granted = {}
        self._held = {}
        self._reported = {}
        self._others = {}
        self._above_share = frozenset()
        self._is_short = False
        self._updated_s = -math.inf

    def enter(
        self,
        *,
        service,
        priority,
        tokens,
        now_s,
        route_priority=0,
        organisation="",
        is_retry=False,
    ):
        """Add a request that wants memory; returns its number."""
        if is_retry:
            standing = Standing.RETRYING
        elif organisation in self._above_share and self._has_sums(now_s):
            standing = Standing.ABOVE_SHARE
        else:
            standing = Standing.FIRST_TIME
        waiter = _Waiter(
            rank=Rank(
                service=service,
                priority=priority,
                route_priority=route_priority,
                standing=standing,
            ),
            organisation=organisation,
            tokens=tokens,
        )
        number = next(self._numbers)
        self._waiters[number] = waiter
        _rate(self._arriving, waiter.rank).add(tokens, now_s=now_s)
        return number

    def rank_of(self, number):
        """Return the ``Rank`` of a request."""
        return self._waiters[number].rank

    def record_wait(self, number):
        """Record that a request found no memory in its first round."""
        waiter = self._waiters[number]
        if not waiter.waits:
            waiter.waits = True
            waiting = self._waiting.get(waiter.rank, 0)
            self._waiting[waiter.rank] = waiting + waiter.tokens

    def leave(self, number, *, granted, now_s):
        """Remove a request that was granted memory, or gave up."""
        waiter = self._waiters.pop(number)
        if waiter.waits:
            waiting = self._waiting.pop(waiter.rank) - waiter.tokens
            if waiting > 0:
                self._waiting[waiter.rank] = waiting
        if granted:
            rate = _rate(self._granted, waiter.rank)
            rate.add(waiter.tokens, now_s=now_s)

    def hold(self, organisation, tokens):
        """Add tokens that a stream of an organisation holds."""
        self._held[organisation] = self._held.get(organisation, 0) + tokens

    def free(self, organisation, tokens):
        """Subtract tokens that a stream no longer holds."""
        left = self._held.pop(organisation, 0) - tokens
        if left > 0:
            self._held[organisation] = left

    def turn(self, number, *, free, now_s):
        """Return the ``Turn`` of a request.

        Parameters
        ----------
        free : int
            Tokens of memory that are estimated to be free, at engines with
            room for the request.
        """
        waiter = self._waiters[number]
        loads = self._loads(waiter.rank.service, now_s)
        before = [
            load
            for rank, load in loads.items()
            if rank.comes_before(waiter.rank)
            and (waiter.organisation or _has_urgencies(loads))
        ]
        waiting = sum(load.waiting for load in before)
        arriving_per_s = sum(load.arriving_per_s for load in before)
        granted_per_s = sum(load.granted_per_s for load in loads.values())
        ahead = round(
            waiting
            + expected_shortfall(
                arriving_per_s, granted_per_s, size=waiter.tokens
            )
        )
        missing = ahead + waiter.tokens - free
        may_ask = (
            not self._has_sums(now_s)
            or not ahead
            or missing <= 0
            or is_starved(waiter.rank, loads)
        )
        return Turn(
            may_ask=may_ask,
            ahead=ahead,
            free=free,
            wait_s=0.0
            if may_ask
            else _duration_s(missing, granted_per_s - arriving_per_s),
        )

    def return_after_s(self, rank, *, now_s):
        """Return the time in which what waits up to a rank is served.

        None without current sums, or with a single urgency.
        """
        loads = self._loads(rank.service, now_s)
        if not self._has_sums(now_s) or not _has_urgencies(loads):
            return None
        waiting = sum(
            load.waiting
            for other, load in loads.items()
            if not rank.comes_before(other)
        )
        arriving_per_s = sum(
            load.arriving_per_s
            for other, load in loads.items()
            if other.comes_before(rank)
        )
        granted_per_s = sum(load.granted_per_s for load in loads.values())
        return _duration_s(waiting, granted_per_s - arriving_per_s)

    def report(self, *, now_s):
        """Return what this entry reports as ``PoolLoad.waiting``.

        It is empty while nobody waits, so that calm entries send nothing.
        """
        own = {}
        if self._is_short or any(w.waits for w in self._waiters.values()):
            own = {
                rank.key: (
                    round(load.waiting),
                    round(load.arriving_per_s),
                    round(load.granted_per_s),
                )
                for rank, load in self._own_loads(now_s).items()
            }
        self._reported = {k: v for k, v in own.items() if any(v)}
        return dict(self._reported)

    def report_wanted(self):
        """Return what this entry reports as ``PoolLoad.wanted``."""
        if not self._reported:
            return {}
        wanted = dict(self._held)
        for waiter in self._waiters.values():
            if waiter.waits:
                name = waiter.organisation
                wanted[name] = wanted.get(name, 0) + waiter.tokens
        wanted.pop("", None)
        largest = sorted(wanted.items(), key=lambda item: -item[1])
        return dict(largest[:MAX_ORGANISATIONS])

    def update_sums(self, waiting, wanted, *, now_s):
        """Replace the sums over all entries, which include this one.

        Parameters
        ----------
        waiting, wanted : dict
            See ``PoolLoad``.
        """
        self._others = {}
        for key, sums in waiting.items():
            rank = Rank.from_key(key)
            own = self._reported.get(key, (0, 0, 0))
            if rank is not None:
                self._others[rank] = tuple(
                    max(0, total - part)
                    for total, part in zip(sums, own, strict=True)
                )
        tokens_waiting = sum(sums[0] for sums in waiting.values())
        self._is_short = tokens_waiting > 0
        held = max(0, sum(wanted.values()) - tokens_waiting)
        self._above_share = (
            above_share(wanted, held) if self._is_short else frozenset()
        )
        self._updated_s = now_s

    def _has_sums(self, now_s):
        return now_s - self._updated_s <= MAX_SUMS_AGE_S

    def _loads(self, service, now_s):
        """Return the ``RankLoad`` of each rank of a service."""
        own = self._own_loads(now_s)
        others = self._others if self._has_sums(now_s) else {}
        loads = {}
        for rank in {*own, *others}:
            if rank.service == service:
                load = own.get(rank, RankLoad())
                waiting, arriving, granted = others.get(rank, (0, 0, 0))
                loads[rank] = RankLoad(
                    waiting=load.waiting + waiting,
                    arriving_per_s=load.arriving_per_s + arriving,
                    granted_per_s=load.granted_per_s + granted,
                )
        return loads

    def _own_loads(self, now_s):
        loads = {}
        for rank, rate in tuple(self._arriving.items()):
            load = RankLoad(
                waiting=self._waiting.get(rank, 0),
                arriving_per_s=rate.per_s(now_s=now_s),
                granted_per_s=_rate(self._granted, rank).per_s(now_s=now_s),
            )
            if load.waiting or load.arriving_per_s >= MIN_RATE_PER_S:
                loads[rank] = load
            else:
                del self._arriving[rank], self._granted[rank]
        return loads


class _Waiter:
    __slots__ = ("organisation", "rank", "tokens", "waits")

    def __init__(self, *, rank, organisation, tokens):
        self.rank = rank
        self.organisation = organisation
        self.tokens = tokens
        self.waits = False


def _rate(rates, rank):
    if rank not in rates:
        rates[rank] = DecayingRate()
    return rates[rank]


def _has_urgencies(loads):
    return len({rank.urgency for rank in loads}) > 1


def _duration_s(tokens, per_s):
    if tokens <= 0:
        return 0.0
    return tokens / per_s if per_s > 0 else math.inf
