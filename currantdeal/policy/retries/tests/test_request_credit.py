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
        st.sampled_from(["requests", "retries", "restart"]),
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


@settings(max_examples=400, derandomize=True, deadline=None)
@given(steps=_STEPS)
def test_retries_stay_within_the_share_of_requests(steps):
    """Guards against a share that bursts, entries and restarts exceed."""
    entries = [_new_credit() for _ in range(3)]
    requests, retries, now_s = [], [], 0.0
    for pause_s, number, kind, count, held_s in steps:
        now_s += pause_s
        for _ in range(count):
            if kind == "requests":
                entries[number].record_request(now_s=now_s)
                requests.append(now_s)
            elif kind == "retries" and entries[number].try_take(now_s=now_s):
                retries.append(now_s + held_s)
        if kind == "restart":
            entries[number] = _new_credit()
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
    assert not credit.try_take(now_s=0.0)
