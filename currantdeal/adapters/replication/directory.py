"""Where the replicas are, and which one leads, as far as known here."""

import threading


class Directory:
    """Addresses of the replicas.

    Parameters
    ----------
    me : InstanceId
        This instance.
    addresses : mapping
        From the replicas' names to peer addresses, as in the settings.
    routes : mapping
        Addresses to use in place of others, by name.
    """

    def __init__(self, *, me, addresses, routes):
        """Start from the settings."""
        self._me = me
        self._routes = dict(routes)
        self._addresses = dict(addresses)
        self._leader = None
        self._turn = 0
        self._lock = threading.Lock()

    @property
    def me(self):
        """Name of the own instance."""
        return self._me

    @property
    def leader(self):
        """The replica last known to lead, or None."""
        return self._leader

    def address_of(self, instance):
        """Return the address of a replica, or None."""
        return self._routes.get(instance) or self._addresses.get(instance)

    def set_leader(self, instance):
        """Note who leads; an empty name tells nothing."""
        if instance:
            self._leader = instance

    def forget_leader(self, instance):
        """Note that a replica was of no use as leader."""
        with self._lock:
            if self._leader == instance:
                self._leader = None

    def set_addresses(self, addresses):
        """Take the addresses of the latest replica set."""
        if addresses:
            self._addresses = dict(addresses)

    def candidates(self):
        """Return the other replicas, the likely leader first.

        Without a known leader the order turns with each call, so that one
        silent replica does not hold up every attempt.
        """
        others = [name for name in sorted(self._addresses) if name != self._me]
        if not others:
            return ()
        with self._lock:
            self._turn += 1
            start = self._turn % len(others)
            leader = self._leader
        turned = others[start:] + others[:start]
        return tuple(sorted(turned, key=lambda name: name != leader))
