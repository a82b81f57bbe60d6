"""Slots of upstreams with a limit, over schedules of failures."""

import random

import pytest

from currantdeal.policy.limits.limit_owner import (
    CATCH_UP_S,
    MAX_DELAY_S,
    MIN_RATE_PER_S,
    OPEN_S,
    RETURN_GRACE_S,
    LimitAsk,
    LimitOwner,
)
from currantdeal.testing.rate_bound import (
    WINDOW_S,
    allowed_requests,
    most_in_window,
)

LIMIT = 2.0
UPSTREAM = {"u1": LIMIT}


def _slot_bound(limit):
    """Return the slots that can be used in a window."""
    lateness_s = RETURN_GRACE_S + CATCH_UP_S + OPEN_S
    return (WINDOW_S + lateness_s) * limit + 1


class _Callers:
    """Callers who are refused, some of whom return at a random time."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._opened_s = 0.0
        self._owner = LimitOwner(opened_s=0.0)
        self._returns = []
        self.now_s = 0.0
        self.sent_s = []

    def step(self):
        rng = self._rng
        self.now_s += rng.choice((0.0, 0.01, 0.1, 2.0))
        if rng.random() < 0.02:
            self._opened_s = self.now_s + rng.choice((0.3, 1.0))
            self._owner = LimitOwner(opened_s=self._opened_s)
        caller = rng.choice((b"a", b"b", b"%d" % rng.randrange(999)))
        if self._returns and rng.random() < 0.5:
            caller = self._returns.pop()
        grant = self._admit(caller)
        if grant is not None and grant.upstream:
            late_s = rng.uniform(0.0, OPEN_S)
            self.sent_s.append(self.now_s + grant.delay_s + late_s)
        else:
            self._returns.append(caller)

    def _admit(self, caller):
        if self.now_s < self._opened_s:
            return None
        ask = LimitAsk(
            rates_per_s=UPSTREAM,
            caller=caller,
            wait_s=self._rng.choice((0.0, 0.2, 1.0)),
            return_s=self._rng.choice((0.0, 1.0, 5.0)),
        )
        return self._owner.admit(ask, now_s=self.now_s)


@pytest.mark.parametrize("seed", range(40))
def test_limit_holds_with_bookings_and_new_owners(seed):
    """Guards against a slot that is booked and granted as well."""
    callers = _Callers(seed)
    for _ in range(400):
        callers.step()
    assert most_in_window(callers.sent_s) <= _slot_bound(LIMIT)


def _ask(caller=b"", *, return_s=0.0, wait_s=0.0, rates_per_s=None):
    return LimitAsk(
        rates_per_s=rates_per_s or UPSTREAM,
        caller=caller,
        wait_s=wait_s,
        return_s=return_s,
    )


def _used_owner():
    """Return an owner whose slot at time 9 is used."""
    owner = LimitOwner(opened_s=0.0)
    assert owner.admit(_ask(), now_s=9.0).upstream
    return owner


def test_booked_slot_is_kept_for_its_caller():
    """Guards against a retry-after that new callers make untrue."""
    owner = _used_owner()
    refusal = owner.admit(_ask(b"a", return_s=1.0), now_s=9.0)
    assert refusal.retry_after_s == 0.5
    assert not owner.admit(_ask(b"b"), now_s=9.6).upstream
    assert owner.admit(_ask(b"a"), now_s=9.6).upstream


def test_impatient_caller_books_one_slot():
    """Guards against callers who retry at once and book all slots."""
    owner = _used_owner()
    for _ in range(20):
        refusal = owner.admit(_ask(b"a", return_s=1.0), now_s=9.0)
        assert refusal.retry_after_s == 0.5
    assert owner.admit(_ask(b"b"), now_s=10.0).upstream


def test_every_second_slot_is_left_to_new_callers():
    """Guards against retries that make every new caller late."""
    owner = _used_owner()
    callers = [b"a", b"b", b"c", b"d"]
    times = [
        owner.admit(_ask(c, return_s=9.0), now_s=9.0).retry_after_s
        for c in callers
    ]
    assert times == [0.5, 1.5, 2.5, 3.5]
    assert owner.admit(_ask(), now_s=10.0).upstream
    assert owner.admit(_ask(), now_s=11.0).upstream


def test_slot_of_a_caller_who_stays_away_is_granted():
    owner = _used_owner()
    owner.admit(_ask(b"a", return_s=1.0), now_s=9.0)
    assert owner.admit(_ask(b"b"), now_s=9.5 + RETURN_GRACE_S + 0.01).upstream


def test_retry_after_beyond_the_time_of_the_caller_books_nothing():
    owner = _used_owner()
    refusal = owner.admit(_ask(b"a", return_s=0.2), now_s=9.0)
    assert refusal.retry_after_s == 0.5
    assert owner.admit(_ask(b"b"), now_s=9.5).upstream


def test_earliest_slot_of_all_upstreams_is_granted():
    owner = _used_owner()
    rates_per_s = {"u1": LIMIT, "u2": LIMIT}
    ask = _ask(rates_per_s=rates_per_s, wait_s=1.0)
    assert owner.admit(ask, now_s=9.0).upstream == "u2"
    assert owner.admit(ask, now_s=9.1).upstream == "u1"


def test_lowered_limit_holds_for_booked_callers():
    """Guards against slots that were booked at the rate before."""
    owner = LimitOwner(opened_s=0.0)
    callers = [b"%d" % number for number in range(60)]
    for caller in callers:
        ask = _ask(caller, return_s=5.0, rates_per_s={"u1": 20.0})
        owner.admit(ask, now_s=9.0)
    granted = 0
    for step in range(40):
        for caller in callers:
            ask = _ask(caller, return_s=5.0, rates_per_s={"u1": 0.3})
            grant = owner.admit(ask, now_s=9.1 + 0.1 * step)
            granted += bool(grant.upstream)
    assert granted <= allowed_requests(0.3)


def test_preferred_upstream_is_granted_if_several_slots_are_due():
    """Guards against requests at an upstream that was ranked last."""
    owner = LimitOwner(opened_s=0.0)
    ask = _ask(rates_per_s={"u1": LIMIT, "u2": LIMIT})
    assert owner.admit(ask, now_s=9.0).upstream == "u1"
    # The slot of the other has been due for longer.
    assert owner.admit(ask, now_s=9.7).upstream == "u1"


def test_slots_of_a_new_owner_follow_those_of_the_one_before():
    """Guards against the limit of two owners at once."""
    owner = LimitOwner(opened_s=20.0)
    assert not owner.admit(_ask(), now_s=20.0).upstream
    assert owner.admit(_ask(), now_s=20.0 + MAX_DELAY_S).upstream


def test_upstream_that_takes_nothing_is_asked_now_and_then():
    """Guards against a limit of 0 that no answer could lift."""
    owner = LimitOwner(opened_s=0.0)
    ask = _ask(rates_per_s={"u1": 0.0})
    assert owner.admit(ask, now_s=9.0).upstream
    assert not owner.admit(ask, now_s=10.0).upstream
    assert owner.admit(ask, now_s=9.0 + 1.0 / MIN_RATE_PER_S).upstream
