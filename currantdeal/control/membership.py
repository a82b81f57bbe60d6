"""How control instances become replicas and stop being ones.

At the first start of a deployment the instances that every settings file
names begin as the replica set.  All others, and those that find their disk
empty later, ask to join: a replica that forgot its votes must not count
before it has learned again, or two leaders could be elected in one term and
an acknowledged change would go away.

One that is told to stop asks to leave.  If it is to be replaced, it does not
return, and the others could not spare it once one more is lost.
"""

import asyncio

import structlog

from currantdeal.consensus import (
    Configuration,
    NotLeaderError,
    RaftRole,
    Replica,
    may_give_way,
    takes_part,
)
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import Done, JoinCall, LeaveCall

JOIN_INTERVAL_S = 0.4
"""Pause between attempts to join."""

JOIN_TIMEOUT_S = 0.6
"""Time for a control instance to answer an attempt."""

LEAVE_INTERVAL_S = 0.1
"""Pause between attempts to leave."""

LEAVE_LIMIT_S = 1.5
"""Time for which an instance that stops asks to leave: a few elections."""

UNANSWERED_INTERVAL_S = 5.0
"""Pause between two lines that say that nobody takes this instance in."""

_log = structlog.get_logger(__name__)


class Membership:
    """Joins this instance to the replica set and takes others in.

    Parameters
    ----------
    replica : currantdeal.control.replica.Replica
        The replica of this process.
    links : callable
        Returns the ``PeerLink`` to an address.
    first_set : callable
        Returns the peer addresses that the settings name.
    """

    def __init__(self, *, me, replica, links, first_set, clock):
        """Keep the parts."""
        self._me = me
        self._replica = replica
        self._links = links
        self._first_set = first_set
        self._clock = clock
        self._led_s = clock()
        self._unanswered_told_s = clock()
        self._leaves = False

    @property
    def control_addresses(self):
        """Peer addresses of the control instances known."""
        members = self._replica.node.configuration.members
        found = tuple(member.address for member in members)
        return found or self._first_set()

    @property
    def voter_addresses(self):
        """Those of them that count towards a majority."""
        voters = self._replica.node.configuration.voters
        return tuple(v.address for v in voters) or self._first_set()

    def begin(self, *, first_start):
        """Begin the first replica set, if this is the very first start."""
        node = self._replica.node
        seeds = self._first_set()
        if first_start and node.blank and node.is_fresh and self._me in seeds:
            voters = tuple(
                Replica(instance=address, address=address)
                for address in sorted(seeds)
            )
            self._replica.bootstrap(Configuration(voters=voters))

    async def step(self):
        """Ask to join, if this instance should take part and does not."""
        node = self._replica.node
        now_s = self._clock()
        if node.leader is not None:
            self._led_s = now_s
        settled = not node.blank and takes_part(
            node.configuration, self._me, alone_s=now_s - self._led_s
        )
        if self._leaves or settled:
            return
        call = JoinCall(instance=self._me, address=self._me, blank=node.blank)
        known = (*self.control_addresses, *self._first_set())
        answers = {}
        for address in dict.fromkeys(known):
            if address == self._me:
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
        self._tell_unanswered(answers, blank=node.blank)

    async def on_join(self, call):
        """Take an instance in, or pass its call on to the leader."""
        node = self._replica.node
        if node.role is not RaftRole.LEADER:
            return await self._forward(call)
        joining = Replica(instance=call.instance, address=call.address)
        now_s = self._clock()
        known = joining in node.configuration.members
        taken = self._replica.change(
            lambda n: n.join(joining, blank=call.blank, now_s=now_s)
        )
        if taken and not (known and not call.blank):
            _log.info("replica-joins", replica=call.instance, blank=call.blank)
        return Done(accepted=taken)

    async def leave(self):
        """Ask not to count any more, if this instance can be spared.

        It can't where it is one of an odd number and nobody stands by.
        """
        self._leaves = True
        ends_s = self._clock() + LEAVE_LIMIT_S
        while self._may_give_way and self._clock() < ends_s:
            if await self._ask_to_leave():
                _log.info("replica-left", replica=self._me)
                return
            await asyncio.sleep(LEAVE_INTERVAL_S)

    def on_leave(self, call):
        """Let an instance that stops give way, if this one leads."""
        node = self._replica.node
        try:
            left = node.leave(call.instance, self._clock())
        except NotLeaderError:
            return Done(accepted=False)
        return Done(accepted=left)

    @property
    def _may_give_way(self):
        configuration = self._replica.node.configuration
        return may_give_way(configuration, self._me)

    async def _ask_to_leave(self):
        leader = self._replica.node.leader
        if leader is None or leader == self._me:
            return False
        try:
            answer = await self._links(leader).call(
                LeaveCall(instance=self._me), timeout_s=JOIN_TIMEOUT_S
            )
        except PeerUnreachableError:
            return False
        return answer.accepted

    def _tell_unanswered(self, answers, *, blank):
        now_s = self._clock()
        if now_s - self._unanswered_told_s < UNANSWERED_INTERVAL_S:
            return
        self._unanswered_told_s = now_s
        _log.warning(
            "join-unanswered",
            answers=answers,
            blank=blank,
            alone_s=round(now_s - self._led_s, 3),
        )

    async def _forward(self, call):
        leader = self._replica.node.leader
        if call.forwarded or leader is None or leader == self._me:
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
