"""Tells when a replica changes its mind about the leader or the replica set.

While nobody leads, no change can be made and new entries get no routes.  The
lines say which replicas count, how many must agree and who does: whoever
reads them sees whether replicas are missing, or are there and disagree.
"""

import structlog

NO_LEADER_INTERVAL_S = 5.0
"""Time without a leader after which a line tells of it, and then again."""

_log = structlog.get_logger(__name__)


class ReplicaWatch:
    """Looks at one replica of the log, and logs what is new.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, clock):
        """Start with nothing told."""
        self._clock = clock
        self._leader = None
        self._replica_set = None
        self._set_change = None
        self._led_s = clock()
        self._told_s = self._led_s
        self._votes = ()

    def look(self, node):
        """Log what differs from the last look at a ``Node``."""
        if node.leader != self._leader:
            self._tell_leader(node)
        replica_set = (node.configuration, node.change_pending)
        if replica_set != self._replica_set:
            self._replica_set = replica_set
            self._tell_replica_set(node)
        if node.set_change is not self._set_change:
            self._tell_set_change(node)
        if node.leader is not None:
            self._led_s = self._told_s = self._clock()
            self._votes = ()
        else:
            self._note_no_leader(node)

    def _tell_leader(self, node):
        self._leader = node.leader
        _log.info(
            "leader-changed",
            leader=node.leader or "",
            term=node.term,
            role=node.role.value,
        )

    def _tell_replica_set(self, node):
        _log.info(
            "replica-set-changed",
            **_replica_set(node.configuration),
            term=node.term,
            index=node.last_index,
            committed=not node.change_pending,
        )

    def _tell_set_change(self, node):
        self._set_change = node.set_change
        _log.info(
            "replica-set-adapted",
            replica=node.set_change.replica,
            reason=node.set_change.reason.value,
            **_replica_set(node.set_change.configuration),
        )

    def _note_no_leader(self, node):
        # A round of votes begins anew before its answers could be told, so
        # the best of the last rounds is kept.
        self._votes = max(self._votes, node.votes, key=len)
        now_s = self._clock()
        if now_s - self._told_s < NO_LEADER_INTERVAL_S:
            return
        self._told_s = now_s
        _log.warning(
            "no-leader",
            for_s=round(now_s - self._led_s, 3),
            **_replica_set(node.configuration),
            votes=self._votes,
            role=node.role.value,
            term=node.term,
            index=node.last_index,
            blank=node.blank,
        )
        self._votes = ()


def _replica_set(configuration):
    return {
        "voters": configuration.voter_names,
        "learners": configuration.learner_names,
        "quorum": configuration.quorum,
    }
