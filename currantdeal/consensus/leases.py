"""Leases that limit how long an instance may act on its view of the state.

An instance may assign work under its view only while it holds a lease.  The
design follows read leases in Ceph [1]_: leases are renewed by heartbeats,
start at the *sending* of the heartbeat, and are sent as remaining time so that
clocks need not be synchronised.  Here a lease starts when the latest heartbeat
was sent that a quorum of replicas has answered.  A later leader can only be
elected after that heartbeat.  A new leader that waits for one full lease after
its election can therefore be sure that every lease of its predecessors has
expired, although it has no record of their holders.

References
----------
.. [1] Ceph documentation, "Preventing Stale Reads".
"""

from dataclasses import dataclass

from currantdeal.core import InstanceId, RegionId

CLOCK_DRIFT = 0.02
"""Maximum relative difference in rate between two monotonic clocks.

Quartz clocks differ by at most 0.0001; the rest allows for a virtual machine
whose clock is being slewed.
"""

HOLDER_RETENTION_S = 600.0
"""Time after the end of a lease at which its record is deleted."""


@dataclass(frozen=True, kw_only=True)
class LeaseHolder:
    """An instance that has requested a lease from this leader.

    Parameters
    ----------
    version : int
        Version that it had applied at the time of the request.
    ends_s : float
        Leader's monotonic time after which the lease has certainly expired.
    """

    instance: InstanceId
    region: RegionId
    version: int
    ends_s: float


class LeaseTable:
    """The leases granted by one leader during its term.

    Parameters
    ----------
    lease_s : float
        Duration of a lease.
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
        """Start without any holders."""
        self._lease_s = lease_s
        self._elected_s = elected_s
        self._max_lease_s = lease_s * (1.0 + CLOCK_DRIFT)
        self._earlier_leases_end_s = elected_s + self._max_lease_s
        self._holders = {}

    @property
    def elected_s(self):
        """Monotonic time of the leader's election."""
        return self._elected_s

    def renew(self, instance, region, version, *, anchor_s, now_s):
        """Grant or renew a lease; return its remaining time in seconds.

        Parameters
        ----------
        anchor_s : float
            Time at which the latest heartbeat was sent that a quorum has
            answered; the lease starts there.
        """
        previous = self._holders.get(instance)
        ends_s = anchor_s + self._max_lease_s
        self._holders[instance] = LeaseHolder(
            instance=instance,
            region=region,
            version=version,
            ends_s=max(ends_s, previous.ends_s if previous else ends_s),
        )
        return max(0.0, round(anchor_s + self._lease_s - now_s, 6))

    def release(self, instance):
        """Remove the lease of an instance that has released it."""
        self._holders.pop(instance, None)

    def in_force(self, version, now_s):
        """Return whether no lease on an earlier version can still be valid."""
        if now_s < self._earlier_leases_end_s:
            return False
        return all(
            holder.version >= version or holder.ends_s <= now_s
            for holder in self._holders.values()
        )

    def remaining_s(self, instance, now_s):
        """Return an upper bound of the remaining time of a lease."""
        holder = self._holders.get(instance)
        ends_s = holder.ends_s if holder else 0.0
        return max(0.0, max(ends_s, self._earlier_leases_end_s) - now_s)

    def holders(self, now_s, *, possible_holders=()):
        """Return the current and recent holders, sorted by name.

        Parameters
        ----------
        possible_holders : iterable of InstanceId
            Instances that may hold a lease from an earlier leader.  They are
            included as long as such a lease may still be valid.
        """
        for name, holder in tuple(self._holders.items()):
            if holder.ends_s + HOLDER_RETENTION_S < now_s:
                del self._holders[name]
        found = dict(self._holders)
        if now_s < self._earlier_leases_end_s:
            for name in possible_holders:
                found.setdefault(name, self._unknown_holder(name))
        return tuple(found[name] for name in sorted(found))

    def _unknown_holder(self, name):
        return LeaseHolder(
            instance=name,
            region=RegionId(""),
            version=0,
            ends_s=self._earlier_leases_end_s,
        )
