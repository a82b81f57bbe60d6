"""Confirmations of the view, with stand-ins for the replica and the leader."""

import asyncio
from types import SimpleNamespace

from currantdeal.control.confirmation import ViewConfirmation
from currantdeal.node.organisation_messages import ConfirmAnswer, ConfirmCall


class _Leader:
    """Answers calls like a leader on another instance."""

    def __init__(self, *answers, address="leader"):
        self.address = address
        self.answers = list(answers)
        self.calls = 0

    async def call(self, call, *, timeout_s):
        self.calls += 1
        await asyncio.sleep(0.01)
        return self.answers.pop(0) if self.answers else None


def _answers(calls, *, leader, replica=None, supports=True):
    async def run():
        confirmation = ViewConfirmation(
            replica=replica
            or SimpleNamespace(
                is_caught_up_leader=False, state=SimpleNamespace(version=9)
            ),
            leader_link=leader,
            supports=lambda address: supports,
            clock=asyncio.get_running_loop().time,
        )
        return [await confirmation.answer(call) for call in calls]

    return asyncio.run(run())


def _confirmed(age_s, version=7):
    return ConfirmAnswer(
        certain=True, version=version, age_s=age_s, fresh=True
    )


def test_a_leader_states_the_age_of_its_last_quorum():
    """Guards against a leader that is partitioned and does not notice."""
    replica = SimpleNamespace(
        is_caught_up_leader=True,
        state=SimpleNamespace(version=7),
        node=SimpleNamespace(
            quorum_acked_s=lambda now_s: now_s - 3.0,
            is_sole_leader=lambda now_s: False,
        ),
    )
    (answer,) = _answers([ConfirmCall()], leader=_Leader(), replica=replica)
    assert (answer.certain, answer.version) == (True, 7)
    assert round(answer.age_s, 3) == 3.0
    assert not answer.fresh


def test_a_follower_adds_the_age_of_the_answer_that_it_passes_on():
    (answer,) = _answers([ConfirmCall()], leader=_Leader(_confirmed(2.0)))
    assert answer.version == 7
    assert answer.age_s >= 2.01


def test_a_follower_without_a_leader_states_the_old_age():
    """Guards against a view that looks fresh at a partitioned instance."""
    leader = _Leader(_confirmed(2.0))
    first, second = _answers(
        [ConfirmCall(), ConfirmCall(fresh=True)], leader=leader
    )
    assert second.age_s > first.age_s
    assert not second.fresh


def test_an_older_confirmation_does_not_replace_a_newer_one():
    leader = _Leader(_confirmed(0.0), _confirmed(5.0, version=6))
    _, second = _answers(
        [ConfirmCall(), ConfirmCall(fresh=True)], leader=leader
    )
    assert second.version == 7
    assert second.age_s < 1.0


def test_nothing_is_certain_before_the_first_confirmation():
    (answer,) = _answers([ConfirmCall()], leader=_Leader())
    assert not answer.certain


def test_a_leader_of_an_earlier_build_is_not_called():
    """Guards against a call that an earlier build does not know.

    It would abort the connection that also carries the replicated log.
    """
    leader = _Leader(_confirmed(0.0))
    (answer,) = _answers([ConfirmCall()], leader=leader, supports=False)
    assert leader.calls == 0
    assert not answer.certain
