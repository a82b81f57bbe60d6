"""Addresses of the replicas, and the last known leader.

Callers of the replicas get the order in which to try them from here.
"""

import threading


class Directory:
    """Peer addresses of the replicas and the last known leader.

    Parameters
    ----------
    local_id : InstanceId
        Name of this instance.
    addresses : mapping
        Peer addresses by replica name, as in the settings.
    routes : mapping
        Addresses by replica name that override ``addresses``.
    """

    def __init__(self, *, local_id, addresses, routes):
        """Start with the addresses of the settings."""
        self._local_id = local_id
        self._routes = dict(routes)
        self._addresses = dict(addresses)
        self._leader = None
        self._rotation = 0
        self._lock = threading.Lock()

    @property
    def local_id(self):
        """Name of this instance."""
        return self._local_id

    @property
    def leader(self):
        """The last known leader, or None."""
        return self._leader

    def address_of(self, instance):
        """Return the peer address of a replica, or None."""
        return self._routes.get(instance) or self._addresses.get(instance)

    def set_leader(self, instance):
        """Record the leader; an empty name or None is ignored."""
        if instance:
            self._leader = instance

    def clear_leader(self, instance):
        """Clear the leader if it is this replica, whose call failed."""
        with self._lock:
            if self._leader == instance:
                self._leader = None

    def set_addresses(self, addresses):
        """Replace the addresses by those of the latest replica set."""
        if addresses:
            self._addresses = dict(addresses)

    def candidates(self):
        """Return the other replicas, the last known leader first.

        The order of the rest rotates with each call, so that one
        unresponsive replica does not delay every attempt while no leader is
        known.
        """
        others = [
            name for name in sorted(self._addresses) if name != self._local_id
        ]
        if not others:
            return ()
        with self._lock:
            self._rotation += 1
            start = self._rotation % len(others)
            leader = self._leader
        rotated = others[start:] + others[:start]
        return tuple(sorted(rotated, key=lambda name: name != leader))
