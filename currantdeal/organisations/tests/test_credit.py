"""The bound on the use of a quota, over schedules of failures."""

import math
import os
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.organisations import (
    CreditAsk,
    CreditGrant,
    CreditOwner,
    CreditPool,
    Organisation,
    Quota,
    bounds_of,
)
from currantdeal.organisations.tests.builders import a_quota
from currantdeal.organisations.tests.credit_model import (
    LIMIT,
    MARGIN,
    NAME,
    QUOTA,
    CreditModel,
    Delay,
)

SCHEDULES = int(os.environ.get("CURRANTDEAL_SCHEDULES", "1000"))
"""Schedules of each kind; ``CURRANTDEAL_SCHEDULES`` sets another number."""

SETTLED_S = 30.0
"""Time after which buckets are full and reserves are granted."""

_COSTS = st.sampled_from([2, 10, 50, 120])
_DELAYS = st.builds(
    Delay,
    ask_s=st.sampled_from([0.0, 0.02, 0.4, 3.0, 9.0]),
    answer_s=st.sampled_from([0.0, 0.02, 0.4, 3.0, None]),
)
_ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from([0.01, 0.3, 1.0, 4.0])),
        st.tuples(
            st.just("burst"),
            st.integers(0, 4),
            _COSTS,
            st.integers(1, 40),
            _DELAYS,
            st.booleans(),
            st.sampled_from([None, 0, 1, 2]),
        ),
        st.tuples(st.just("pause"), st.integers(0, 4), st.floats(0.1, 9.0)),
        st.tuples(st.just("restart"), st.integers(0, 4)),
        st.tuples(st.just("publish")),
        st.tuples(st.just("elect"), st.sampled_from([0.0, 0.3, 1.0])),
    ),
    min_size=20,
    max_size=60,
)


def _play(actions):
    model = CreditModel(entries=5)
    model.advance(SETTLED_S)
    for kind, *values in actions:
        if kind == "wait":
            model.advance(values[0])
        elif kind == "elect":
            model.elect(wait_s=values[0])
        elif kind == "restart":
            model.restart(values[0])
        elif kind == "publish":
            model.publish()
        elif kind == "pause":
            model.entries[values[0]].paused_until_s = model.now_s + values[1]
        else:
            number, cost, times, delay, keeps, urgency = values
            for _ in range(times):
                model.request(
                    model.entries[number],
                    cost,
                    delay=delay,
                    keeps=keeps,
                    urgency=urgency,
                )
    model.advance(30.0)
    return model


@settings(max_examples=SCHEDULES, deadline=None)
@given(actions=_ACTIONS)
def test_the_use_of_a_quota_is_bounded_in_each_window(actions):
    """Guards against a quota that failures exceed.

    Owners are replaced, entries end or are paused with credit in hand, and
    messages arrive late or not at all.
    """
    assert _play(actions).worst_window() <= LIMIT


def test_the_bound_holds_under_overload():
    """The same with seeded schedules of constant overload.

    Some of them have few faults, so that the whole quota is in use, and some
    have one fault after the other.
    """
    for seed in range(SCHEDULES):
        model = _play_overload(random.Random(seed))
        assert model.worst_window() <= LIMIT, seed


def test_the_bound_holds_for_urgent_and_less_urgent_overload():
    """Guards against credit kept for urgent requests that is granted twice."""
    for seed in range(SCHEDULES):
        model = _play_overload(random.Random(seed), urgencies=(0, 1, 2))
        assert model.worst_window() <= LIMIT, seed


def _play_overload(rng, urgencies=(None,)):
    model = CreditModel(entries=5)
    urgency_rng = random.Random(0)
    model.advance(rng.choice([0.0, SETTLED_S]))
    late = rng.choice([0.0, 0.02, 0.3])
    faults = rng.choice([0.0, 0.02, 0.2, 0.6])
    kept = rng.choice([1.0, 0.7])
    for _ in range(120):
        entry = rng.choice(model.entries)
        for _ in range(8):
            model.request(
                entry,
                rng.choice([2, 10, 50, 120]),
                delay=_delay(rng, late),
                keeps=rng.random() < kept,
                urgency=urgency_rng.choice(urgencies),
            )
        model.advance(rng.choice([0.01, 0.05, 0.3]))
        if rng.random() < 0.5:
            model.publish()
        if rng.random() < faults:
            _disturb(rng, model)
    model.advance(SETTLED_S)
    return model


def _delay(rng, late):
    if rng.random() >= late:
        return Delay(ask_s=0.02, answer_s=0.02)
    return Delay(
        ask_s=rng.choice([0.02, 0.4, 2.0]),
        answer_s=rng.choice([0.02, 0.4, 2.0, None]),
    )


def _disturb(rng, model):
    kind = rng.randrange(3)
    number = rng.randrange(len(model.entries))
    if kind == 0:
        model.elect(wait_s=rng.choice([0.0, 0.3]))
    elif kind == 1:
        model.restart(number)
    else:
        pause_s = rng.uniform(0.1, 9.0)
        model.entries[number].paused_until_s = model.now_s + pause_s


