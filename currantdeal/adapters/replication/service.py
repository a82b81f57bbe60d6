"""Builds the replicated state of one instance from its settings.

Connects the replica, the local view and the lease renewal, and owns their
threads.
"""

import random
import threading

from currantdeal.adapters.disk import DataFolder
from currantdeal.adapters.generated.consensus import Replica as ReplicaService
from currantdeal.adapters.replication.directory import Directory
from currantdeal.adapters.replication.handler import ReplicaHandler
from currantdeal.adapters.replication.joiner import Joiner
from currantdeal.adapters.replication.lease_renewer import LeaseRenewer
from currantdeal.adapters.replication.local import LocalReplica
from currantdeal.adapters.replication.names import SERVICE_NAME
from currantdeal.adapters.replication.outbox import Outbox
from currantdeal.adapters.replication.port import ReplicatedState
from currantdeal.adapters.replication.remote import RemoteReplicas
from currantdeal.adapters.replication.replica import ReplicaActor
from currantdeal.adapters.replication.requests import (
    Deliver,
    Remove,
    Tick,
    TransferLeadership,
)
from currantdeal.adapters.replication.view_store import ViewStore
from currantdeal.consensus import NodeSettings, Replica

TICKS_PER_HEARTBEAT = 3
TRANSFER_POLL_INTERVAL_S = 0.05


class StateService:
    """The replicated state of one instance, with its threads.

    An instance whose settings name a data folder runs a replica.  Any other
    only renews its lease and keeps a view.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    peer_server : PeerServer
        Serves this instance's replica; the caller starts it.
    peer_pool : PeerPool
        Connections to other instances.
    clock : Clock
        Source of time.
    rng : random.Random or None
        Source of randomness of the election timeouts.
    sync : callable or None
        Replaces ``os.fsync`` in tests.

    Examples
    --------
    The daemon calls it in this order::

        state = build_state(settings, peer_server, peer_pool, clock)
        peer_server.start()
        state.start()
        ...                     # pass state.port to serving and membership
        state.transfer_leadership()       # on a drain, while still serving
        state.stop()            # when no new work is assigned any more
    """

    def __init__(
        self,
        *,
        settings,
        peer_server,
        peer_pool,
        clock,
        rng=None,
        sync=None,
    ):
        """Build the components and register the replica's handler."""
        self._clock = clock
        self._timing = settings.timing
        self._replica = Replica(
            instance=settings.instance,
            address=settings.advertised_peer_address or settings.peer_address,
        )
        self._first_set = tuple(
            Replica(instance=rep.instance, address=rep.peer_address)
            for rep in settings.replicas
        )
        self._directory = self._build_directory(settings)
        self._remotes = RemoteReplicas(
            pool=peer_pool, directory=self._directory
        )
        self._view_store = ViewStore()
        self._stopped = threading.Event()
        self._ref = self._local = self._handler = None
        self._joiner = self._outbox = None
        if settings.data_folder:
            self._add_replica(settings, peer_server, peer_pool, rng, sync)
        self._renewer = self._build_renewer(settings)
        self._port = ReplicatedState(
            view_store=self._view_store,
            renewer=self._renewer,
            handler=self._handler,
            remotes=self._remotes,
            directory=self._directory,
            clock=clock,
        )

    @property
    def port(self):
        """The ``StatePort`` of this instance."""
        return self._port

    @property
    def replica(self):
        """The ``LocalReplica`` of this process, or None."""
        return self._local

    def start(self):
        """Start the threads; the peer server must already be serving."""
        if self._ref is not None:
            threading.Thread(
                target=self._tick, name="replica-tick", daemon=True
            ).start()
            self._joiner.start()
        self._renewer.start()

    def transfer_leadership(self, *, timeout_s=3.0):
        """Transfer leadership to another replica; return False on timeout.

        Returns True at once on an instance that does not lead.
        """
        if self._local is None:
            return True
        due_s = self._clock.monotonic_s() + timeout_s
        while self._clock.monotonic_s() < due_s:
            status = self._local.status()
            if status is None or status.role != "leader":
                return True
            self._local.tell(TransferLeadership())
            self._clock.sleep(TRANSFER_POLL_INTERVAL_S)
        return False

    def remove_replica(self, instance):
        """Remove a replica from the set; return whether this one could."""
        return bool(self._local and self._local.ask(Remove(instance=instance)))

    def stop(self):
        """Release the lease and stop the threads and the replica."""
        self._stopped.set()
        self._renewer.stop()
        if self._ref is not None:
            self._joiner.stop()
            self._ref.stop()
            self._outbox.stop()

    def _build_directory(self, settings):
        return Directory(
            local_id=settings.instance,
            addresses={rep.instance: rep.address for rep in self._first_set},
            routes={rt.instance: rt.peer_address for rt in settings.routes},
        )

    def _build_renewer(self, settings):
        return LeaseRenewer(
            instance=settings.instance,
            region=settings.region,
            view_store=self._view_store,
            handler=self._handler,
            remotes=self._remotes,
            directory=self._directory,
            clock=self._clock,
            lease_s=self._timing.lease_s,
            renew_s=self._timing.renew_s,
        )

    def _add_replica(self, settings, peer_server, peer_pool, rng, sync):
        folder_options = {"sync": sync} if sync else {}
        folder = DataFolder(path=settings.data_folder, **folder_options)
        self._outbox = Outbox(
            pool=peer_pool,
            address_of=self._directory.address_of,
            timeout_s=self._timing.election_s,
            on_replies=self._deliver_replies,
        )
        self._ref = ReplicaActor.start(
            local_id=settings.instance,
            folder=folder,
            outbox=self._outbox,
            view_store=self._view_store,
            clock=self._clock,
            random=rng or random.Random(),
            node_settings=NodeSettings(
                heartbeat_s=self._timing.heartbeat_s,
                election_s=self._timing.election_s,
            ),
            lease_s=self._timing.lease_s,
            on_configuration=self._update_addresses,
        )
        self._local = LocalReplica(ref=self._ref, clock=self._clock)
        self._handler = ReplicaHandler(
            local=self._local,
            remotes=self._remotes,
            directory=self._directory,
            view_store=self._view_store,
        )
        peer_server.register(
            SERVICE_NAME, ReplicaService.Processor(self._handler)
        )
        self._joiner = Joiner(
            replica=self._replica,
            first_set=self._first_set,
            local=self._local,
            remotes=self._remotes,
            directory=self._directory,
            interval_s=self._timing.election_s / 2.0,
            clock=self._clock,
        )

    def _update_addresses(self, configuration):
        self._directory.set_addresses(
            {rep.instance: rep.address for rep in configuration.members}
        )

    def _deliver_replies(self, messages):
        self._local.tell(Deliver(messages=messages))

    def _tick(self):
        interval_s = self._timing.heartbeat_s / TICKS_PER_HEARTBEAT
        while not self._stopped.wait(interval_s):
            self._local.tell(Tick())


def build_state(settings, peer_server, peer_pool, clock, **options):
    """Return the ``StateService`` of an instance.

    See Also
    --------
    StateService
    """
    return StateService(
        settings=settings,
        peer_server=peer_server,
        peer_pool=peer_pool,
        clock=clock,
        **options,
    )
