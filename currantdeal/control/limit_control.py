"""Limits of upstreams at a control instance: reports, and their owner.

Entries report the limits that upstreams name to them, and receive those of
all entries.  The leader owns the limits: it assigns the slots in which
requests may be sent, see ``currantdeal.policy.limits.limit_owner``.
"""

from currantdeal.control.owner_lease import OwnerLease
from currantdeal.node.limit_messages import LimitAnswer
from currantdeal.policy.limits.limit_owner import LimitOwner
from currantdeal.policy.limits.limit_records import LimitRecords

NO_OWNER = LimitAnswer()


class LimitControl:
    """Reports of limits, and the owner of the limits on the leader.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    leader_link : LeaderLink
        Forwards calls to the leader.
    supports : callable
        Returns whether an instance understands ``LimitCall``.
    clock : callable
        Returns the seconds that the replica uses.
    """

    def __init__(self, *, replica, leader_link, supports, clock):
        """Start without limits."""
        self._lease = OwnerLease(
            replica=replica, leader_link=leader_link, supports=supports
        )
        self._clock = clock
        self._local = LimitRecords()
        self._all = LimitRecords()
        self._owner = None
        self._epoch = None
        self._is_changed = False

    @property
    def local_reports(self):
        """Limits that entries reported to this instance, for the others.

        Reports of other instances are left out: sent back and forth, they
        would never become older.
        """
        return self._local.reports(now_s=self._clock())

    @property
    def reports(self):
        """Limits that any entry reported, for the entries."""
        return self._all.reports(now_s=self._clock())

    def receive_from_entry(self, reports):
        """Merge the reports of an entry that subscribes to this instance."""
        self._local.merge(reports, now_s=self._clock())
        self.receive(reports)

    def receive(self, reports):
        """Merge the reports of another control instance."""
        if self._all.merge(reports, now_s=self._clock()):
            self._is_changed = True

    def take_changed(self):
        """Return whether a limit has changed since the last call."""
        changed, self._is_changed = self._is_changed, False
        return changed

    async def answer(self, call):
        """Return the ``LimitAnswer`` to an entry or a control instance."""
        answer = await self._lease.answer(call, self._answer_as_leader)
        return answer or NO_OWNER

    def _answer_as_leader(self, call):
        now_s = self._clock()
        if not self._lease.is_open(now_s):
            return NO_OWNER
        if self._epoch != self._lease.epoch:
            self._epoch = self._lease.epoch
            self._owner = LimitOwner(opened_s=self._lease.opened_s)
        return LimitAnswer(grant=self._owner.admit(call.ask, now_s=now_s))
