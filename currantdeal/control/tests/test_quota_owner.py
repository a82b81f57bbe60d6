"""Ownership of quotas over changes of the leader."""

import asyncio
from types import SimpleNamespace

import pytest

from currantdeal.control.owner_lease import LEASE_S
from currantdeal.control.quota_owner import QuotaOwner
from currantdeal.node.organisation_messages import (
    CreditAnswer,
    CreditCall,
    GrantLog,
)
from currantdeal.organisations import CreditAsk, QuotaMargin
from currantdeal.organisations.tests.builders import a_quota, an_organisation

QUOTA = a_quota(rate_per_s=100.0, burst=100.0)
CALL = CreditCall(
    entry="e1", asks=(CreditAsk(organisation="bakery", needs=(10,)),)
)


class _Control:
    """A control instance with a replica whose state the test sets."""

    def __init__(self, **node):
        self.now_s = 100.0
        self.forwarded = []
        self.node = SimpleNamespace(
            is_transferring=False,
            elected_s=10.0,
            term=3,
            quorum_acked_s=lambda now_s: now_s - 0.1,
        )
        vars(self.node).update(node)
        self.replica = SimpleNamespace(
            is_caught_up_leader=True,
            node=self.node,
            state=SimpleNamespace(version=7),
        )
        self.quotas = QuotaOwner(
            replica=self.replica,
            leader_link=SimpleNamespace(address="leader", call=self._forward),
            supports=lambda address: True,
            entries=lambda: 4,
            limited=lambda config: config.organisations or (),
            margin=QuotaMargin(window_s=8.0, overshoot=0.1, slack=1e3),
            grants_unlimited=True,
            clock=lambda: self.now_s,
        )
        self.quotas.update_config(
            SimpleNamespace(organisations=(an_organisation(quota=QUOTA),))
        )

    def ask(self):
        """Return the answer to an entry."""
        return asyncio.run(self.quotas.answer(CALL))

    async def _forward(self, call, *, timeout_s):
        self.forwarded.append(call)
        return CreditAnswer(epoch=9)


def test_the_leader_grants_credit():
    answer = _Control().ask()
    assert answer.epoch == 3
    assert answer.grants[0].granted == (True,)


@pytest.mark.parametrize(
    "node",
    [
        {"elected_s": 100.0 - LEASE_S / 2},
        {"is_transferring": True},
        {"quorum_acked_s": lambda now_s: now_s - LEASE_S},
    ],
)
def test_no_two_leaders_grant_at_the_same_time(node):
    """Guards against the quota of two leaders at once.

    A new leader does not know what its predecessor still grants; one that is
    partitioned from the others does not know of its successor.
    """
    assert _Control(**node).ask().epoch == 0


def test_a_leader_that_is_elected_again_opens_with_an_empty_bucket():
    control = _Control()
    assert control.ask().grants[0].granted == (True,)
    control.node.term = 4
    control.node.elected_s = control.now_s - LEASE_S
    answer = control.ask()
    assert answer.epoch == 4
    assert answer.grants[0].granted == (False,)


def test_other_instances_forward_to_the_leader():
    control = _Control()
    control.replica.is_caught_up_leader = False
    assert control.ask().epoch == 9
    assert control.forwarded == [CALL]


def test_without_quotas_requests_are_granted():
    """An entry asks for a quota that has just been removed."""
    control = _Control()
    control.quotas.update_config(SimpleNamespace(organisations=None))
    assert control.ask().grants[0].granted == (True,)


def test_the_first_leader_opens_with_everything():
    """Guards against refusals while a new deployment starts.

    A leader that was elected before the first configuration has no
    predecessor that granted credit.
    """
    control = _Control(elected_s=100.0 - LEASE_S)
    control.replica.state.version = 0
    control.quotas.observe()
    control.replica.state.version = 1
    assert control.ask().grants[0].granted == (True,)
    assert control.ask().grants[0].pool_ttl_s > 0.0


@pytest.mark.parametrize(("epoch", "granted"), [(3, True), (2, False)])
def test_grants_are_inherited_from_the_owner_just_before(epoch, granted):
    """Guards against grants that an owner in between has made again."""
    control = _Control(elected_s=95.5, term=4)
    control.now_s = 95.0
    log = GrantLog(epoch=epoch, grants={"bakery": ((0.1, 90),)})
    control.quotas.receive_grants(log)
    control.now_s = 95.0 + 8.4
    call = CreditCall(
        entry="e1", asks=(CreditAsk(organisation="bakery", needs=(150,)),)
    )
    answer = asyncio.run(control.quotas.answer(call))
    assert answer.grants[0].granted == (granted,)