@settings(max_examples=200, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    entries=st.integers(1, 64),
    cost=st.sampled_from([2, 10, 50]),
    urgencies=st.sampled_from([(None,), (0, 1, 2)]),
)
def test_an_organisation_within_its_quota_is_never_refused(
    seed, entries, cost, urgencies
):
    """Guards against refusals below the limit on a sound fleet.

    The work comes in bursts, and each burst at an entry of its own.
    """
    rng = random.Random(seed)
    model = CreditModel(entries=entries)
    model.advance(SETTLED_S)
    level, last_s = QUOTA.burst, model.now_s
    for _ in range(400):
        model.advance(rng.choice([0.0, 0.0, 0.05, 0.5, 2.0]))
        gained = QUOTA.rate_per_s * (model.now_s - last_s)
        level, last_s = min(QUOTA.burst, level + gained), model.now_s
        if level >= cost:
            level -= cost
            model.request(
                rng.choice(model.entries),
                cost,
                delay=Delay(ask_s=0.01, answer_s=0.01),
                keeps=rng.random() < 0.9,
                urgency=rng.choice(urgencies),
            )
            model.advance(0.02)
    model.advance(1.0)
    assert model.refused == 0


def test_credit_that_was_not_used_is_granted_again():
    """Guards against a quota that refused requests use up."""
    model = CreditModel(entries=1)
    model.advance(SETTLED_S)
    for _ in range(int(3 * LIMIT / 100)):
        model.request(
            model.entries[0],
            100,
            delay=Delay(ask_s=0.01, answer_s=0.01),
            keeps=False,
        )
        model.advance(0.05)
    assert model.refused == 0


def test_a_new_owner_opens_with_an_empty_bucket():
    """Guards against credit that an earlier owner has granted already."""
    owner = _owner(opened_s=10.0)
    ask = CreditAsk(organisation=NAME, needs=(50,))
    assert owner.grant("e", ask, entries=1, now_s=10.0).granted == (False,)
    assert owner.grant("e", ask, entries=1, now_s=11.0).granted == (True,)


def test_a_successor_that_knows_the_grants_uses_the_window_again():
    """Guards against refusals below the quota after a change of the leader.

    An organisation uses its whole window.  A successor without the grants of
    the owner before would give it the rate of the quota for a window, and one
    that ignored them would exceed the bound.
    """
    before = _owner(opened_s=-math.inf)
    bounds = bounds_of(QUOTA, MARGIN)
    ask = CreditAsk(organisation=NAME, needs=(int(bounds.extra),))
    assert before.grant("e", ask, entries=1, now_s=0.0).granted == (True,)
    grants = before.grants(now_s=1.0)[NAME]
    after = _owner(
        opened_s=2.0, inherited={NAME: tuple((1.0 - a, u) for a, u in grants)}
    )
    left_s = bounds.window_s + 0.2
    assert after.level(NAME, now_s=left_s - 0.3) <= bounds.base_depth
    assert after.level(NAME, now_s=left_s) > 0.8 * bounds.extra


def test_a_refusal_states_when_it_can_be_met():
    owner = _owner()
    ask = CreditAsk(organisation=NAME, needs=(60,))
    grant = owner.grant("e", ask, entries=1, now_s=0.2)
    assert grant.granted == (False,)
    assert 0.3 < grant.retry_after_s < 1.0
    later_s = 0.201 + grant.retry_after_s
    assert owner.grant("e", ask, entries=1, now_s=later_s).granted == (True,)


def test_refused_callers_return_one_after_the_other():
    """Load pattern: thundering herd of callers over their quota."""
    owner = _owner()
    ask = CreditAsk(organisation=NAME, needs=(60,))
    times = [
        owner.grant("e", ask, entries=1, now_s=0.0).retry_after_s
        for _ in range(5)
    ]
    assert times == sorted(set(times))
    assert times[-1] > 4 * times[0]


def test_a_lower_quota_takes_effect_at_once():
    owner = _owner()
    lower = Quota(rate_per_s=10.0, burst=10.0)
    owner.update((Organisation(name=NAME, quota=lower),), now_s=SETTLED_S)
    bounds = bounds_of(lower, MARGIN)
    level = owner.level(NAME, now_s=SETTLED_S)
    assert level <= bounds.base_depth + bounds.extra


def test_a_reserve_ends_with_its_time():
    """Guards against a reserve that an entry uses after a long pause."""
    pool = CreditPool()
    grant = CreditGrant(organisation=NAME, pool=100, pool_ttl_s=20.0)
    pool.fill(grant, epoch=1, sent_s=0.0)
    assert pool.take(10, now_s=19.9)
    assert not pool.take(10, now_s=20.0)
    assert pool.ask(NAME, (), now_s=20.0).pool == 0


@pytest.mark.parametrize("entries", [1, 7, 64])
def test_reserves_together_stay_within_their_bound(entries):
    owner = _owner()
    ask = CreditAsk(organisation=NAME)
    pools = [
        owner.grant(f"e{n}", ask, entries=entries, now_s=SETTLED_S).pool
        for n in range(2 * entries)
    ]
    assert 0 < sum(pools) <= bounds_of(QUOTA, MARGIN).pools


def _owner(*, opened_s=0.0, inherited=None):
    owner = CreditOwner(
        epoch=1, margin=MARGIN, opened_s=opened_s, inherited=inherited
    )
    owner.update((Organisation(name=NAME, quota=QUOTA),), now_s=opened_s)
    return owner


def test_a_quota_without_a_rate_denies_what_exceeds_its_margin():
    """Guards against an owner that fails where nothing can be granted."""
    owner = CreditOwner(epoch=1, margin=MARGIN, opened_s=0.0)
    empty = a_quota(rate_per_s=0.0, burst=0.0)
    owner.update((Organisation(name=NAME, quota=empty),), now_s=0.0)
    too_much = math.ceil(MARGIN.slack) + 1
    ask = CreditAsk(organisation=NAME, needs=(too_much,))
    grant = owner.grant("entry-1", ask, entries=1, now_s=60.0)
    assert grant.granted == (False,)
    assert MARGIN.window_s <= grant.retry_after_s < math.inf
