"""A prefill and its run are one charge to the retry budget, or none."""

import asyncio
import itertools
import math

import pytest

from currantdeal.adapters.metrics import Metrics
from currantdeal.core import boot_time_s
from currantdeal.entry.arrivals import ArrivalKind, Arrivals
from currantdeal.entry.retry_budgets import RetryBudgets, RetryRatio
from currantdeal.node.organisation_messages import CreditAnswer
from currantdeal.organisations import (
    CreditOwner,
    LimitedService,
    RetryAllowance,
)
from currantdeal.organisations.credit_bounds import RETRY_BASE_SHARE
from currantdeal.policy.retries.request_credit import HELD_CREDIT_S

RATIO = RetryRatio(ratio=0.5, window_s=10.0)
REQUESTS_PER_RETRY = 4
SERVICE = "model"


class _World:
    """Budgets of an entry with some credit of its own and of the owner."""

    def __init__(self, *, own, owner, ask_s=0.0):
        """Connect them to an owner that answers after some time."""
        self.now_s = boot_time_s()
        self.ask_s = ask_s
        self.denied = []
        self.budgets = RetryBudgets(bounds=RATIO, clock=lambda: self.now_s)
        self.budgets.on_denied = self.denied.append
        self.budgets.connect(self._ask)
        for _ in range(REQUESTS_PER_RETRY * own):
            self.budgets.record_request(SERVICE)
        self._owner = CreditOwner(
            epoch=1, margin=None, opened_s=-math.inf, grants_unlimited=False
        )
        # A new owner grants half of an allowance at once.
        units = owner / RETRY_BASE_SHARE + 0.01
        quota = RetryAllowance(units=units, window_s=RATIO.window_s)
        self._owner.update(
            [LimitedService(name=SERVICE, quota=quota)], now_s=0.0
        )

    async def _ask(self, asks):
        await asyncio.sleep(self.ask_s)
        return CreditAnswer(
            epoch=1,
            grants=tuple(
                self._owner.grant("e1", ask, entries=1, now_s=self.now_s)
                for ask in asks
            ),
        )

    def arrivals(self):
        """Return the arrivals of a new request."""
        return Arrivals(
            service=SERVICE,
            charge=self.budgets.charge,
            give_back=self.budgets.give_back,
            metrics=Metrics(),
            clock=lambda: self.now_s,
        )

    async def left(self):
        """Return the credit of this entry and of the owner, as of now."""
        await asyncio.sleep(self.ask_s + 0.01)
        own = self.budgets.left()[SERVICE]
        level = self._owner.level(SERVICE, now_s=self.now_s)
        return own, math.floor(level)


def _moving(world):
    """Return the arrivals of a stream, of which one run was sent."""
    arrivals = world.arrivals()
    arrivals.begin(ArrivalKind.PREFILL)
    arrivals.accept_prefill()
    arrivals.begin(ArrivalKind.RUN)
    return arrivals


@pytest.mark.parametrize(
    ("own", "owner"), list(itertools.product(range(4), range(4)))
)
def test_prefill_and_run_are_charged_together_or_not_at_all(own, owner):
    """Guards against a prefill that uses credit though its run is denied."""

    async def run():
        world = _World(own=own, owner=owner)
        arrivals = _moving(world)
        may_send = await arrivals.may_send(ArrivalKind.PREFILL)
        assert may_send is (own + owner >= 2)
        used = 2 if may_send else 0
        assert sum(await world.left()) == own + owner - used
        assert world.denied == ([] if may_send else [SERVICE])
        if may_send:
            arrivals.begin(ArrivalKind.PREFILL)
            arrivals.begin(ArrivalKind.RUN)

    asyncio.run(run())


@pytest.mark.parametrize("sent", [0, 1, 2])
@pytest.mark.parametrize(("own", "owner"), [(2, 0), (1, 1), (0, 2)])
def test_charges_that_are_not_used_are_given_back(own, owner, sent):
    """Guards against moves that are given up and use the budget."""

    async def run():
        world = _World(own=own, owner=owner)
        arrivals = _moving(world)
        assert await arrivals.may_send(ArrivalKind.PREFILL)
        for kind in (ArrivalKind.PREFILL, ArrivalKind.RUN)[:sent]:
            arrivals.begin(kind)
        arrivals.give_back()
        arrivals.give_back()
        assert sum(await world.left()) == 2 - sent
        assert arrivals.charge_left_s == 0.0

    asyncio.run(run())


def test_a_caller_who_leaves_during_the_charge_leaves_the_credit():
    """Guards against credit that is lost with the caller who waited for it."""

    async def run():
        world = _World(own=1, owner=1, ask_s=0.02)
        arrivals = _moving(world)
        task = asyncio.ensure_future(arrivals.may_send(ArrivalKind.PREFILL))
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert world.budgets.left()[SERVICE] == 1
        # The grant arrives, and is returned with the next call.
        await world.left()
        assert await world.left() == (1, 1)

    asyncio.run(run())


def test_a_charge_that_lapsed_is_made_again_with_the_same_credit():
    """Guards against a long prefill that loses the credit of its run."""

    async def run():
        world = _World(own=2, owner=0)
        arrivals = _moving(world)
        assert await arrivals.may_send(ArrivalKind.PREFILL)
        arrivals.begin(ArrivalKind.PREFILL)
        world.now_s += HELD_CREDIT_S
        assert arrivals.charge_left_s == 0.0
        assert await arrivals.may_send(ArrivalKind.RUN)
        arrivals.begin(ArrivalKind.RUN)
        assert await world.left() == (0, 0)

    asyncio.run(run())


def test_streams_that_move_at_once_share_the_budget_in_pairs():
    """Guards against streams of which each has half of its charge.

    Load pattern: retry storm.  Many streams fall silent in one moment.
    """

    async def run():
        world = _World(own=5, owner=6, ask_s=0.005)
        moves = [_moving(world) for _ in range(20)]
        may_send = await asyncio.gather(
            *(a.may_send(ArrivalKind.PREFILL) for a in moves)
        )
        assert sum(may_send) == 5
        assert sum(await world.left()) == 1

    asyncio.run(run())
