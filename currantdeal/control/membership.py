"""Adds control instances to the replica set and removes them from it.

At the first start of a deployment the instances that every settings file
names form the replica set.  All others, and those whose disk is empty at a
later start, request to join.  A replica that has lost its votes must not vote
before it has caught up: otherwise two leaders could be elected in one term
and an acknowledged change would be lost.

An instance that is stopped requests to leave.  If it is being replaced, it
does not return; left as a voter, it would cost the others their majority as
soon as one more of them fails.
"""

import asyncio

import structlog

from currantdeal.consensus import (
    Configuration,
    NotLeaderError,
    RaftRole,
    Replica,
    can_leave,
    is_active_member,
)
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import Done, JoinCall, LeaveCall

JOIN_INTERVAL_S = 0.4
"""Pause between join requests."""

JOIN_TIMEOUT_S = 0.6
"""Timeout of a request to join or to leave."""

LEAVE_INTERVAL_S = 0.1
"""Pause between leave requests."""

LEAVE_TIMEOUT_S = 1.5
"""Time for which a stopping instance requests to leave: a few elections."""

UNANSWERED_LOG_INTERVAL_S = 5.0
"""Pause between log lines that report that no join request succeeded."""

_log = structlog.get_logger(__name__)


class Membership:
    """Joins this instance to the replica set, and admits and removes others.

    Parameters
    ----------
    local_id : str
        Peer address of this instance.
    replica : currantdeal.control.replica.Replica
        The replica of this process.
    links : callable
        Returns the ``PeerLink`` to an address.
    initial_addresses : callable
        Returns the peer addresses of the first replica set, as the settings
        name them.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, local_id, replica, links, initial_addresses, clock):
        """Send no request before ``join_if_needed`` or ``leave``."""
        self._local_id = local_id
        self._replica = replica
        self._links = links
        self._initial_addresses = initial_addresses
        self._clock = clock
        self._last_leader_s = clock()
        self._unanswered_logged_s = clock()
        self._is_leaving = False

    @property
    def control_addresses(self):
        """Peer addresses of all known control instances."""
        members = self._replica.node.configuration.members
        found = tuple(member.address for member in members)
        return found or self._initial_addresses()

    @property
    def voter_addresses(self):
        """Peer addresses of the voters of the replica set."""
        voters = self._replica.node.configuration.voters
        return tuple(v.address for v in voters) or self._initial_addresses()

    def bootstrap(self, *, first_start):
        """Bootstrap the first replica set at the first start of a deployment.

        Parameters
        ----------
        first_start : bool
            True if the settings mark this start as the first one.
        """
        node = self._replica.node
        seeds = self._initial_addresses()
        if (
            first_start
            and node.blank
            and node.is_fresh
            and self._local_id in seeds
        ):
            voters = tuple(
                Replica(instance=address, address=address)
                for address in sorted(seeds)
            )
            self._replica.bootstrap(Configuration(voters=voters))

    async def join_if_needed(self):
        """Request to join, unless this instance is a member or is leaving."""
        node = self._replica.node
        now_s = self._clock()
        if node.leader is not None:
            self._last_leader_s = now_s
        is_member = not node.blank and is_active_member(
            node.configuration,
            self._local_id,
            leaderless_s=now_s - self._last_leader_s,
        )
        if self._is_leaving or is_member:
            return
        call = JoinCall(
            instance=self._local_id, address=self._local_id, blank=node.blank
        )
        known = (*self.control_addresses, *self._initial_addresses())
        answers = {}
        for address in dict.fromkeys(known):
            if address == self._local_id:
                continue
            try:
                answer = await self._links(address).call(
                    call, timeout_s=JOIN_TIMEOUT_S
                )
            except PeerUnreachableError:
                answers[address] = "unreachable"
                continue
            if answer.accepted:
                return
            answers[address] = "refused"
        self._log_unanswered(answers, blank=node.blank)

    async def on_join(self, call):
        """Admit an instance, or forward its request to the leader."""
        node = self._replica.node
        if node.role is not RaftRole.LEADER:
            return await self._forward(call)
        joining = Replica(instance=call.instance, address=call.address)
        now_s = self._clock()
        known = joining in node.configuration.members
        is_accepted = self._replica.change(
            lambda n: n.join(joining, blank=call.blank, now_s=now_s)
        )
        if is_accepted and not (known and not call.blank):
            _log.info("replica-joins", replica=call.instance, blank=call.blank)
        return Done(accepted=is_accepted)

    async def leave(self):
        """Request removal from the replica set, if that is possible.

        A voter of a set of odd size is not removed while there is no learner
        to take its place.
        """
        self._is_leaving = True
        deadline_s = self._clock() + LEAVE_TIMEOUT_S
        while self._may_leave and self._clock() < deadline_s:
            if await self._request_leave():
                _log.info("replica-left", replica=self._local_id)
                return
            await asyncio.sleep(LEAVE_INTERVAL_S)

    def on_leave(self, call):
        """Start the removal of a stopping instance, if this one leads.

        The answer is positive once the removal is committed.
        """
        node = self._replica.node
        try:
            left = node.leave(call.instance, self._clock())
        except NotLeaderError:
            return Done(accepted=False)
        return Done(accepted=left)

    @property
    def _may_leave(self):
        configuration = self._replica.node.configuration
        return can_leave(configuration, self._local_id)

    async def _request_leave(self):
        leader = self._replica.node.leader
        if leader is None or leader == self._local_id:
            return False
        try:
            answer = await self._links(leader).call(
                LeaveCall(instance=self._local_id), timeout_s=JOIN_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        return answer.accepted

    def _log_unanswered(self, answers, *, blank):
        now_s = self._clock()
        if now_s - self._unanswered_logged_s < UNANSWERED_LOG_INTERVAL_S:
            return
        self._unanswered_logged_s = now_s
        _log.warning(
            "join-unanswered",
            answers=answers,
            blank=blank,
            alone_s=round(now_s - self._last_leader_s, 3),
        )

    async def _forward(self, call):
        leader = self._replica.node.leader
        if call.forwarded or leader is None or leader == self._local_id:
            return Done(accepted=False)
        forwarded = JoinCall(
            instance=call.instance,
            address=call.address,
            blank=call.blank,
            forwarded=True,
        )
        try:
            return await self._links(leader).call(
                forwarded, timeout_s=JOIN_TIMEOUT_S
            )
        except PeerUnreachableError:
            return Done(accepted=False)
