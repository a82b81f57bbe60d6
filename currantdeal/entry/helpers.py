"""Lists the other entries through which upstreams may be reached."""

from currantdeal.node.settings import split_address


class Helpers:
    """Peer addresses of the other entries that are ready, by distance.

    Parameters
    ----------
    own_instance : str
        Name of this entry.
    peer_port : int
        Port for the traffic between instances, the same on all of them.
    distance_to : callable
        Returns the distance of a data centre, a number that rises with it.
    on_gone : callable
        Called with the set of addresses that are listed no more.
    """

    def __init__(
        self,
        *,
        own_instance,
        peer_port,
        distance_to,
        on_gone=lambda gone: None,
    ):
        """Start without other entries."""
        self._own_instance = own_instance
        self._peer_port = peer_port
        self._distance_to = distance_to
        self._on_gone = on_gone
        self._groups = ()

    @property
    def groups(self):
        """Tuples of addresses, the nearest ones first."""
        return self._groups

    def update(self, records):
        """Replace the list by the entries that are ready now.

        Parameters
        ----------
        records : iterable of EntryRecord
            May include this entry.
        """
        by_distance = {}
        for record in records:
            if record.instance != self._own_instance:
                host, _ = split_address(record.address)
                distance = self._distance_to(record.data_center)
                by_distance.setdefault(distance, []).append(
                    f"{host}:{self._peer_port}"
                )
        before = {a for group in self._groups for a in group}
        self._groups = tuple(
            tuple(by_distance[distance]) for distance in sorted(by_distance)
        )
        gone = before - {a for group in self._groups for a in group}
        if gone:
            self._on_gone(gone)
