"""Reports of limits, and their owner over changes of the leader."""

import asyncio
from types import SimpleNamespace

import pytest

from currantdeal.control.limit_control import LimitControl
from currantdeal.control.owner_lease import LEASE_S
from currantdeal.node.limit_messages import LimitAnswer, LimitCall
from currantdeal.policy.limits.limit_owner import (
    MAX_DELAY_S,
    LimitAsk,
    LimitGrant,
)
from currantdeal.policy.limits.limit_records import MAX_AGE_S, LimitReport

CALL = LimitCall(ask=LimitAsk(rates_per_s={"u1": 2.0}))
ELSEWHERE = LimitAnswer(grant=LimitGrant(upstream="u9"))
NAMED = {"u1": LimitReport(rate_per_s=2.0, age_s=0.0)}


class _Control:
    """A control instance with a replica whose state the test sets."""

    def __init__(self, *, leads=True, supports=True, **node):
        self.now_s = 100.0
        self.node = SimpleNamespace(
            is_transferring=False,
            elected_s=10.0,
            term=3,
            quorum_acked_s=lambda now_s: now_s - 0.1,
        )
        vars(self.node).update(node)
        self.limits = LimitControl(
            replica=SimpleNamespace(is_caught_up_leader=leads, node=self.node),
            leader_link=SimpleNamespace(address="leader", call=self._forward),
            supports=lambda address: supports,
            clock=lambda: self.now_s,
        )

    def ask(self):
        """Return the grant to an entry; None if no owner is reached."""
        return asyncio.run(self.limits.answer(CALL)).grant

    async def _forward(self, call, *, timeout_s):
        return ELSEWHERE


def test_leader_assigns_slots():
    control = _Control()
    assert [control.ask().upstream for _ in range(2)] == ["u1", ""]
    control.now_s += 0.5
    assert control.ask().upstream == "u1"


@pytest.mark.parametrize(
    "node",
    [
        {"elected_s": 100.0 - LEASE_S / 2},
        {"is_transferring": True},
        {"quorum_acked_s": lambda now_s: now_s - LEASE_S},
    ],
)
def test_no_two_leaders_assign_slots_at_the_same_time(node):
    """Guards against the limit of two leaders at once."""
    assert _Control(**node).ask() is None


def test_leader_that_is_elected_again_continues_after_its_slots():
    """Guards against slots that are assigned once in each term."""
    control = _Control()
    assert control.ask().upstream == "u1"
    control.node.term = 5
    control.node.elected_s = control.now_s - LEASE_S
    assert control.ask().upstream == ""
    control.now_s += MAX_DELAY_S
    assert control.ask().upstream == "u1"


def test_other_instances_forward_to_the_leader():
    assert _Control(leads=False).ask() == ELSEWHERE.grant


def test_leader_of_an_earlier_build_is_not_asked():
    """Guards against a connection that such a leader would abort."""
    assert _Control(leads=False, supports=False).ask() is None


def test_reports_of_entries_reach_entries_and_other_instances():
    control = _Control()
    control.limits.receive_from_entry(NAMED)
    assert control.limits.reports == NAMED
    assert control.limits.local_reports == NAMED
    assert control.limits.take_changed()
    assert not control.limits.take_changed()


def test_reports_of_other_instances_are_not_returned_to_them():
    """Guards against a limit that instances report to each other forever."""
    control = _Control()
    control.limits.receive(NAMED)
    assert control.limits.reports == NAMED
    assert control.limits.local_reports == {}


def test_limit_that_is_not_named_again_is_forgotten():
    control = _Control()
    control.limits.receive_from_entry(NAMED)
    control.now_s += MAX_AGE_S + 0.1
    assert control.limits.reports == {}
