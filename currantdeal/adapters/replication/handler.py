"""What a replica answers to other instances.

A replica that does not lead passes renewals and proposals on to the leader
once, so that an instance whose path to the leader is broken is still served
through another replica.
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
    AskInForce,
    AskProgress,
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
    """Thrift handler of a replica; also asked within its own process.

    Parameters
    ----------
    local : LocalReplica
        The replica of this process.
    remotes : RemoteReplicas
        The others.
    directory : Directory
        Who leads, as far as known here.
    board : ViewBoard
        The latest state, for those who lag too far for entries.
    """

    def __init__(self, *, local, remotes, directory, board):
        """Keep the parts."""
        self._local = local
        self._remotes = remotes
        self._directory = directory
        self._board = board
        self._encoded = (0, b"")
        self._lock = threading.Lock()

    def deliver(self, messages):
        """Take messages from another replica; return those to it."""
        try:
            found = tuple(MESSAGE_CODEC.decode(raw) for raw in messages)
        except CodecError:
            return []
        if not found:
            return []
        return [
            MESSAGE_CODEC.encode(answer)
            for answer in self._local.deliver(found)
        ]

    def renew(self, request):
        """Grant a lease, or pass the request to the leader."""
        answer = self._local.renew(request)
        self._directory.set_leader(answer.leader)
        if answer.granted or request.forwarded:
            return answer
        leader = self._leader_elsewhere(answer.leader)
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
        """Put a command into the log, or pass it to the leader."""
        answer = self._local.propose(request)
        if answer.status != ProposeStatus.NOT_PROPOSED or request.forwarded:
            return answer
        leader = self._leader_elsewhere(self.hello().leader)
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
        """Return a part of the encoded state."""
        version, raw = self._state_at(request.version)
        end = request.offset + PIECE_BYTES
        return StatePiece(
            version=version, total=len(raw), data=raw[request.offset : end]
        )

    def in_force(self, version):
        """Tell whether a version is in force everywhere."""
        answer = self._local.ask(AskInForce(version=version))
        if answer is None:
            return InForceAnswer(leads=False, in_force=False)
        return InForceAnswer(leads=answer.leads, in_force=answer.in_force)

    def progress(self):
        """Tell who holds a lease on what."""
        answer = self._local.ask(AskProgress())
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
        """Note that an instance hands out no more work."""
        self._local.tell(ReleaseLease(instance=instance))

    def hello(self):
        """Tell whether this replica has taken part in anything yet."""
        status = self._local.status()
        if status is None:
            return HelloAnswer(fresh=False, blank=False, leader="")
        self._directory.set_leader(status.leader)
        return HelloAnswer(
            fresh=status.fresh, blank=status.blank, leader=status.leader or ""
        )

    def join(self, request):
        """Take one step towards having a replica as voter."""
        replica = Replica(instance=request.instance, address=request.address)
        joined = self._local.ask(Join(replica=replica, blank=request.blank))
        if joined or request.forwarded:
            return bool(joined)
        leader = self._leader_elsewhere(self.hello().leader)
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

    def _leader_elsewhere(self, leader):
        return leader if leader and leader != self._directory.me else None

    def _state_at(self, version):
        with self._lock:
            if version == 0 or self._encoded[0] != version:
                state = self._board.latest
                if self._encoded[0] != state.version:
                    self._encoded = (state.version, encode_state(state))
            return self._encoded
