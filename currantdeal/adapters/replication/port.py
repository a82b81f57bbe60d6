"""Gives the rest of an instance access to the replicated state.

Reads use the local view and its lease.  Changes and queries go to the leader,
through the replica of this process if there is one.
"""

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

RETRY_INTERVAL_S = 0.05
ATTEMPT_TIMEOUT_S = 1.0
"""Timeout of one attempt to propose a command, in seconds.

A partitioned leader leaves its followers' calls open without an answer.
A change that waited for it until the caller's timeout would fail, although
another leader is elected after one or two seconds.  So the change is proposed
again under the same request id, which ensures that it is applied once.
"""
POLL_INTERVAL_S = 0.05
QUERY_TIMEOUT_S = 1.0
CALL_SLACK_S = 0.25


class ReplicatedState:
    """Implements ``ports.StatePort`` on every instance.

    An instance with a replica calls it within the process; any other calls a
    replica over the network.  A proposal without an answer is sent again
    under the same request id, by which the replicated state detects the
    duplicate.

    Parameters
    ----------
    view_store : ViewStore
        The view and its lease.
    renewer : LeaseRenewer
        Renews at once when a proposal needs a later view.
    handler : ReplicaHandler or None
        The replica of this process.
    remotes : RemoteReplicas
        The replicas of other instances.
    directory : Directory
        Their addresses, and the last known leader.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, view_store, renewer, handler, remotes, directory, clock
    ):
        """Store the dependencies."""
        self._view_store = view_store
        self._renewer = renewer
        self._handler = handler
        self._remotes = remotes
        self._directory = directory
        self._clock = clock

    def view(self):
        """Return the visible state."""
        return self._view_store.view

    def lease_remaining_s(self):
        """Return how long the view may still be used for new work."""
        return max(0.0, self._view_store.lease_ends_s - self._now_s)

    def leader(self):
        """Return the last known leader, or None."""
        if self._handler is not None:
            self._directory.set_leader(self._handler.hello().leader)
        return self._directory.leader

    def propose(self, command, *, timeout_s):
        """Return the result once a quorum has synced the command to disk."""
        due_s = self._now_s + timeout_s
        raw = COMMAND_CODEC.encode(command)
        maybe_proposed = False
        message = "no leader is known"
        while (left_s := due_s - self._now_s) > 0:
            answer = self._propose_once(raw, min(left_s, ATTEMPT_TIMEOUT_S))
            if answer.status == ProposeStatus.DONE:
                return self._apply_result(answer, due_s)
            maybe_proposed |= answer.status == ProposeStatus.UNKNOWN
            message = answer.message or message
            self._clock.sleep(min(RETRY_INTERVAL_S, left_s))
        raise StateUnavailableError(message, proposed=maybe_proposed)

    def wait_in_force(self, version, *, timeout_s):
        """Return the seconds until the version is in force everywhere."""
        start_s = self._now_s
        while True:
            answer = self._call_leader(lambda client: client.in_force(version))
            waited_s = self._now_s - start_s
            if answer is not None and answer.in_force:
                return waited_s
            if waited_s >= timeout_s:
                raise StateUnavailableError(
                    f"version {version} is not in force everywhere yet",
                    proposed=True,
                )
            self._clock.sleep(POLL_INTERVAL_S)

    def progress(self):
        """Return the progress of every instance in the leader's records.

        The list has every instance that may still hold a lease: an instance
        that is not in it holds none.  A new leader has no record of the
        leases that its predecessor granted.  Until these have expired, it
        lists every home with the longest time that may remain.

        To take over an upstream safely, propose ``AssignHome`` and then call
        ``wait_in_force`` with its version: afterwards the former home has
        applied it or has no lease, whatever it requested in the meantime.

        Raises
        ------
        StateUnavailableError
            If no leader answered.
        """
        answer = self._call_leader(lambda client: client.progress())
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
            version=self._view_store.version,
            forwarded=local,
        )

    def _apply_result(self, answer, due_s):
        self._view_store.apply(from_wire(answer.entries))
        if self._view_store.view.version < answer.version:
            self._renewer.renew_now()
            wait_s = max(0.0, due_s - self._now_s)
            if not self._view_store.wait_visible(
                answer.version, timeout_s=wait_s
            ):
                raise StateUnavailableError(
                    "committed, but not visible on this instance yet",
                    proposed=True,
                )
        return RESULT_CODEC.decode(answer.result)

    def _call_leader(self, rpc):
        if self._handler is not None:
            answer = rpc(self._handler)
            if answer.leads:
                return answer
        for replica in self._directory.candidates():
            try:
                answer = self._remotes.call(
                    replica, rpc, timeout_s=QUERY_TIMEOUT_S
                )
            except PeerError:
                continue
            if answer.leads:
                self._directory.set_leader(replica)
                return answer
        return None
