"""Lets one instance at a time own what all entries share.

The leader is the owner.  It acts as such only while a quorum has accepted its
leadership so recently that no later leader can be open, and a new leader
opens one lease after its election.
"""

LEASE_S = 0.3
"""Time from a heartbeat that a quorum answered in which the owner is open."""

LEASE_MARGIN_S = 0.03
"""Part of the lease that is not used, for clocks of different rates."""

FORWARD_TIMEOUT_S = 0.2
"""Time in which the leader must answer a forwarded call.

A leader that is paused accepts calls; its successor may be open already.
"""


class OwnerLease:
    """Whether this instance is the owner, and the way to it elsewhere.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    leader_link : LeaderLink
        Forwards calls to the leader.
    supports : callable
        Returns whether an instance understands the calls.
    """

    def __init__(self, *, replica, leader_link, supports):
        """Use the replica and the links of this process."""
        self._replica = replica
        self._leader_link = leader_link
        self._supports = supports

    @property
    def epoch(self):
        """Distinguishes this owner from earlier and later ones."""
        return self._replica.node.term

    @property
    def opened_s(self):
        """Time from which this instance is open, if it leads."""
        return self._replica.node.elected_s + LEASE_S

    def is_open(self, now_s):
        """Return whether this instance may act as the owner now."""
        node = self._replica.node
        if not self._replica.is_caught_up_leader or node.is_transferring:
            return False
        silent_s = now_s - node.quorum_acked_s(now_s)
        return now_s >= self.opened_s and silent_s < LEASE_S - LEASE_MARGIN_S

    async def answer(self, call, answer_as_leader):
        """Return the owner's answer to a call; None if it is not reached.

        Parameters
        ----------
        answer_as_leader : callable
            Returns the answer to the call if this instance leads.
        """
        if self._replica.is_caught_up_leader:
            return answer_as_leader(call)
        leader = self._leader_link.address
        if leader is None or not self._supports(leader):
            return None
        return await self._leader_link.call(call, timeout_s=FORWARD_TIMEOUT_S)
