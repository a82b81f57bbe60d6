"""Leases on the view: who may still act on which version of the state.

An instance may hand out work under its view only while it holds a lease.
The idea, leases that are renewed by heartbeats, count from the *sending* of
the heartbeat and are told as time remaining so that clocks need not agree,
is that of read leases in Ceph [1]_.  Here a lease is anchored at the sending
of the latest heartbeat that a quorum of replicas has answered.  A later
leader can only be elected after that heartbeat, so one that waits a whole
lease after its election knows that every lease of its predecessors has run
out, although it has never heard of their holders.

References
----------
.. [1] Ceph documentation, "Preventing Stale Reads".
"""

from dataclasses import dataclass

from currantdeal.core import InstanceId, RegionId

CLOCK_DRIFT = 0.02
"""Most by which two monotonic clocks differ in rate, as a share.

Quartz clocks differ by 0.0001 at worst; the rest covers a virtual machine
whose clock is being slewed.
"""

FORGET_AFTER_S = 600.0
"""Time after the end of a lease at which its holder is forgotten."""


@dataclass(frozen=True, kw_only=True)
class Holder:
    """An instance that has asked this leader for a lease.

    Parameters
    ----------
    version : int
        Version that it had applied when it asked.
    ends_s : float
        Leader's monotonic time after which the lease has surely run out.
    """

    instance: InstanceId
    region: RegionId
    version: int
    ends_s: float


class LeaseTable:
    """The leader's record of leases.

    Parameters
    ----------
    lease_s : float
        Length of a lease.
    elected_s : float
        Monotonic time of the leader's election.

    Examples
    --------
    >>> from currantdeal.consensus import LeaseTable
    >>> table = LeaseTable(lease_s=2.0, elected_s=0.0)
    >>> table.renew("i1", "lagos", 7, anchor_s=9.9, now_s=10.0)
    1.9
    >>> table.in_force(7, 10.0), table.in_force(8, 10.0)
    (True, False)
    >>> table.in_force(8, 12.0)
    True
    """

    def __init__(self, *, lease_s, elected_s):
        """Start without knowing any holder."""
        self._lease_s = lease_s
        self._elected_s = elected_s
        self._longest_s = lease_s * (1.0 + CLOCK_DRIFT)
        self._unknown_until_s = elected_s + self._longest_s
        self._holders = {}

    @property
    def elected_s(self):
        """Monotonic time of the leader's election."""
        return self._elected_s

    def renew(self, instance, region, version, *, anchor_s, now_s):
        """Return the seconds that the instance may act on its view.

        Parameters
        ----------
        anchor_s : float
            When the latest heartbeat was sent that a quorum has answered.
        """
        known = self._holders.get(instance)
        ends_s = anchor_s + self._longest_s
        self._holders[instance] = Holder(
            instance=instance,
            region=region,
            version=version,
            ends_s=max(ends_s, known.ends_s if known else ends_s),
        )
        return max(0.0, round(anchor_s + self._lease_s - now_s, 6))

    def release(self, instance):
        """Note that the instance has given up its lease."""
        self._holders.pop(instance, None)

    def in_force(self, version, now_s):
        """Return whether nobody acts on an earlier version any more."""
        if now_s < self._unknown_until_s:
            return False
        return all(
            holder.version >= version or holder.ends_s <= now_s
            for holder in self._holders.values()
        )

    def remaining_s(self, instance, now_s):
        """Return an upper bound of what is left of an instance's lease."""
        known = self._holders.get(instance)
        ends_s = known.ends_s if known else 0.0
        return max(0.0, max(ends_s, self._unknown_until_s) - now_s)

    def holders(self, now_s, *, also=()):
        """Return who has asked lately, sorted by name.

        Parameters
        ----------
        also : iterable of InstanceId
            Instances that may hold a lease of an earlier leader; they are
            told too while such a lease may last.
        """
        for name, holder in tuple(self._holders.items()):
            if holder.ends_s + FORGET_AFTER_S < now_s:
                del self._holders[name]
        found = dict(self._holders)
        if now_s < self._unknown_until_s:
            for name in also:
                found.setdefault(name, self._unheard(name))
        return tuple(found[name] for name in sorted(found))

    def _unheard(self, name):
        return Holder(
            instance=name,
            region=RegionId(""),
            version=0,
            ends_s=self._unknown_until_s,
        )
