"""Keeping one instance's view up to date and its lease alive.

The lease ends at the instance's own time of *sending* the renewal plus what
the leader says remains [1]_.  Whatever the renewal waits for on its way only
shortens the lease, so an instance that was cut off, frozen or delayed stops
handing out work in time without knowing that anything is wrong.

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
from currantdeal.adapters.replication.entries import state_of
from currantdeal.adapters.replication.remote import from_wire
from currantdeal.state import SnapshotError

NEWS_PAUSE_S = 0.05
"""Pause before the next renewal after one that brought news.

The next renewal tells the leader that the news is applied, which is what a
change that is to be in force everywhere waits for.
"""

CALL_SHARE = 0.25
"""Share of a lease that one renewal may take.

A silent leader then costs less than half a lease before another replica is
asked.
"""


class ViewFollower:
    """Thread that renews the lease and applies what the answers bring.

    Parameters
    ----------
    instance, region : str
        Of this instance.
    board : ViewBoard
        Gets the states and the lease.
    handler : ReplicaHandler or None
        The replica of this process, which feeds the board by itself.
    remotes : RemoteReplicas
        Replicas elsewhere.
    directory : Directory
        Where they are.
    clock : Clock
        Source of time.
    lease_s, renew_s : float
        Length of a lease, and interval between renewals.
    """

    def __init__(
        self,
        *,
        instance,
        region,
        board,
        handler,
        remotes,
        directory,
        clock,
        lease_s,
        renew_s,
    ):
        """Keep the parts; nothing runs before ``start``."""
        self._instance = instance
        self._region = region
        self._board = board
        self._handler = handler
        self._remotes = remotes
        self._directory = directory
        self._clock = clock
        self._timeout_s = lease_s * CALL_SHARE
        self._renew_s = renew_s
        self._stopped = threading.Event()
        self._hurry = threading.Event()

    def start(self):
        """Renew from now on."""
        threading.Thread(
            target=self._run, name="view-follower", daemon=True
        ).start()

    def stop(self):
        """Renew no more and give up the lease, here and at the leader."""
        self._stopped.set()
        self._hurry.set()
        self._board.drop_lease()
        self._release()

    def hurry(self):
        """Renew at once."""
        self._hurry.set()

    def renew(self):
        """Renew once; return whether the answer brought news."""
        sent_s = self._clock.monotonic_s()
        known = self._board.version
        answer, replica = self._ask(known)
        if answer is None:
            return False
        self._take_entries(answer, replica)
        wait_s = max(0.0, sent_s + self._timeout_s - self._now_s)
        if self._board.wait_known(answer.version, timeout_s=wait_s):
            # Without this order a lease could outlive the view it was
            # granted for, and work would follow a withdrawn upstream.
            self._board.admit(answer.version)
            self._board.extend_lease(sent_s + answer.remaining_s)
        return answer.version > known

    @property
    def _now_s(self):
        return self._clock.monotonic_s()

    def _run(self):
        while not self._stopped.is_set():
            pause_s = NEWS_PAUSE_S if self.renew() else self._renew_s
            self._hurry.wait(pause_s)
            self._hurry.clear()

    def _ask(self, version):
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
            self._learn(answer)
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

    def _learn(self, answer):
        self._directory.set_leader(answer.leader)
        self._directory.set_addresses(
            {rep.instance: rep.address for rep in answer.replicas or ()}
        )

    def _take_entries(self, answer, replica):
        if answer.snapshot_needed and replica is not None:
            self._fetch_state(replica)
        else:
            self._board.apply(from_wire(answer.entries))

    def _fetch_state(self, replica):
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
            self._board.publish(state_of(bytes(raw)))
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
