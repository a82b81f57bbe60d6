"""The replicated state as the rest of an instance sees it."""

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus.ttypes import (
    ProposeAnswer,
    ProposeRequest,
    ProposeStatus,
)
from currantdeal.adapters.replication.entries import (
    COMMAND_CODEC,
    RESULT_CODEC,
)
from currantdeal.adapters.replication.remote import from_wire
from currantdeal.core import StateUnavailableError
from currantdeal.ports import InstanceProgress

RETRY_S = 0.05
TRY_S = 1.0
"""Longest wait for one try at proposing, in seconds.

A leader that was cut off keeps its followers' calls open without a word.  A
change that waited for it to the end would fail, although another leader is
elected after a second or two; so it is proposed again under its request id,
which makes it happen once.
"""
POLL_S = 0.05
QUERY_TIMEOUT_S = 1.0
CALL_SLACK_S = 0.25


class ReplicatedState:
    """Implements ``ports.StatePort`` on every instance.

    An instance with a replica asks it within the process; any other asks a
    replica over the network.  A proposal without an answer is sent again
    under the same request id, which the replicated state recognises.

    Parameters
    ----------
    board : ViewBoard
        The view and its lease.
    follower : ViewFollower
        Told to hurry when a proposal needs a later view.
    handler : ReplicaHandler or None
        The replica of this process.
    remotes : RemoteReplicas
        Replicas elsewhere.
    directory : Directory
        Where they are and who leads.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, board, follower, handler, remotes, directory, clock):
        """Keep the parts."""
        self._board = board
        self._follower = follower
        self._handler = handler
        self._remotes = remotes
        self._directory = directory
        self._clock = clock

    def view(self):
        """Return the latest state known here."""
        return self._board.view

    def lease_remaining_s(self):
        """Return how long the view may still guide new work."""
        return max(0.0, self._board.lease_ends_s - self._now_s)

    def leader(self):
        """Return the instance that leads, if known here."""
        if self._handler is not None:
            self._directory.set_leader(self._handler.hello().leader)
        return self._directory.leader

    def propose(self, command, *, timeout_s):
        """Return the result once a quorum has the command on disk."""
        due_s = self._now_s + timeout_s
        raw = COMMAND_CODEC.encode(command)
        maybe_proposed = False
        message = "no leader is known"
        while (left_s := due_s - self._now_s) > 0:
            answer = self._propose_once(raw, min(left_s, TRY_S))
            if answer.status == ProposeStatus.DONE:
                return self._take_result(answer, due_s)
            maybe_proposed |= answer.status == ProposeStatus.UNKNOWN
            message = answer.message or message
            self._clock.sleep(min(RETRY_S, left_s))
        raise StateUnavailableError(message, proposed=maybe_proposed)

    def wait_in_force(self, version, *, timeout_s):
        """Return the seconds until the version is in force everywhere."""
        start_s = self._now_s
        while True:
            answer = self._ask_leader(lambda ask: ask.in_force(version))
            waited_s = self._now_s - start_s
            if answer is not None and answer.in_force:
                return waited_s
            if waited_s >= timeout_s:
                raise StateUnavailableError(
                    f"version {version} is not in force everywhere yet",
                    proposed=True,
                )
            self._clock.sleep(POLL_S)

    def progress(self):
        """Return the progress of every instance the leader knows.

        The list has every instance that may still hold a lease: an instance
        that is not in it holds none.  A new leader that cannot yet know who
        holds leases of its predecessor lists every home with what may
        remain.

        To take over an upstream for sure, propose ``AssignHome`` and then
        wait with ``wait_in_force`` for its version: afterwards the former
        home has applied it or has no lease, whatever it asked for between.

        Raises
        ------
        StateUnavailableError
            If no leader answered.
        """
        answer = self._ask_leader(lambda ask: ask.progress())
        if answer is None:
            raise StateUnavailableError("no leader answers", proposed=False)
        return tuple(
            InstanceProgress(
                instance=holder.instance,
                region=holder.region,
                version=holder.version,
                lease_remaining_s=holder.lease_remaining_s,
            )
            for holder in answer.holders
        )

    @property
    def _now_s(self):
        return self._clock.monotonic_s()

    def _propose_once(self, raw, left_s):
        answer = ProposeAnswer(status=ProposeStatus.NOT_PROPOSED)
        if self._handler is not None:
            request = self._request(raw, left_s, local=True)
            answer = self._handler.propose(request)
        candidates = iter(self._directory.candidates())
        while answer.status == ProposeStatus.NOT_PROPOSED:
            replica = next(candidates, None)
            if replica is None:
                break
            answer = self._propose_to(replica, raw, left_s)
        return answer

    def _propose_to(self, replica, raw, left_s):
        request = self._request(raw, left_s, local=False)
        try:
            return self._remotes.call(
                replica,
                lambda client: client.propose(request),
                timeout_s=left_s + CALL_SLACK_S,
            )
        except PeerError as exc:
            status = (
                ProposeStatus.UNKNOWN
                if exc.sent
                else ProposeStatus.NOT_PROPOSED
            )
            return ProposeAnswer(status=status, message=str(exc))

    def _request(self, raw, left_s, *, local):
        return ProposeRequest(
            command=raw,
            timeout_s=left_s,
            version=self._board.version,
            forwarded=local,
        )

    def _take_result(self, answer, due_s):
        self._board.apply(from_wire(answer.entries))
        if self._board.view.version < answer.version:
            self._follower.hurry()
            wait_s = max(0.0, due_s - self._now_s)
            if not self._board.wait_shown(answer.version, timeout_s=wait_s):
                raise StateUnavailableError(
                    "committed, but not visible here yet", proposed=True
                )
        return RESULT_CODEC.decode(answer.result)

    def _ask_leader(self, ask):
        if self._handler is not None:
            answer = ask(self._handler)
            if answer.leads:
                return answer
        for replica in self._directory.candidates():
            try:
                answer = self._remotes.call(
                    replica, ask, timeout_s=QUERY_TIMEOUT_S
                )
            except PeerError:
                continue
            if answer.leads:
                self._directory.set_leader(replica)
                return answer
        return None
