"""Member table of one instance, and the precedence of membership updates.

The upper bits of an incarnation number hold the start time of the process,
the lower bits a counter.  Only the instance itself increases its incarnation
[1]_: the counter when it refutes a suspicion or changes its own record, such
as its load, and the upper bits when it restarts.  This distinguishes a
restarted process from one that has kept running.

References
----------

.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol", DSN 2002.
"""

from currantdeal.ports import MemberStatus

COUNTER_BITS = 20

_STATUS_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}
_REACHABLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def first_incarnation(wall_s):
    """Return the first incarnation of a process that starts at ``wall_s``.

    Parameters
    ----------
    wall_s : float
        Seconds since the epoch.

    Examples
    --------
    >>> from currantdeal.membership import first_incarnation, same_process
    >>> same_process(first_incarnation(1.0), first_incarnation(1.0) + 5)
    True
    >>> same_process(first_incarnation(1.0), first_incarnation(2.0))
    False
    """
    return int(wall_s * 1000) << COUNTER_BITS


def same_process(one, other):
    """Return whether two incarnations belong to the same process."""
    return one >> COUNTER_BITS == other >> COUNTER_BITS


def next_incarnation(me, update):
    """Return an incarnation of ``me`` that overrides an update about it."""
    if update.incarnation > me.incarnation and not same_process(
        update.incarnation, me.incarnation
    ):
        return ((update.incarnation >> COUNTER_BITS) + 1) << COUNTER_BITS
    return update.incarnation + 1


def is_reachable(member):
    """Return whether a member is alive or suspected."""
    return member.status in _REACHABLE


def is_newer(update, current):
    """Return whether an update overrides the current record of a member.

    The higher incarnation takes precedence.  For equal incarnations, the
    worse status takes precedence, so that a suspicion is disseminated and
    only the suspected instance can refute it.
    """
    return _rank(update) > _rank(current)


class MemberTable:
    """Latest record of every known member.

    Parameters
    ----------
    me : Member
        Record of this instance; updates about it that were sent by others
        must not be applied.
    """

    def __init__(self, *, me):
        """Start with this instance as the only member."""
        self._me = me.instance
        self._members = {me.instance: me}
        self._updated_s = {}
        self._version = 0
        self._reachable = []

    @property
    def me(self):
        """Record of this instance."""
        return self._members[self._me]

    @property
    def version(self):
        """Number of changes to the table so far."""
        return self._version

    @property
    def reachable(self):
        """Other members that are alive or suspected."""
        return self._reachable

    def get(self, instance):
        """Return the record of an instance, or None if it is unknown."""
        return self._members.get(instance)

    def all(self):
        """Return all members, sorted by name."""
        return tuple(self._members[name] for name in sorted(self._members))

    def others(self, predicate):
        """Return the other members that satisfy ``predicate``."""
        return [
            member
            for name, member in self._members.items()
            if name != self._me and predicate(member)
        ]

    def apply(self, update, *, now_s):
        """Store an update if it is newer; return whether it was stored."""
        current = self._members.get(update.instance)
        if current is not None and not is_newer(update, current):
            return False
        self._members[update.instance] = update
        self._updated_s[update.instance] = now_s
        self._record_change()
        return True

    def remove_unreachable_before(self, oldest_s):
        """Remove dead and departed members last updated before a time."""
        for member in self.others(lambda m: not is_reachable(m)):
            if self._updated_s[member.instance] < oldest_s:
                del self._members[member.instance]
                del self._updated_s[member.instance]
                self._record_change()

    def _record_change(self):
        self._version += 1
        self._reachable = self.others(is_reachable)


def _rank(member):
    return member.incarnation, _STATUS_RANKS[member.status]
