"""Serves the calls of other instances to a replica.

A replica that does not lead forwards renewals, proposals and join requests to
the leader once.  So an instance that cannot reach the leader directly is still
served through another replica.
"""

import threading

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus.ttypes import (
    HelloAnswer,
    HolderProgress,
    InForceAnswer,
    ProgressAnswer,
    ProposeAnswer,
    ProposeStatus,
    RenewAnswer,
    StatePiece,
)
from currantdeal.adapters.replication.requests import (
    CheckInForce,
    GetProgress,
    Join,
    ReleaseLease,
)
from currantdeal.consensus import MESSAGE_CODEC, Replica
from currantdeal.core import CodecError
from currantdeal.state import encode_state

PIECE_BYTES = 262_144
FORWARD_TIMEOUT_S = 0.5
FORWARD_SLACK_S = 0.5


class ReplicaHandler:
    """Thrift handler of a replica; also called within its own process.

    Parameters
    ----------
    local : LocalReplica
        The replica of this process.
    remotes : RemoteReplicas
        The other replicas.
    directory : Directory
        The last known leader.
    view_store : ViewStore
        The latest state, for instances that lag too far for entries.
    """

    def __init__(self, *, local, remotes, directory, view_store):
        """Store the dependencies."""
        self._local = local
        self._remotes = remotes
        self._directory = directory
        self._view_store = view_store
        self._encoded = (0, b"")
        self._lock = threading.Lock()

    def deliver(self, messages):
        """Deliver messages from another replica; return those in reply."""
        try:
            decoded = tuple(MESSAGE_CODEC.decode(raw) for raw in messages)
        except CodecError:
            return []
        if not decoded:
            return []
        return [
            MESSAGE_CODEC.encode(answer)
            for answer in self._local.deliver(decoded)
        ]

    def renew(self, request):
        """Grant a lease, or forward the request to the leader."""
        answer = self._local.renew(request)
        self._directory.set_leader(answer.leader)
        if answer.granted or request.forwarded:
            return answer
        leader = self._remote_leader(answer.leader)
        if leader is None:
            return answer
        request.forwarded = True
        try:
            return self._remotes.call(
                leader,
                lambda client: client.renew(request),
                timeout_s=FORWARD_TIMEOUT_S,
            )
        except PeerError:
            return RenewAnswer(granted=False)

    def propose(self, request):
        """Append a command to the log, or forward it to the leader."""
        answer = self._local.propose(request)
        if answer.status != ProposeStatus.NOT_PROPOSED or request.forwarded:
            return answer
        leader = self._remote_leader(self.hello().leader)
        if leader is None:
            return answer
        request.forwarded = True
        try:
            return self._remotes.call(
                leader,
                lambda client: client.propose(request),
                timeout_s=request.timeout_s + FORWARD_SLACK_S,
            )
        except PeerError as exc:
            return ProposeAnswer(
                status=ProposeStatus.UNKNOWN
                if exc.sent
                else ProposeStatus.NOT_PROPOSED,
                message=str(exc),
            )

    def state_piece(self, request):
        """Return a piece of the encoded state."""
        version, raw = self._encoded_state(request.version)
        end = request.offset + PIECE_BYTES
        return StatePiece(
            version=version, total=len(raw), data=raw[request.offset : end]
        )

    def in_force(self, version):
        """Return whether a version is in force everywhere."""
        answer = self._local.ask(CheckInForce(version=version))
        if answer is None:
            return InForceAnswer(leads=False, in_force=False)
        return InForceAnswer(leads=answer.leads, in_force=answer.in_force)

    def progress(self):
        """Return the lease holders with their versions and remaining times."""
        answer = self._local.ask(GetProgress())
        if answer is None or not answer.leads:
            return ProgressAnswer(leads=False, holders=[])
        return ProgressAnswer(
            leads=True,
            holders=[
                HolderProgress(
                    instance=holder.instance,
                    region=holder.region,
                    version=holder.version,
                    lease_remaining_s=remaining_s,
                )
                for holder, remaining_s in zip(
                    answer.holders, answer.remaining_s, strict=True
                )
            ],
        )

    def release_lease(self, instance):
        """Release the lease of an instance that assigns no more work."""
        self._local.tell(ReleaseLease(instance=instance))

    def hello(self):
        """Return whether this replica is fresh or blank, and the leader."""
        status = self._local.status()
        if status is None:
            return HelloAnswer(fresh=False, blank=False, leader="")
        self._directory.set_leader(status.leader)
        return HelloAnswer(
            fresh=status.fresh, blank=status.blank, leader=status.leader or ""
        )

    def join(self, request):
        """Make one membership change towards a replica becoming a voter."""
        replica = Replica(instance=request.instance, address=request.address)
        joined = self._local.ask(Join(replica=replica, blank=request.blank))
        if joined or request.forwarded:
            return bool(joined)
        leader = self._remote_leader(self.hello().leader)
        if leader is None:
            return False
        request.forwarded = True
        try:
            return self._remotes.call(
                leader,
                lambda client: client.join(request),
                timeout_s=FORWARD_TIMEOUT_S,
            )
        except PeerError:
            return False

    def _remote_leader(self, leader):
        return (
            leader if leader and leader != self._directory.local_id else None
        )

    def _encoded_state(self, version):
        with self._lock:
            if version == 0 or self._encoded[0] != version:
                state = self._view_store.latest
                if self._encoded[0] != state.version:
                    self._encoded = (state.version, encode_state(state))
            return self._encoded
