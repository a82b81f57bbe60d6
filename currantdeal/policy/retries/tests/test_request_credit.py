"""Credit for retries, by the rule that operators state."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.policy.retries.request_credit import (
    HELD_CREDIT_S,
    RequestCredit,
)

RATIO, WINDOW_S = 0.2, 10.0

_STEPS = st.lists(
    st.tuples(
        # Sums of these are exact, so that no request is at both sides of the
        # end of a window.
        st.sampled_from([0.0, 0.125, 0.5, 2.0, 4.875, 7.0]),
        st.integers(0, 2),
        st.sampled_from(["requests", "retries", "hold", "return", "restart"]),
        st.integers(1, 60),
        st.sampled_from([0.0, 0.25 * HELD_CREDIT_S, 0.875 * HELD_CREDIT_S]),
    ),
    max_size=40,
)


def _in(times, start_s, end_s):
    return sum(start_s < t <= end_s for t in times)


def _allowed(requests, end_s):
    """Return what the rule allows in the window that ends at a time."""
    starts_s = (end_s - WINDOW_S, end_s - 2 * WINDOW_S, end_s - 1.5 * WINDOW_S)
    return RATIO * max(_in(requests, s, s + WINDOW_S) for s in starts_s)


def _new_credit():
    return RequestCredit(ratio=RATIO, window_s=WINDOW_S)


class _Entry:
    """Credit of an entry, of which it may hold some to put it back."""

    def __init__(self):
        self._credit = _new_credit()
        self._held = ()

    def step(self, kind, count, now_s):
        """Make a step; returns the number of retries that were taken."""
        taken = 0
        if kind == "requests":
            for _ in range(count):
                self._credit.record_request(now_s=now_s)
        elif kind == "retries":
            while taken < count and self._credit.take(1, now_s=now_s):
                taken += 1
        elif kind == "hold":
            self._held += self._credit.take(count % 4, now_s=now_s)
        else:
            self._credit.give_back(self._held)
            self._held = ()
        return taken


@settings(max_examples=400, derandomize=True, deadline=None)
@given(steps=_STEPS)
def test_retries_stay_within_the_share_of_requests(steps):
    """Guards against a share that bursts, entries and restarts exceed.

    Credit that is held is put back at any time, and never used meanwhile.
    """
    entries = [_Entry() for _ in range(3)]
    requests, retries, now_s = [], [], 0.0
    for pause_s, number, kind, count, held_s in steps:
        now_s += pause_s
        if kind == "requests":
            requests += [now_s] * count
        if kind == "restart":
            entries[number] = _Entry()
        else:
            sent = entries[number].step(kind, count, now_s)
            retries += [now_s + held_s] * sent
    for end_s in retries:
        used = _in(retries, end_s - WINDOW_S, end_s)
        assert used <= _allowed(requests, end_s) + 1e-9


def test_requests_allow_half_of_their_share():
    credit = _new_credit()
    for _ in range(100):
        credit.record_request(now_s=1.0)
    assert credit.left(now_s=1.0) == math.floor(0.5 * RATIO * 100)


def test_a_service_without_a_share_has_no_credit():
    credit = RequestCredit(ratio=0.0, window_s=WINDOW_S)
    credit.record_request(now_s=0.0)
    assert not credit.take(1, now_s=0.0)


def _credit_for(retries, *, now_s=0.0):
    credit = _new_credit()
    for _ in range(math.ceil(2.0 / RATIO) * retries):
        credit.record_request(now_s=now_s)
    return credit


def test_credit_is_taken_for_all_retries_or_none():
    """Guards against credit that is spent for half of what needs it."""
    credit = _credit_for(2)
    assert not credit.take(3, now_s=1.0)
    assert credit.take(2, now_s=1.0)
    assert credit.left(now_s=1.0) == 0


def test_credit_that_is_put_back_can_be_taken_until_it_lapses():
    """Guards against credit that lasts longer as it was taken between."""
    credit = _credit_for(1)
    taken = credit.take(1, now_s=1.0)
    credit.record_request(now_s=2.0)
    credit.give_back(taken)
    lapse_s = WINDOW_S - HELD_CREDIT_S
    assert credit.left(now_s=lapse_s - 0.1) == 1
    assert credit.left(now_s=lapse_s) == 0
