"""Confirms to entries how old their view of the configuration is at most.

The leader knows when a quorum last accepted its leadership.  No other leader
can have acknowledged a configuration before that time, so the leader's own
one was the newest.  Other instances ask the leader and pass the answer on,
see ``currantdeal.organisations.freshness``.
"""

import asyncio

from currantdeal.core import boot_time_s
from currantdeal.node.organisation_messages import ConfirmAnswer, ConfirmCall
from currantdeal.node.single_flight import SingleFlight

ASK_INTERVAL_S = 0.1
"""Minimum time between two calls to the leader."""

REUSE_S = 0.25
"""Age up to which a confirmation is passed on without asking again."""

ASK_TIMEOUT_S = 0.4
"""Time in which the leader must answer; entries wait a little longer."""


class ViewConfirmation:
    """The last confirmation by the leader, as one control instance knows it.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    leader_link : LeaderLink
        Forwards calls to the leader.
    supports : callable
        Returns whether an instance understands ``ConfirmCall``.
    clock : callable
        Returns the monotonic seconds that the replica uses.
    """

    def __init__(self, *, replica, leader_link, supports, clock):
        """Start without a confirmation."""
        self._replica = replica
        self._leader_link = leader_link
        self._supports = supports
        self._clock = clock
        self._version = 0
        self._confirmed_s = None
        self._asked = SingleFlight(work=self._ask, interval_s=ASK_INTERVAL_S)

    async def answer(self, call):
        """Return the ``ConfirmAnswer`` to an entry or a control instance."""
        if self._replica.is_caught_up_leader:
            return self._confirm_as_leader()
        if call.fresh or self._age_s() > REUSE_S:
            asked = await self._asked.run()
        else:
            asked = False
        if call.fresh and asked:
            await self._wait_for_version()
        if self._confirmed_s is None:
            return ConfirmAnswer(certain=False)
        return ConfirmAnswer(
            certain=True,
            version=self._version,
            age_s=self._age_s(),
            fresh=asked,
        )

    def _confirm_as_leader(self):
        now_s, node = self._clock(), self._replica.node
        return ConfirmAnswer(
            certain=True,
            version=self._replica.state.version,
            age_s=now_s - node.quorum_acked_s(now_s),
            # One that is held up by its disk may have been replaced.
            fresh=node.is_sole_leader(now_s),
        )

    def _age_s(self):
        if self._confirmed_s is None:
            return float("inf")
        return boot_time_s() - self._confirmed_s

    async def _ask(self):
        """Ask the leader; returns whether it knows the newest version."""
        leader = self._leader_link.address
        if leader is None or not self._supports(leader):
            return False
        sent_s = boot_time_s()
        answer = await self._leader_link.call(
            ConfirmCall(), timeout_s=ASK_TIMEOUT_S
        )
        if answer is None or not answer.certain:
            return False
        confirmed_s = sent_s - answer.age_s
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._version = answer.version
            self._confirmed_s = confirmed_s
        return answer.fresh

    async def _wait_for_version(self):
        """Wait until this instance has published the newest version."""
        until_s = self._clock() + ASK_TIMEOUT_S
        while (
            self._replica.state.version < self._version
            and self._clock() < until_s
        ):
            await asyncio.sleep(0.02)
