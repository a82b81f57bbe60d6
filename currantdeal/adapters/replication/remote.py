"""Calls to replicas of other processes."""

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus import Replica as ReplicaService
from currantdeal.adapters.replication.entries import Step
from currantdeal.adapters.replication.names import SERVICE_NAME


class RemoteReplicas:
    """Other instances' replicas.

    Parameters
    ----------
    pool : PeerPool
        Connections to other instances.
    directory : Directory
        Where the replicas are.
    """

    def __init__(self, *, pool, directory):
        """Keep the pool and the directory."""
        self._pool = pool
        self._directory = directory

    def call(self, instance, ask, *, timeout_s):
        """Return the answer of one replica to one call.

        Raises
        ------
        PeerError
            If there was none.
        """
        address = self._directory.address_of(instance)
        if address is None:
            raise PeerError(f"{instance}: no address", sent=False)
        try:
            return self._pool.call(
                address,
                SERVICE_NAME,
                ReplicaService.Client,
                ask,
                timeout_s=timeout_s,
            )
        except PeerError:
            self._directory.forget_leader(instance)
            raise


def from_wire(entries):
    """Return Thrift entries as steps."""
    return tuple(
        Step(index=entry.index, command=entry.data if entry.command else None)
        for entry in entries or ()
    )
