"""Sums of loads rebuilt from their changes."""

import random
from dataclasses import fields

import pytest

from currantdeal.policy.load.load_changes import (
    LoadChain,
    LoadChains,
    changes_between,
    whole_load,
)
from currantdeal.policy.load.shared_load import SOURCE_TIMEOUT_S, PoolLoad

FIELDS = [field.name for field in fields(PoolLoad)]


def _a_load(rng):
    """Return a load with values in each of its fields."""
    return PoolLoad(
        **{
            name: {f"d{n}": rng.randrange(3) for n in rng.sample(range(9), 5)}
            for name in FIELDS
        }
    )


@pytest.mark.parametrize("seed", range(20))
def test_sums_are_rebuilt_whatever_changes_are_lost(seed):
    """A connection is lost and another one follows, or a sender restarts.

    Guards against sums that mix those of different times.
    """
    rng = random.Random(seed)
    chain, load, lost = LoadChain(), _a_load(rng), True
    for number in range(200):
        before, load = load, _a_load(rng)
        changes = changes_between(before, load, number=number)
        if rng.random() < 0.1:
            changes, lost = whole_load(load, number=number), False
        if rng.random() < 0.1:
            lost = True
            continue
        rebuilt = chain.apply("c1", changes)
        assert rebuilt == (None if lost else load)


def test_changes_of_another_sender_are_not_applied():
    """Guards against the sums of one instance with changes of the next."""
    rng = random.Random(1)
    one, two = _a_load(rng), _a_load(rng)
    chain = LoadChain()
    chain.apply("c1", whole_load(one, number=4))
    changes = changes_between(one, two, number=5)
    assert chain.apply("c2", changes) is None
    assert chain.apply("c1", changes) == two


def test_a_sender_that_fell_silent_is_forgotten():
    """Guards against memory for instances that were replaced."""
    rng = random.Random(2)
    one, two = _a_load(rng), _a_load(rng)
    chains = LoadChains()
    chains.apply("c1", whole_load(one, number=1), now_s=0.0)
    changes = changes_between(one, two, number=2)
    late_s = SOURCE_TIMEOUT_S + 0.1
    assert chains.apply("c1", changes, now_s=late_s) is None


@pytest.mark.parametrize("name", FIELDS)
def test_each_field_sends_only_what_changed(name):
    fields_before = {field: {"a": 1, "b": 2} for field in FIELDS}
    fields_after = {**fields_before, name: {"a": 1, "c": 3}}
    before, after = PoolLoad(**fields_before), PoolLoad(**fields_after)
    changes = changes_between(before, after, number=1)
    assert getattr(changes.changed, name) == {"c": 3}
    assert changes.removed == {name: ("b",)}
    others = set(FIELDS) - {name}
    assert not any(getattr(changes.changed, other) for other in others)
