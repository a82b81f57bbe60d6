"""Logs each change of the leader and of the replica set that a replica sees.

Without a leader no change can be committed and new entries get no routes.
The log lines name the voters, the size of the quorum and the replicas that
granted their votes, so that an operator can tell unreachable replicas from
reachable ones that vote for different candidates.
"""

import structlog

NO_LEADER_INTERVAL_S = 5.0
"""Time without a leader after which a line is logged, and then repeated."""

_log = structlog.get_logger(__name__)


class ReplicaWatch:
    """Compares successive states of one replica and logs the differences.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, clock):
        """Start with an unknown leader and replica set."""
        self._clock = clock
        self._leader = None
        self._replica_set = None
        self._last_replica_set_change = None
        self._last_leader_s = clock()
        self._last_logged_s = self._last_leader_s
        self._most_votes = ()

    def log_changes(self, node):
        """Log what changed in a ``Node`` since the last call."""
        if node.leader != self._leader:
            self._log_leader(node)
        replica_set = (node.configuration, node.change_pending)
        if replica_set != self._replica_set:
            self._replica_set = replica_set
            self._log_replica_set(node)
        if node.last_replica_set_change is not self._last_replica_set_change:
            self._log_set_change(node)
        if node.leader is not None:
            self._last_leader_s = self._last_logged_s = self._clock()
            self._most_votes = ()
        else:
            self._log_no_leader(node)

    def _log_leader(self, node):
        self._leader = node.leader
        _log.info(
            "leader-changed",
            leader=node.leader or "",
            term=node.term,
            role=node.role.value,
        )

    def _log_replica_set(self, node):
        _log.info(
            "replica-set-changed",
            **_replica_set(node.configuration),
            term=node.term,
            index=node.last_index,
            committed=not node.change_pending,
        )

    def _log_set_change(self, node):
        self._last_replica_set_change = node.last_replica_set_change
        _log.info(
            "replica-set-adapted",
            replica=node.last_replica_set_change.replica,
            reason=node.last_replica_set_change.reason.value,
            **_replica_set(node.last_replica_set_change.configuration),
        )

    def _log_no_leader(self, node):
        # A new round of votes resets the votes of the one before, often
        # before a line is due.  The round with the most votes since the last
        # line is reported.
        self._most_votes = max(self._most_votes, node.votes, key=len)
        now_s = self._clock()
        if now_s - self._last_logged_s < NO_LEADER_INTERVAL_S:
            return
        self._last_logged_s = now_s
        _log.warning(
            "no-leader",
            for_s=round(now_s - self._last_leader_s, 3),
            **_replica_set(node.configuration),
            votes=self._most_votes,
            role=node.role.value,
            term=node.term,
            index=node.last_index,
            blank=node.blank,
        )
        self._most_votes = ()


def _replica_set(configuration):
    return {
        "voters": configuration.voter_names,
        "learners": configuration.learner_names,
        "quorum": configuration.quorum,
    }
