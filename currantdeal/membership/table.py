"""What one instance believes of the others, and which news is newer.

An incarnation number holds the start of the process in its upper bits and a
counter in its lower ones.  Only the instance itself raises it: by the
counter when it refutes a suspicion or has news of its own load, by the upper
bits when it starts again.  So a restarted instance is told from the same one.

References
----------

.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
   Infection-style Process Group Membership Protocol", DSN 2002.
"""

from currantdeal.ports import MemberStatus

COUNTER_BITS = 20

_RANKS = {
    MemberStatus.ALIVE: 0,
    MemberStatus.SUSPECT: 1,
    MemberStatus.DEAD: 2,
    MemberStatus.LEFT: 3,
}
_REACHABLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


def first_incarnation(wall_s):
    """Return the first incarnation of a process that starts now.

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
    """Return whether two incarnations belong to one start of a process."""
    return one >> COUNTER_BITS == other >> COUNTER_BITS


def next_incarnation(me, news):
    """Return an incarnation of ``me`` that overrides news of it."""
    if news.incarnation > me.incarnation and not same_process(
        news.incarnation, me.incarnation
    ):
        return ((news.incarnation >> COUNTER_BITS) + 1) << COUNTER_BITS
    return news.incarnation + 1


def is_reachable(member):
    """Return whether a member is alive or merely suspected."""
    return member.status in _REACHABLE


def is_newer(news, known):
    """Return whether news of a member overrides what is known of it.

    A higher incarnation wins; within one, the worse status does, so that a
    suspicion spreads and only the suspected instance itself can end it.
    """
    return _rank(news) > _rank(known)


class MemberTable:
    """Latest news of every instance that has been heard of.

    Parameters
    ----------
    me : Member
        This instance; news of it is never taken from others.
    """

    def __init__(self, *, me):
        """Start with this instance alone."""
        self._me = me.instance
        self._members = {me.instance: me}
        self._heard_s = {}
        self._version = 0
        self._reachable = []

    @property
    def me(self):
        """The record of this instance."""
        return self._members[self._me]

    @property
    def version(self):
        """Number of changes so far."""
        return self._version

    @property
    def reachable(self):
        """The other members that are alive or merely suspected."""
        return self._reachable

    def get(self, instance):
        """Return what is known of an instance, or None."""
        return self._members.get(instance)

    def all(self):
        """Return all members, sorted by name."""
        return tuple(self._members[name] for name in sorted(self._members))

    def others(self, wanted):
        """Return the other members for which ``wanted`` is true."""
        return [
            member
            for name, member in self._members.items()
            if name != self._me and wanted(member)
        ]

    def take(self, news, *, now_s):
        """Keep news if it is newer; return whether it was."""
        known = self._members.get(news.instance)
        if known is not None and not is_newer(news, known):
            return False
        self._members[news.instance] = news
        self._heard_s[news.instance] = now_s
        self._changed()
        return True

    def forget_before(self, oldest_s):
        """Drop members that were declared dead before a time."""
        for member in self.others(lambda found: not is_reachable(found)):
            if self._heard_s[member.instance] < oldest_s:
                del self._members[member.instance]
                del self._heard_s[member.instance]
                self._changed()

    def _changed(self):
        self._version += 1
        self._reachable = self.others(is_reachable)


def _rank(member):
    return member.incarnation, _RANKS[member.status]
