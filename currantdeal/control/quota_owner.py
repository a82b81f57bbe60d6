"""Grants the credit of quotas while this instance leads.

The leader owns all quotas, see ``currantdeal.control.owner_lease``.
"""

import math

from currantdeal.control.owner_lease import OwnerLease
from currantdeal.node.organisation_messages import CreditAnswer, GrantLog
from currantdeal.organisations import CreditOwner

NO_OWNER = CreditAnswer()


class QuotaOwner:
    """Owner of all quotas on the leader, and the way to it elsewhere.

    Another one owns the allowances of retries, which services have.

    Parameters
    ----------
    replica : Replica
        The replica of this process.
    leader_link : LeaderLink
        Forwards calls to the leader.
    supports : callable
        Returns whether an instance understands ``CreditCall``.
    entries : callable
        Returns the number of entries.
    limited : callable
        Returns what a configuration limits: objects with a name and a quota.
    margin : QuotaMargin or None
        Margin above the quotas.
    grants_unlimited : bool
        Whether asks of a name without a quota are granted.
    clock : callable
        Returns the seconds that the replica uses.
    """

    def __init__(
        self,
        *,
        replica,
        leader_link,
        supports,
        entries,
        limited,
        margin,
        grants_unlimited,
        clock,
    ):
        """Start without quotas."""
        self._replica = replica
        self._lease = OwnerLease(
            replica=replica, leader_link=leader_link, supports=supports
        )
        self._entries = entries
        self._limited_by = limited
        self._grants_unlimited = grants_unlimited
        self._margin = margin
        self._clock = clock
        self._limited = ()
        self._owner = None
        self._first_epoch = None
        self._last_log = None
        self._last_log_s = 0.0

    def observe(self):
        """Note whether this leader precedes the first configuration.

        Then no earlier owner can have granted credit.
        """
        replica = self._replica
        if replica.is_caught_up_leader and not replica.state.version:
            self._first_epoch = replica.node.term

    def grant_log(self):
        """Return the grants of this owner for its successor, or None."""
        now_s = self._clock()
        if not self._lease.is_open(now_s):
            return None
        owner = self._current_owner(now_s)
        return GrantLog(epoch=owner.epoch, grants=owner.grants(now_s=now_s))

    def receive_grants(self, log):
        """Keep the grants of the current owner."""
        if self._last_log is None or log.epoch >= self._last_log.epoch:
            self._last_log = log
            self._last_log_s = self._clock()

    def update_config(self, config):
        """Use the quotas of a committed configuration."""
        self._limited = self._limited_by(config)
        if self._owner is not None:
            self._owner.update(self._limited, now_s=self._clock())

    async def answer(self, call):
        """Return the ``CreditAnswer`` to an entry or a control instance."""
        answer = await self._lease.answer(call, self._answer_as_leader)
        return answer or NO_OWNER

    def _answer_as_leader(self, call):
        now_s = self._clock()
        if not self._lease.is_open(now_s):
            return NO_OWNER
        owner = self._current_owner(now_s)
        entries = self._entries()
        return CreditAnswer(
            epoch=owner.epoch,
            grants=tuple(
                owner.grant(call.entry, ask, entries=entries, now_s=now_s)
                for ask in call.asks
            ),
        )

    def _current_owner(self, now_s):
        epoch = self._lease.epoch
        if self._owner is None or self._owner.epoch != epoch:
            is_first = epoch == self._first_epoch
            self._owner = CreditOwner(
                epoch=epoch,
                margin=self._margin,
                opened_s=-math.inf if is_first else self._lease.opened_s,
                inherited=self._inherited(epoch),
                grants_unlimited=self._grants_unlimited,
            )
            self._owner.update(self._limited, now_s=now_s)
        return self._owner

    def _inherited(self, epoch):
        """Return the grants of the owner before, if it is known to be that.

        With an epoch in between, another owner may have granted the same
        units again.
        """
        log = self._last_log
        if log is None or log.epoch != epoch - 1:
            return {}
        return {
            name: tuple((self._last_log_s - age_s, u) for age_s, u in grants)
            for name, grants in log.grants.items()
        }
