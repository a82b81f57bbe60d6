"""The credit of a quota divided by urgency: order, sum and share."""

import random

import pytest

from currantdeal.organisations import (
    CreditAsk,
    CreditOwner,
    Organisation,
    bounds_of,
)
from currantdeal.organisations.tests.credit_model import (
    MARGIN,
    NAME,
    QUOTA,
    CreditModel,
    Delay,
)
from currantdeal.organisations.urgency_share import LESS_URGENT_SHARE

BOUNDS = bounds_of(QUOTA, MARGIN)
RATE = QUOTA.rate_per_s
COST = 5
HOT = {0: 0.6, 1: 1.5, 2: 1.1}
"""Multiples of the quota's rate that each urgency of a hot caller asks."""

SHORT = Delay(ask_s=0.005, answer_s=0.005)


def _play_hot(rng, rates, *, for_s=20.0, divides=True, disturb=None):
    """Return a model in which one organisation asks at some rates.

    What each urgency asks is drawn by chance and spread over the entries.
    """
    model = CreditModel(entries=8)
    model.advance(30.0)
    end_s = model.now_s + for_s
    total = sum(rates.values()) * RATE / COST
    while model.now_s < end_s:
        model.advance(rng.expovariate(total))
        (urgency,) = rng.choices(list(rates), list(rates.values()))
        model.request(
            rng.choice(model.entries),
            COST,
            delay=SHORT,
            urgency=urgency if divides else None,
        )
        if disturb is not None:
            disturb(model)
    model.advance(1.0)
    return model


@pytest.mark.parametrize("seed", range(5))
def test_urgent_requests_of_a_hot_organisation_find_credit(seed):
    """Load pattern: noisy neighbour within one organisation.

    Its urgent requests alone would stay within the quota.
    """
    model = _play_hot(random.Random(seed), HOT)
    assert model.used_by[0] >= 0.9 * model.asked_by[0]
    assert model.used_by[2] >= 0.5 * LESS_URGENT_SHARE * 20.0 * RATE


@pytest.mark.parametrize("rates", [HOT, {0: 3.0, 1: 0.5}, {0: 0.1, 5: 4.0}])
@pytest.mark.parametrize("seed", range(5))
def test_no_window_loses_what_is_kept_for_urgent_requests(seed, rates):
    """Guards against a quota of which less is used than without urgency.

    Less than a bucket is kept at each end of a window.
    """
    divided = _play_hot(random.Random(seed), rates)
    plain = _play_hot(random.Random(seed), rates, divides=False)
    for start_s in range(30, 43):
        used, before = (
            sum(c for t, c in m.used if start_s <= t < start_s + 8.0)
            for m in (divided, plain)
        )
        assert used >= before - 2.0 * BOUNDS.base_depth


@pytest.mark.parametrize("seed", range(20))
def test_nothing_is_refused_while_a_full_bucket_is_left(seed):
    """Guards against credit that overflows since it is kept."""
    rng = random.Random(seed)
    owner = _owner()
    now_s, refused = 30.0, 0
    for _ in range(2000):
        now_s += rng.choice([0.0, 0.01, 0.1])
        need = rng.choice([2, 20, 60, 100])
        urgency = rng.choice([0, 1, 1, 2, 2, 2])
        grant = _ask(owner, [need], [urgency], now_s=now_s)
        if not grant.granted[0]:
            refused += 1
            assert owner.level(NAME, now_s=now_s) < BOUNDS.base_depth
    assert refused


def test_credit_kept_for_an_urgency_is_free_after_a_window():
    """Guards against credit that is kept for requests that ended."""
    owner = _owner()
    _ask(owner, [COST], [0], now_s=30.0)
    _ask(owner, [COST], [1], now_s=30.0 + BOUNDS.window_s)
    later_s = 30.1 + BOUNDS.window_s
    left = int(owner.level(NAME, now_s=later_s))
    assert _ask(owner, [left], [1], now_s=later_s).granted == (True,)


@pytest.mark.parametrize("seed", range(5))
def test_an_urgent_burst_leaves_a_share_to_the_least_urgent(seed):
    """Load pattern: an urgent burst of three times the quota."""
    model = _play_hot(random.Random(seed), {0: 3.0, 1: 0.5, 2: 0.5})
    gained = RATE * 20.0
    for urgency in (1, 2):
        least = 0.5 * LESS_URGENT_SHARE * gained
        assert model.used_by[urgency] >= least - 2 * COST
    assert model.used_by[0] >= (1.0 - LESS_URGENT_SHARE) * gained


