"""Memory by urgency, on entries that see sums with the age of a deployment.

Loads: contention between priority classes, bursts, a noisy neighbour.
"""

import math
from collections import Counter
from random import Random

import pytest

from currantdeal.policy.load.rates import TIME_CONSTANT_S
from currantdeal.policy.load.shared_load import (
    LOAD_INTERVAL_S,
    MAX_SUMS_AGE_S,
    EntryLoad,
    LoadSums,
)
from currantdeal.policy.memory.ranks import SUMS_DELAY_S
from currantdeal.policy.memory.urgency import MemoryTurns

TOKENS = 1_000
ROUND_S = 0.05
HOLD_S = 1.0
WAIT_S = {0: 0.5, 1: 0.7, 2: 1.4}
EXCHANGE_ROUNDS = round(LOAD_INTERVAL_S / ROUND_S)


class _Pool:
    """Entries whose requests share the memory of a pool of engines."""

    def __init__(self, *, places, entries=20, blind=0, ordered=True):
        self._places = places
        self._turns = [MemoryTurns() for _ in range(entries)]
        self._blind, self._ordered = blind, ordered
        self._random = Random(3)
        self._sums_on_the_way = []
        self._waiting, self._holding = [], []
        self.asked, self.served = Counter(), Counter()
        self.idle_s, self.waits = 0.0, {}

    def play(self, arrivals, *, until_s, sums_until_s=9e9):
        """Serve (time, priority, organisation) until a time."""
        arrivals = sorted(arrivals)
        for step in range(round(until_s / ROUND_S)):
            now_s = step * ROUND_S
            if step % EXCHANGE_ROUNDS == 0 and now_s < sums_until_s:
                self._exchange(now_s)
            while arrivals and arrivals[0][0] <= now_s:
                self._arrive(*arrivals.pop(0))
            ended = [h for h in self._holding if h[0] <= now_s]
            for hold in ended:
                self._holding.remove(hold)
                hold[1].free(hold[2], TOKENS)
            self._random.shuffle(self._waiting)
            for request in tuple(self._waiting):
                self._ask(request, now_s)
            if self._waiting and self._free:
                self.idle_s += ROUND_S * self._free / self._places
        return self

    def share(self, name):
        return self.served[name] / self.asked[name]

    @property
    def _free(self):
        return self._places - len(self._holding)

    def _arrive(self, now_s, priority, organisation):
        turns = self._random.choice(self._turns)
        number = turns.enter(
            service="m",
            priority=priority,
            organisation=organisation,
            tokens=TOKENS,
            now_s=now_s,
        )
        request = (now_s, turns, number, priority, organisation)
        self._waiting.append(request)
        self.asked.update((priority, organisation))

    def _ask(self, request, now_s):
        since_s, turns, number, priority, organisation = request
        turn = turns.turn(number, free=self._free * TOKENS, now_s=now_s)
        granted = self._free > 0 and (turn.may_ask or not self._ordered)
        left_s = since_s + WAIT_S[priority] - now_s
        if granted:
            self._holding.append((now_s + HOLD_S, turns, organisation))
            turns.hold(organisation, TOKENS)
            self.served.update((priority, organisation))
            longest_s = self.waits.get(priority, 0.0)
            self.waits[priority] = max(longest_s, now_s - since_s)
        else:
            turns.record_wait(number)
        is_too_late = self._ordered and turn.is_too_late(left_s)
        if granted or left_s <= 0.0 or is_too_late:
            self._waiting.remove(request)
            turns.leave(number, granted=granted, now_s=now_s)

    def _exchange(self, now_s):
        sums = LoadSums()
        for number, turns in enumerate(self._turns):
            waiting = turns.report(now_s=now_s)
            wanted = turns.report_wanted()
            load = EntryLoad().report(
                unreachable=(), waiting=waiting, wanted=wanted
            )
            sums.set_entry(number, load, now_s=now_s)
        self._sums_on_the_way.append(sums.total(now_s=now_s))
        if len(self._sums_on_the_way) > 2:
            load = self._sums_on_the_way.pop(0)
            for turns in self._turns[self._blind :]:
                turns.update_sums(load.waiting, load.wanted, now_s=now_s)


def _steady(rates, *, until_s, start_s=0.0):
    """Return arrivals of each (priority, organisation) at a rate."""
    return [
        (start_s + number / per_s, *key)
        for key, per_s in rates.items()
        for number in range(round(per_s * (until_s - start_s)))
    ]


THREE = {(0, "a"): 8, (1, "a"): 18, (2, "a"): 14}
OVERLOAD = _steady(THREE, until_s=20)
KEPT = math.sqrt((8 + 18) * SUMS_DELAY_S) / 32
"""Share of the memory that is kept from the least urgent at most."""


def test_contending_routes_are_refused_by_urgency():
    """Guards against a most urgent route that is refused like any other."""
    pool = _Pool(places=32).play(OVERLOAD, until_s=20)
    before = _Pool(places=32, ordered=False).play(OVERLOAD, until_s=20)
    assert 1 - pool.share(0) <= (1 - pool.share(2)) / 3
    assert pool.share(0) > before.share(0)
    total = sum(pool.served[p] for p in WAIT_S)
    assert total >= (1 - KEPT) * sum(before.served[p] for p in WAIT_S)


@pytest.mark.parametrize("burst", [0, 2])
def test_burst_starves_no_route(burst):
    """Guards against starvation while one route fills everything."""
    arrivals = OVERLOAD + _steady({(burst, "b"): 80}, until_s=20)
    pool = _Pool(places=32).play(arrivals, until_s=20)
    mean = sum(pool.served[p] for p in WAIT_S) / len(arrivals)
    assert all(pool.share(priority) >= mean / 4 for priority in WAIT_S)
    assert pool.share(0) >= pool.share(2)


