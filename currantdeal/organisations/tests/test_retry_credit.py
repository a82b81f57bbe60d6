"""The bound on retries, over schedules of failures."""

import math
import random

import pytest

from currantdeal.organisations import (
    CreditAsk,
    CreditOwner,
    LimitedService,
    RetryAllowance,
)
from currantdeal.organisations.tests.credit_model import CreditModel, Delay

WINDOW_S = 10.0
ALLOWANCE = RetryAllowance(units=56.0, window_s=WINDOW_S)
SCHEDULES = 500


def _play(rng):
    """Return a model in which entries ask for more than is allowed."""
    model = CreditModel(
        entries=8, margin=None, quota=ALLOWANCE, window_s=WINDOW_S
    )
    model.advance(rng.choice([0.0, 30.0]))
    faults = rng.choice([0.0, 0.05, 0.3])
    for _ in range(150):
        for entry in rng.sample(model.entries, rng.randrange(1, 9)):
            delay = rng.choice([0.0, 0.02, 0.02, 0.4, 2.0])
            for _ in range(rng.randrange(1, 12)):
                model.request(
                    entry,
                    rng.choice([1, 1, 2]),
                    delay=Delay(ask_s=delay, answer_s=delay),
                    keeps=rng.random() < 0.9,
                    held_s=rng.choice([0.0, 0.3, 1.5, 3.0]),
                )
        model.advance(rng.choice([0.05, 0.3, 1.0]))
        if rng.random() < 0.5:
            model.publish()
        if rng.random() < faults:
            _disturb(rng, model)
    model.advance(WINDOW_S)
    return model


def _disturb(rng, model):
    kind = rng.choice(["elect", "restart", "restart all", "pause", "join"])
    number = rng.randrange(len(model.entries))
    if kind == "elect":
        model.elect(wait_s=rng.choice([0.0, 0.3, 4.0]))
    elif kind == "restart":
        model.restart(number)
    elif kind == "restart all":
        for each in range(len(model.entries)):
            model.restart(each)
    elif kind == "pause":
        pause_s = rng.uniform(0.1, 9.0)
        model.entries[number].paused_until_s = model.now_s + pause_s
    else:
        model.entries.append(model.entries[number].__class__(f"new-{number}"))


def test_retries_of_all_entries_stay_within_the_allowance():
    """Guards against retries that restarts or owners that change multiply.

    Entries end and join, all at once too, and are paused with credit in
    hand; owners are replaced, with and without the grants before them.
    """
    for seed in range(SCHEDULES):
        model = _play(random.Random(seed))
        assert model.worst_window() <= ALLOWANCE.units, seed


@pytest.mark.parametrize("entries", [1, 8, 191])
def test_the_allowance_can_be_used(entries):
    """Guards against retries that are denied below the allowance."""
    model = CreditModel(
        entries=entries, margin=None, quota=ALLOWANCE, window_s=WINDOW_S
    )
    model.advance(30.0)
    while model.now_s < 40.0:
        for entry in model.entries:
            model.request(entry, 1, delay=Delay(ask_s=0.01, answer_s=0.01))
        model.advance(0.1)
    assert model.worst_window() >= 0.9 * ALLOWANCE.units


def test_an_empty_allowance_denies_each_retry():
    """Guards against an owner that fails where nothing can be granted."""
    owner = CreditOwner(
        epoch=1, margin=None, opened_s=0.0, grants_unlimited=False
    )
    nothing = RetryAllowance(units=0.0, window_s=WINDOW_S)
    owner.update((LimitedService(name="shop", quota=nothing),), now_s=0.0)
    ask = CreditAsk(organisation="shop", needs=(1,))
    grant = owner.grant("entry-1", ask, entries=1, now_s=60.0)
    assert grant.granted == (False,)
    assert WINDOW_S <= grant.retry_after_s < math.inf


def test_retries_of_an_unknown_service_are_denied():
    """Guards against an allowance without bound for a name without one."""
    owner = CreditOwner(
        epoch=1, margin=None, opened_s=0.0, grants_unlimited=False
    )
    owner.update((LimitedService(name="shop", quota=ALLOWANCE),), now_s=0.0)
    ask = CreditAsk(organisation="shopp", needs=(1, 1))
    grant = owner.grant("entry-1", ask, entries=1, now_s=60.0)
    assert grant.granted == (False, False)