def test_a_rare_large_need_is_granted_beside_urgent_ones():
    """Load pattern: head-of-line blocking of a need of half the bucket."""
    owner = _owner()
    large = int(0.5 * BOUNDS.base_depth)
    granted_s = []
    for step in range(4000):
        now_s = 30.0 + 0.01 * step
        _ask(owner, [COST], [0], now_s=now_s)
        if step % 10 == 0:
            grant = _ask(owner, [large], [1], now_s=now_s)
            granted_s += [now_s] * grant.granted[0]
    longest_s = large / (LESS_URGENT_SHARE * BOUNDS.base_rate_per_s) + 1.0
    gaps = zip(granted_s, [*granted_s[1:], 70.0], strict=True)
    assert all(after - before <= longest_s for before, after in gaps)


def test_urgent_needs_of_one_ask_come_first():
    """Load pattern: needs that waited together for a new owner."""
    owner = _owner()
    left = int(owner.level(NAME, now_s=30.0) // COST)
    needs = [COST] * (left + 5)
    urgencies = [2] * left + [0] * 5
    granted = _ask(owner, needs, urgencies, now_s=30.0).granted
    assert granted[left:] == (True,) * 5
    assert not all(granted[:left])


def test_the_urgent_return_before_the_less_urgent():
    """Load pattern: thundering herd of callers over their quota."""
    owner = _owner()
    _use_up(owner, now_s=30.0)
    first = _ask(owner, [COST] * 6, [2, 2, 1, 1, 0, 0], now_s=30.0)
    times = [after_s for after_s, _ in first.refusals]
    assert times[4] < times[2] < times[0]
    kept = [units for _, units in first.refusals]
    assert kept[4] == 0 < kept[2] <= kept[0]
    again = _ask(owner, [COST], [0], now_s=30.0)
    assert times[4] < again.refusals[0][0]
    assert again.refusals[0][0] <= 3 * COST / BOUNDS.base_rate_per_s + 1e-3


@pytest.mark.parametrize("urgency", [0, 3])
def test_one_urgency_is_granted_as_if_it_had_none(urgency):
    """Guards against changes where a configuration names one urgency."""
    rng = random.Random(7)
    owners = _owner(), _owner()
    now_s = 30.0
    for _ in range(2000):
        now_s += rng.choice([0.0, 0.01, 0.1, 1.0])
        needs = [rng.choice([2, 20, 60]) for _ in range(rng.randrange(6))]
        named = _ask(owners[0], needs, [urgency] * len(needs), now_s=now_s)
        plain = _ask(owners[1], needs, [], now_s=now_s)
        assert named.granted == plain.granted
        assert named.retry_after_s == plain.retry_after_s
        assert {s for s, _ in named.refusals} <= {0.0, plain.retry_after_s}
        assert named.pool == plain.pool


def test_needs_of_an_older_entry_are_granted_as_before():
    """Guards against builds side by side that wait for each other."""
    owner = _owner()
    _ask(owner, [COST], [0], now_s=30.0)
    left = int(owner.level(NAME, now_s=30.0))
    grant = _ask(owner, [left, COST], [], now_s=30.0)
    assert grant.granted == (True, False)
    assert grant.refusals == ()
    assert grant.retry_after_s > 0.0


@pytest.mark.parametrize("wait_s", [0.0, 1.0])
def test_urgent_requests_find_credit_after_owners_change(wait_s):
    """The owner dies, or freezes for a second, four times under a hot load.

    Guards against rates of the owner before on which the order depends.
    """

    def disturb(model):
        if model.now_s >= changes_s[0]:
            changes_s.pop(0)
            model.publish()
            model.elect(wait_s=wait_s)

    changes_s = [33.0, 37.0, 41.0, 45.0, 99.0]
    rng = random.Random(3)
    model = _play_hot(rng, HOT, disturb=disturb)
    shares = [model.used_by[u] / model.asked_by[u] for u in HOT]
    assert shares[0] > 2.0 * max(shares[1:])


def _owner():
    owner = CreditOwner(epoch=1, margin=MARGIN, opened_s=0.0)
    owner.update((Organisation(name=NAME, quota=QUOTA),), now_s=0.0)
    return owner


def _ask(owner, needs, urgencies, *, now_s):
    ask = CreditAsk(
        organisation=NAME,
        needs=tuple(needs),
        urgencies=tuple(urgencies),
        epoch=1,
        pool=10**6,
    )
    return owner.grant("e", ask, entries=1, now_s=now_s)


def _use_up(owner, *, now_s):
    left = int(owner.level(NAME, now_s=now_s))
    assert _ask(owner, [left], [], now_s=now_s).granted == (True,)
