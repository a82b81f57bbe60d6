"""Renews the lease of one instance and keeps its view up to date.

The lease ends at the instance's own time of *sending* the renewal plus the
remaining time that the leader returns [1]_.  Any delay of the renewal on its
way only shortens the lease.  So an instance that was partitioned, paused or
delayed stops assigning work in time, without having to detect the failure.

References
----------
.. [1] Ceph documentation, "Preventing Stale Reads".
"""

import threading

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus.ttypes import (
    RenewRequest,
    StatePieceRequest,
)
from currantdeal.adapters.replication.entries import state_from_snapshot
from currantdeal.adapters.replication.remote import from_wire
from currantdeal.state import SnapshotError

PAUSE_AFTER_UPDATE_S = 0.05
"""Pause before the next renewal after one that returned a later version.

The next renewal reports to the leader that the version is applied.  A change
that has to be in force everywhere waits for this report.
"""

CALL_TIMEOUT_SHARE = 0.25
"""Timeout of one renewal call, as a share of the lease.

An unresponsive leader then costs less than half a lease before the next
replica is called.
"""


class LeaseRenewer:
    """Thread that renews the lease and applies the returned updates.

    Parameters
    ----------
    instance, region : str
        Of this instance.
    view_store : ViewStore
        Receives the states and the lease.
    handler : ReplicaHandler or None
        The replica of this process, which publishes to the view store itself.
    remotes : RemoteReplicas
        The replicas of other instances.
    directory : Directory
        Their addresses, and the last known leader.
    clock : Clock
        Source of time.
    lease_s, renew_s : float
        Duration of a lease, and interval between renewals.
    """

    def __init__(
        self,
        *,
        instance,
        region,
        view_store,
        handler,
        remotes,
        directory,
        clock,
        lease_s,
        renew_s,
    ):
        """Store the dependencies; nothing runs before ``start``."""
        self._instance = instance
        self._region = region
        self._view_store = view_store
        self._handler = handler
        self._remotes = remotes
        self._directory = directory
        self._clock = clock
        self._timeout_s = lease_s * CALL_TIMEOUT_SHARE
        self._renew_s = renew_s
        self._stopped = threading.Event()
        self._wake = threading.Event()

    def start(self):
        """Start the thread."""
        threading.Thread(
            target=self._run, name="lease-renewer", daemon=True
        ).start()

    def stop(self):
        """Stop renewing and release the lease, here and on the leader."""
        self._stopped.set()
        self._wake.set()
        self._view_store.drop_lease()
        self._release()

    def renew_now(self):
        """Wake the thread for an immediate renewal."""
        self._wake.set()

    def renew(self):
        """Renew once; return whether the answer has a later version."""
        sent_s = self._clock.monotonic_s()
        known = self._view_store.version
        answer, replica = self._request_renewal(known)
        if answer is None:
            return False
        self._apply_entries(answer, replica)
        wait_s = max(0.0, sent_s + self._timeout_s - self._now_s)
        if self._view_store.wait_received(answer.version, timeout_s=wait_s):
            # The lease is extended only after the view has its version.
            # Otherwise the lease could be valid with an older view, and work
            # would be routed to a withdrawn upstream.
            self._view_store.make_visible_from(answer.version)
            self._view_store.extend_lease(sent_s + answer.remaining_s)
        return answer.version > known

    @property
    def _now_s(self):
        return self._clock.monotonic_s()

    def _run(self):
        while not self._stopped.is_set():
            pause_s = PAUSE_AFTER_UPDATE_S if self.renew() else self._renew_s
            self._wake.wait(pause_s)
            self._wake.clear()

    def _request_renewal(self, version):
        if self._handler is not None:
            answer = self._handler.renew(self._request(version, local=True))
            if answer.granted:
                return answer, None
        request = self._request(version, local=False)
        for replica in self._directory.candidates():
            try:
                answer = self._remotes.call(
                    replica,
                    lambda client: client.renew(request),
                    timeout_s=self._timeout_s,
                )
            except PeerError:
                continue
            self._update_directory(answer)
            if answer.granted:
                return answer, replica
        return None, None

    def _request(self, version, *, local):
        return RenewRequest(
            instance=self._instance,
            region=self._region,
            version=version,
            forwarded=local,
        )

    def _update_directory(self, answer):
        self._directory.set_leader(answer.leader)
        self._directory.set_addresses(
            {rep.instance: rep.address for rep in answer.replicas or ()}
        )

    def _apply_entries(self, answer, replica):
        if answer.snapshot_needed and replica is not None:
            self._fetch_snapshot(replica)
        else:
            self._view_store.apply(from_wire(answer.entries))

    def _fetch_snapshot(self, replica):
        raw = bytearray()
        version, total = 0, 1
        while len(raw) < total:
            request = StatePieceRequest(version=version, offset=len(raw))
            try:
                piece = self._remotes.call(
                    replica,
                    lambda client, request=request: client.state_piece(
                        request
                    ),
                    timeout_s=self._timeout_s,
                )
            except PeerError:
                return
            if version not in (0, piece.version):
                return
            version, total = piece.version, piece.total
            raw += piece.data
        try:
            self._view_store.publish(state_from_snapshot(bytes(raw)))
        except SnapshotError:
            return

    def _release(self):
        if self._handler is not None:
            self._handler.release_lease(self._instance)
        leader = self._directory.leader
        if leader is None:
            return
        try:
            self._remotes.call(
                leader,
                lambda client: client.release_lease(self._instance),
                timeout_s=self._timeout_s,
            )
        except PeerError:
            return