def test_noisy_neighbour_is_held_to_its_share():
    """Guards against an organisation that takes what others wait for."""
    rates = {(1, "hot"): 60, (1, "b"): 8, (1, "c"): 8, (2, "d"): 8}
    arrivals = _steady(rates, until_s=20)
    pool = _Pool(places=32).play(arrivals, until_s=20)
    before = _Pool(places=32, ordered=False).play(arrivals, until_s=20)
    for name in "bc":
        assert pool.share(name) > max(before.share(name), pool.share("hot"))
    mean = sum(pool.served[n] for n in ("hot", *"bcd")) / len(arrivals)
    assert min(pool.share(n) for n in ("hot", *"bcd")) >= mean / 4


def test_free_memory_is_kept_only_for_what_arrives():
    """Guards against lost room: urgent callers stop, others go on waiting."""
    arrivals = _steady({(0, "a"): 30}, until_s=5) + _steady(
        {(2, "a"): 60}, until_s=20
    )
    pool = _Pool(places=32).play(arrivals, until_s=20)
    kept = math.sqrt(30 * SUMS_DELAY_S) / 32
    assert pool.idle_s <= kept * (5 + 3 * TIME_CONSTANT_S)


def test_less_urgent_requests_delay_urgent_ones_within_the_bound():
    """Guards against inversion: a burst fills all before the urgent come."""
    arrivals = _steady({(2, "a"): 80}, until_s=20) + _steady(
        {(1, "a"): 4}, start_s=5, until_s=20
    )
    pool = _Pool(places=32).play(arrivals, until_s=20)
    assert pool.share(1) >= 0.95
    assert pool.waits[1] <= SUMS_DELAY_S < WAIT_S[1]


def test_entries_without_sums_cost_order_but_no_room():
    """Guards against entries cut off from the sums that block the others."""
    pool = _Pool(places=32, blind=5).play(OVERLOAD, until_s=20)
    before = _Pool(places=32, ordered=False).play(OVERLOAD, until_s=20)
    assert pool.share(0) >= pool.share(2)
    total = sum(pool.served[p] for p in WAIT_S)
    assert total >= (1 - KEPT) * sum(before.served[p] for p in WAIT_S)


def test_nothing_is_held_back_once_the_sums_stop():
    """Guards against callers that wait for memory nobody will take."""
    turns = MemoryTurns()
    turns.update_sums({"m/0/0/0": (9_000, 9_000, 0)}, {}, now_s=0.0)
    number = turns.enter(service="m", priority=2, tokens=TOKENS, now_s=0.0)
    held_back = turns.turn(number, free=5_000, now_s=MAX_SUMS_AGE_S)
    assert held_back.is_too_late(1.0)
    later = turns.turn(number, free=5_000, now_s=MAX_SUMS_AGE_S + ROUND_S)
    assert later.may_ask


def test_one_urgency_is_served_as_before():
    arrivals = _steady({(1, ""): 60}, until_s=20)
    pool = _Pool(places=32).play(arrivals, until_s=20)
    before = _Pool(places=32, ordered=False).play(arrivals, until_s=20)
    assert (pool.served, pool.idle_s) == (before.served, before.idle_s)
    turns = MemoryTurns()
    turns.update_sums({"m/1/0/0": (99_000, 0, 0)}, {}, now_s=0.0)
    number = turns.enter(
        service="m", priority=1, tokens=TOKENS, now_s=0.0, is_retry=True
    )
    assert turns.turn(number, free=TOKENS, now_s=0.1).may_ask


def test_routes_keep_their_order_within_the_priority_of_organisations():
    """Guards against an organisation's priority that hides all routes'."""
    turns = MemoryTurns()
    turns.update_sums({"m/1/0/0": (9_000, 0, 0)}, {}, now_s=0.0)
    urgent, least = (
        turns.enter(
            service="m",
            priority=1,
            route_priority=route_priority,
            organisation="a",
            tokens=TOKENS,
            now_s=0.0,
        )
        for route_priority in (0, 2)
    )
    assert turns.turn(urgent, free=TOKENS, now_s=0.1).may_ask
    assert not turns.turn(least, free=TOKENS, now_s=0.1).may_ask


def test_retries_of_urgent_routes_hold_no_first_time_caller_back():
    """Guards against memory that is kept for retries and that they can't use.

    Load pattern: retry storm of the most urgent, beside a burst of others.
    """
    turns = MemoryTurns()
    waiting = {"m/0/0/2": (10 * TOKENS, TOKENS, 0), "m/2/0/0": (TOKENS, 0, 0)}
    turns.update_sums(waiting, {}, now_s=0.0)
    least = turns.enter(service="m", priority=2, tokens=TOKENS, now_s=0.0)
    retry = turns.enter(
        service="m", priority=0, tokens=TOKENS, now_s=0.0, is_retry=True
    )
    assert turns.turn(least, free=2 * TOKENS, now_s=0.1).may_ask
    assert not turns.turn(retry, free=TOKENS, now_s=0.1).may_ask


def test_room_kept_for_urgent_arrivals_lapses_when_they_stop():
    """Guards against a free place that nobody may use after a burst."""
    turns = MemoryTurns()
    turns.update_sums({}, {}, now_s=0.0)
    first = turns.enter(service="m", priority=0, tokens=TOKENS, now_s=0.0)
    turns.leave(first, granted=True, now_s=0.0)
    later_s = 4.0
    turns.update_sums({}, {}, now_s=later_s)
    least = turns.enter(service="m", priority=2, tokens=TOKENS, now_s=later_s)
    assert turns.turn(least, free=TOKENS, now_s=later_s).may_ask
