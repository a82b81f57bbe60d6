"""Calls replicas of other instances."""

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus import Replica as ReplicaService
from currantdeal.adapters.replication.entries import StateUpdate
from currantdeal.adapters.replication.names import SERVICE_NAME


class RemoteReplicas:
    """Client of the replicas of other instances.

    Parameters
    ----------
    pool : PeerPool
        Connections to other instances.
    directory : Directory
        Addresses of the replicas.
    """

    def __init__(self, *, pool, directory):
        """Store the pool and the directory."""
        self._pool = pool
        self._directory = directory

    def call(self, instance, rpc, *, timeout_s):
        """Make one call to one replica and return its answer.

        Parameters
        ----------
        instance : InstanceId
            The replica.
        rpc : callable
            Takes the Thrift client and makes exactly one call.
        timeout_s : float
            Longest wait for connecting, and again for the answer.

        Raises
        ------
        PeerError
            If the address is unknown or no answer arrived.
        """
        address = self._directory.address_of(instance)
        if address is None:
            raise PeerError(f"{instance}: no address known", sent=False)
        try:
            return self._pool.call(
                address,
                SERVICE_NAME,
                ReplicaService.Client,
                rpc,
                timeout_s=timeout_s,
            )
        except PeerError:
            self._directory.clear_leader(instance)
            raise


def from_wire(entries):
    """Convert Thrift entries to updates."""
    return tuple(
        StateUpdate(
            index=entry.index, command=entry.data if entry.command else None
        )
        for entry in entries or ()
    )
