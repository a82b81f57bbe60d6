"""The working state of one replica, shared by the modules of this package.

Only ``Node`` and the modules ``elections``, ``following`` and ``replication``
touch it, always from one thread.
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
    """What a replica does at present."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Intervals and bounds of a replica.

    Parameters
    ----------
    heartbeat_s : float
        Interval between heartbeats of the leader.
    election_s : float
        Shortest silence of the leader before an election; the longest is
        twice that.  A leader that a majority has not answered for as long
        steps down.
    first_election_s : float or None
        The same for a replica that has not heard a leader since its start;
        ``election_s`` if None.
    silent_s : float
        Silence after which a replica may be gone for good.  Shorter pauses,
        such as a restart, end by themselves.
    max_entries, max_bytes : int
        Bounds of one message with entries.
    window_entries : int
        Entries sent ahead of the receiver's answers.
    piece_bytes : int
        Bytes of a snapshot in one message.
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
    """What the leader knows of another replica."""

    def __init__(self, *, next_index, now_s):
        """Start without knowing what the replica has."""
        self.next_index = next_index
        self.match_index = 0
        self.acked_s = NEVER_S
        self.heard_s = now_s
        self.sending = None
        self.offset = 0


@dataclass(frozen=True, kw_only=True)
class _ConfigurationAt:
    index: int
    configuration: Configuration


class Raft:
    """Term, log, role and pending output of one replica."""

    def __init__(self, *, me, settings, random, stored, now_s):
        """Take up what the disk held."""
        self.me: InstanceId = me
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
        self.heard_s = NEVER_S
        self.votes = set()
        self.progress = {}
        self.leaving_s = {}
        self.set_change = None
        self.first_own_index = 0
        self.elected_s = NEVER_S
        self.transfer_to = None
        self.transfer_due_s = 0.0
        self.heartbeat_due_s = 0.0
        self.receiving = bytearray()
        self.receiving_index = None
        self.configurations = []
        self.use_configuration(
            self.log.base_index,
            base.configuration if base else Configuration(),
        )
        for entry in stored.entries:
            self.log.append(entry)
            self._note_configuration(entry)
        self.synced = self.log.last_index
        self._clear_output()
        self.election_due_s = 0.0
        self.reset_election_timer(now_s)

    @property
    def blank(self):
        """True on a replica that remembers neither votes nor log."""
        return self.snapshot is None

    @property
    def configuration(self):
        """The latest replica set in the log, committed or not."""
        return self.configurations[-1].configuration

    @property
    def configuration_index(self):
        """Index of the entry that the replica set came with."""
        return self.configurations[-1].index

    @property
    def is_voter(self):
        """True when this replica counts."""
        return self.me in self.configuration.voter_names

    def reset_election_timer(self, now_s):
        """Wait for the leader again, for a time drawn anew."""
        factor = 1.0 + self.random.random()
        self.election_due_s = now_s + factor * self._election_s

    @property
    def _election_s(self):
        """Shortest silence after which this replica asks for votes."""
        settings = self.settings
        knew_leader = max(self.heard_s, self.elected_s) > NEVER_S
        if knew_leader or settings.first_election_s is None:
            return settings.election_s
        return settings.first_election_s

    def set_term(self, term, voted_for):
        """Take a term and a vote, to be written."""
        self.term = term
        self.voted_for = voted_for
        self.writes.append(SaveVote(term=term, voted_for=voted_for))

    def follow(self, term, leader, now_s):
        """Become a follower, in a later term or of a leader now known."""
        if term > self.term:
            self.set_term(term, None)
        if self.role is not RaftRole.FOLLOWER:
            self.reset_election_timer(now_s)
        self.role = RaftRole.FOLLOWER
        self.leader = leader
        self.transfer_to = None

    def append(self, entries):
        """Put entries at the end of the log, to be written."""
        for entry in entries:
            self.log.append(entry)
            self._note_configuration(entry)
        self.writes.append(SaveEntries(entries=tuple(entries)))

    def cut_from(self, index):
        """Drop entries that another leader's entries replace."""
        if index <= self.commit:
            # A committed entry would be lost: two leaders of one term, or a
            # quorum that forgot.  Stopping this replica shows it at once,
            # while going on would spread the loss.
            raise InvariantError(f"committed entry {index} would be dropped")
        self.log.cut_from(index)
        self.synced = min(self.synced, index - 1)
        while self.configuration_index >= index:
            self.configurations.pop()

    def use_configuration(self, index, configuration):
        """Take up a replica set from an entry or a snapshot."""
        self.configurations.append(
            _ConfigurationAt(index=index, configuration=configuration)
        )

    def configuration_at(self, index):
        """Return the replica set in force at an index."""
        found = [at for at in self.configurations if at.index <= index]
        return found[-1].configuration

    def forget_configurations(self, index):
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

    def _note_configuration(self, entry):
        if entry.kind is EntryKind.CONFIGURATION:
            self.use_configuration(
                entry.index, CONFIGURATION_CODEC.decode(entry.data)
            )
