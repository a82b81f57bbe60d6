"""In-memory Raft state of one replica, shared by the modules of this package.

Only ``Node`` and the modules ``elections``, ``following`` and ``replication``
access it, always from one thread, so it takes no locks.
"""

import math
from dataclasses import dataclass
from enum import Enum

from currantdeal.consensus.configuration import Configuration
from currantdeal.consensus.errors import InvariantError
from currantdeal.consensus.log import Log
from currantdeal.consensus.messages import (
    CONFIGURATION_CODEC,
    EntryKind,
    SaveEntries,
    SaveVote,
)
from currantdeal.core import InstanceId

NEVER_S = -math.inf


class RaftRole(str, Enum):
    """Current Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Timeouts and size limits of a replica.

    Parameters
    ----------
    heartbeat_s : float
        Interval between heartbeats of the leader.
    election_s : float
        Minimum election timeout; the maximum is twice that.  A leader whose
        heartbeats no quorum has answered for the maximum steps down.
    first_election_s : float or None
        Minimum election timeout of a replica that has had no contact with a
        leader since it started; ``election_s`` if None.
    silent_s : float
        Time without an answer after which a replica is considered
        permanently unreachable.  Shorter pauses, such as a restart, need no
        change of the replica set.
    max_entries, max_bytes : int
        Limits of one ``AppendRequest``.
    window_entries : int
        Number of unacknowledged entries after which the leader sends a
        follower no more until it answers.
    piece_bytes : int
        Size of the snapshot pieces, in bytes.
    """

    heartbeat_s: float = 0.15
    election_s: float = 0.8
    first_election_s: float | None = None
    silent_s: float = 3.0
    max_entries: int = 256
    max_bytes: int = 262_144
    window_entries: int = 2_048
    piece_bytes: int = 262_144


class Progress:
    """Replication progress of one peer, as tracked by the leader."""

    def __init__(self, *, next_index, now_s):
        """Start with an unknown match index."""
        self.next_index = next_index
        self.match_index = 0
        self.acked_s = NEVER_S
        self.last_contact_s = now_s
        self.pending_snapshot = None
        self.offset = 0


@dataclass(frozen=True, kw_only=True)
class _IndexedConfiguration:
    index: int
    configuration: Configuration


class Raft:
    """Term, log, role and pending output of one replica."""

    def __init__(self, *, local_id, settings, random, stored, now_s):
        """Restore the state from the data that was read from disk."""
        self.local_id: InstanceId = local_id
        self.settings = settings
        self.random = random
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.snapshot = stored.snapshot
        base = stored.snapshot
        self.log = Log(
            base_index=base.index if base else 0,
            base_term=base.term if base else 0,
        )
        self.commit = self.log.base_index
        self.applied = self.log.base_index
        self.role = RaftRole.FOLLOWER
        self.leader = None
        self.leader_contact_s = NEVER_S
        self.votes = set()
        self.progress = {}
        self.leave_requested_s = {}
        self.last_replica_set_change = None
        self.first_own_index = 0
        self.elected_s = NEVER_S
        self.campaigned_s = NEVER_S
        self.transfer_to = None
        self.transfer_due_s = 0.0
        self.heartbeat_due_s = 0.0
        self.snapshot_buffer = bytearray()
        self.snapshot_buffer_id = None
        self.configurations = []
        self.add_configuration(
            self.log.base_index,
            base.configuration if base else Configuration(),
        )
        for entry in stored.entries:
            self.log.append(entry)
            self._record_configuration(entry)
        self.synced = self.log.last_index
        self._clear_output()
        self.election_due_s = 0.0
        self.reset_election_timer(now_s)

    @property
    def blank(self):
        """True on a replica that has no stored votes and no stored log."""
        return self.snapshot is None

    @property
    def configuration(self):
        """The latest replica set in the log, committed or not."""
        return self.configurations[-1].configuration

    @property
    def configuration_index(self):
        """Index of the entry or snapshot that set the replica set."""
        return self.configurations[-1].index

    @property
    def is_voter(self):
        """True when this replica is a voter of the latest replica set."""
        return self.local_id in self.configuration.voter_names

    def reset_election_timer(self, now_s):
        """Restart the election timer with a new random timeout."""
        factor = 1.0 + self.random.random()
        self.election_due_s = now_s + factor * self._election_s

    @property
    def _election_s(self):
        """Minimum election timeout of this replica at present."""
        settings = self.settings
        had_leader = max(self.leader_contact_s, self.elected_s) > NEVER_S
        if had_leader or settings.first_election_s is None:
            return settings.election_s
        return settings.first_election_s

    def set_term(self, term, voted_for):
        """Set the term and the vote, and queue them for writing."""
        self.term = term
        self.voted_for = voted_for
        self.writes.append(SaveVote(term=term, voted_for=voted_for))

    def become_follower(self, term, leader, now_s):
        """Become a follower, in a later term or of a leader now known.

        A ``leader`` of None means that the leader is unknown.
        """
        if term > self.term:
            self.set_term(term, None)
        if self.role is not RaftRole.FOLLOWER:
            self.reset_election_timer(now_s)
        self.role = RaftRole.FOLLOWER
        self.leader = leader
        self.transfer_to = None

    def append(self, entries):
        """Append entries to the log and queue them for writing."""
        for entry in entries:
            self.log.append(entry)
            self._record_configuration(entry)
        self.writes.append(SaveEntries(entries=tuple(entries)))

    def truncate_from(self, index):
        """Drop the entries from an index on that conflict with the leader."""
        if index <= self.commit:
            # A committed entry would be lost, because of two leaders in one
            # term or a quorum that lost its data.  Stopping this replica
            # makes the fault visible at once; continuing would replicate
            # the loss.
            raise InvariantError(f"committed entry {index} would be truncated")
        self.log.truncate_from(index)
        self.synced = min(self.synced, index - 1)
        while self.configuration_index >= index:
            self.configurations.pop()

    def add_configuration(self, index, configuration):
        """Record a replica set from an entry or a snapshot."""
        self.configurations.append(
            _IndexedConfiguration(index=index, configuration=configuration)
        )

    def configuration_at(self, index):
        """Return the replica set in force at an index."""
        found = [at for at in self.configurations if at.index <= index]
        return found[-1].configuration

    def compact_configurations(self, index):
        """Drop replica sets that were replaced at or before an index."""
        while (
            len(self.configurations) > 1
            and self.configurations[1].index <= index
        ):
            self.configurations.pop(0)

    def _clear_output(self):
        self.early = []
        self.writes = []
        self.messages = []
        self.installed = None

    def _record_configuration(self, entry):
        if entry.kind is EntryKind.CONFIGURATION:
            self.add_configuration(
                entry.index, CONFIGURATION_CODEC.decode(entry.data)
            )
