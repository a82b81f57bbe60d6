"""One Raft replica as a state machine that does no input or output itself.

The caller passes in messages and the current time, and takes out messages,
writes and committed entries.  It must sync the writes before it sends the
messages that depend on them.

See Also
--------
currantdeal.consensus.messages.Output

References
----------
.. [1] D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus
   Algorithm", 2014.
.. [2] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
"""

from functools import singledispatch

from currantdeal.consensus import elections, following, replication
from currantdeal.consensus.errors import ChangePendingError, NotLeaderError
from currantdeal.consensus.messages import (
    AppendAnswer,
    AppendRequest,
    EntryKind,
    Output,
    SaveSnapshot,
    Snapshot,
    SnapshotAnswer,
    SnapshotPiece,
    TimeoutNow,
    VoteAnswer,
    VoteRequest,
)
from currantdeal.consensus.raft import Raft, RaftRole


class Node:
    """A Raft replica.

    Parameters
    ----------
    local_id : InstanceId
        Name of this replica.
    settings : NodeSettings
        Timeouts and size limits.
    stored : Stored
        Data read from disk.
    random : random.Random
        Random number generator for the election timeouts.
    now_s : float
        Monotonic time of the start.

    Examples
    --------
    >>> import random
    >>> from currantdeal.consensus import (
    ...     Configuration, Node, NodeSettings, Replica, Snapshot, Stored)
    >>> alone = Configuration(voters=(Replica(instance="i1", address=""),))
    >>> first = Snapshot(index=0, term=0, configuration=alone)
    >>> node = Node(
    ...     local_id="i1", settings=NodeSettings(),
    ...     stored=Stored(snapshot=first), random=random.Random(1), now_s=0.0)
    >>> node.tick(2.0)
    >>> node.synced(node.take_output().last_index, 2.0)
    >>> node.is_ready
    False
    >>> [entry.index for entry in node.take_output().committed], node.is_ready
    ([1], True)
    >>> [entry.index for entry in node.propose((b"x", b"y"), 2.1)]
    [2, 3]
    """

    def __init__(self, *, local_id, settings, stored, random, now_s):
        """Start as a follower with the data read from disk."""
        self._raft = Raft(
            local_id=local_id,
            settings=settings,
            random=random,
            stored=stored,
            now_s=now_s,
        )
        self._is_writing = False

    @property
    def term(self):
        """Current term."""
        return self._raft.term

    @property
    def role(self):
        """Current role."""
        return self._raft.role

    @property
    def leader(self):
        """The leader of the current term; None if unknown."""
        return self._raft.leader

    @property
    def votes(self):
        """Sorted names of the voters that granted a vote in this election."""
        raft = self._raft
        election_roles = (RaftRole.PRE_CANDIDATE, RaftRole.CANDIDATE)
        return tuple(sorted(raft.votes)) if raft.role in election_roles else ()

    @property
    def blank(self):
        """True on a replica whose disk was lost or never held any state."""
        return self._raft.blank

    @property
    def is_fresh(self):
        """True on a replica that has seen no term and no entry yet."""
        return self._raft.term == 0 and self._raft.log.last_index == 0

    @property
    def is_ready(self):
        """True on a leader that has output all entries of earlier terms.

        An entry that is committed but not yet returned by ``take_output`` is
        not applied either.  A lease granted in between would cover a view
        without changes that are already in force.  The symptom would be an
        outdated selector that still routes work after a restart.
        """
        raft = self._raft
        leads = raft.role is RaftRole.LEADER
        return leads and raft.applied >= raft.first_own_index

    @property
    def first_own_index(self):
        """Index of the first entry that this replica appended as leader."""
        return self._raft.first_own_index

    @property
    def commit_index(self):
        """Index of the last entry known to be committed."""
        return self._raft.commit

    @property
    def last_index(self):
        """Index of the last entry in the log."""
        return self._raft.log.last_index

    @property
    def base_index(self):
        """Index of the last entry that was compacted into a snapshot."""
        return self._raft.log.base_index

    @property
    def elected_s(self):
        """Time at which this replica last became leader."""
        return self._raft.elected_s

    @property
    def is_transferring(self):
        """True while a leader hands leadership to another replica."""
        return self._raft.transfer_to is not None

    @property
    def configuration(self):
        """The latest replica set in the log, committed or not."""
        return self._raft.configuration

    @property
    def last_replica_set_change(self):
        """The latest ``ReplicaSetChange`` by this replica as leader."""
        return self._raft.last_replica_set_change

    @property
    def change_pending(self):
        """True while the latest replica set is not committed."""
        return self._raft.configuration_index > self._raft.commit

    def entry_term(self, index):
        """Return the term of an entry; None if it is not in the log."""
        return self._raft.log.term_at(index)

    def entries_after(self, index, *, limit, max_bytes):
        """Return the committed entries after an index.

        Raises
        ------
        CompactedError
            If the first of them was compacted.
        """
        found = self._raft.log.after(index, limit=limit, max_bytes=max_bytes)
        return tuple(e for e in found if e.index <= self._raft.commit)

    def quorum_acked_s(self, now_s):
        """Return the send time of the last heartbeat a quorum answered."""
        return replication.quorum_acked_s(self._raft, now_s)

    def is_sole_leader(self, now_s):
        """Return whether no later leader can have been elected yet.

        A voter grants no vote for the shortest election timeout after it has
        received a heartbeat, unless the leader transfers its leadership.
        """
        raft = self._raft
        if raft.role is not RaftRole.LEADER or raft.transfer_to is not None:
            return False
        silent_s = now_s - replication.quorum_acked_s(raft, now_s)
        return silent_s < raft.settings.election_s

    def is_quorum_silent(self, now_s):
        """Return whether a leader has to step down at its next tick."""
        return replication.is_quorum_silent(self._raft, now_s)

    def silent_members(self, now_s):
        """Return the members that a leader considers lost for good."""
        if self._raft.role is not RaftRole.LEADER:
            return frozenset()
        return replication.silent_members(self._raft, now_s)

    def tick(self, now_s):
        """Run the timers that have expired."""
        if self._raft.role is RaftRole.LEADER:
            replication.tick(self._raft, now_s)
        else:
            elections.tick(self._raft, now_s)

    def receive(self, message, now_s):
        """Process a message from another replica."""
        raft = self._raft
        if message.term > raft.term and not isinstance(
            message, (VoteRequest, VoteAnswer)
        ):
            raft.become_follower(message.term, None, now_s)
        _receive(message, raft, now_s)
        self._step_down_when_removed(now_s)

    def propose(self, payloads, now_s):
        """Append commands and return their entries, not yet committed.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader, or is transferring leadership.
        """
        raft = self._raft
        if raft.role is not RaftRole.LEADER or raft.transfer_to is not None:
            raise NotLeaderError(
                f"{raft.local_id} is not the leader or is "
                "transferring leadership"
            )
        return replication.append(raft, payloads, EntryKind.COMMAND, now_s)

    def join(self, replica, *, blank, now_s):
        """Take the next step of making a replica a voter.

        A voter that lost its disk is removed first.  A replica that is not a
        member becomes a learner; ``next_change`` decides on the later steps.
        """
        self._check_change_allowed()
        self._raft.leave_requested_s.pop(replica.instance, None)
        configuration = self._raft.configuration
        if replica.instance in configuration.voter_names and blank:
            changed = configuration.without(replica.instance)
        elif replica in configuration.members:
            return
        elif replica.instance in configuration.member_names:
            changed = configuration.without(replica.instance)
        else:
            changed = configuration.with_learner(replica)
        replication.change_configuration(self._raft, changed, now_s)

    def leave(self, instance, now_s):
        """Record that a member stops; return whether its removal is committed.

        Raises
        ------
        NotLeaderError
            If this replica is not a ready leader.
        """
        raft = self._raft
        if not self.is_ready:
            raise NotLeaderError(f"{raft.local_id} is not a ready leader")
        if instance not in raft.configuration.member_names:
            return not self.change_pending
        raft.leave_requested_s[instance] = now_s
        return False

    def remove(self, instance, now_s):
        """Remove a member from the replica set."""
        self._check_change_allowed()
        changed = self._raft.configuration.without(instance)
        replication.change_configuration(self._raft, changed, now_s)

    def transfer(self, now_s):
        """Transfer leadership to another voter, if this replica leads."""
        if self._raft.role is RaftRole.LEADER:
            replication.transfer(self._raft, now_s)

    def bootstrap(self, configuration):
        """Set the initial replica set on a fresh replica."""
        snapshot = Snapshot(index=0, term=0, configuration=configuration)
        self._raft.snapshot = snapshot
        self._raft.configurations.clear()
        self._raft.add_configuration(0, configuration)
        self._raft.writes.append(SaveSnapshot(snapshot=snapshot))

    def compact(self, *, index, data, keep):
        """Replace applied entries by a snapshot of the state.

        Parameters
        ----------
        index : int
            Index of the last entry that the state includes; it must be
            applied.
        data : bytes
            The serialised state.
        keep : int
            Number of entries up to the index to retain, so that lagging
            followers can catch up without a snapshot.
        """
        raft = self._raft
        snapshot = Snapshot(
            index=index,
            term=raft.log.term_at(index),
            configuration=raft.configuration_at(index),
            data=data,
        )
        raft.snapshot = snapshot
        raft.writes.append(SaveSnapshot(snapshot=snapshot))
        raft.log.compact_to(max(raft.log.base_index, index - keep))
        raft.compact_configurations(raft.log.base_index)

    def synced(self, last_index, now_s):
        """Record that the writes of the output are synced to disk."""
        raft = self._raft
        raft.synced = min(last_index, raft.log.last_index)
        replication.advance_commit(raft)
        if self._is_writing:
            self._is_writing = False
            elections.on_written(raft, now_s)

    def take_output(self):
        """Return the output that has accumulated since the last call."""
        raft = self._raft
        committed = ()
        if raft.commit > raft.applied:
            count = raft.commit - raft.applied
            committed = raft.log.after(
                raft.applied, limit=count, max_bytes=1 << 62
            )
            raft.applied = raft.commit
        output = Output(
            early=tuple(raft.early),
            writes=tuple(raft.writes),
            messages=tuple(raft.messages),
            installed=raft.installed,
            committed=committed,
            last_index=raft.log.last_index,
        )
        self._is_writing = self._is_writing or bool(output.writes)
        raft.early.clear()
        raft.writes.clear()
        raft.messages.clear()
        raft.installed = None
        return output

    def _check_change_allowed(self):
        if not self.is_ready:
            # Until an entry of its own term is committed, a leader may lack
            # a change of the replica set that is already in force, and two
            # quorums without a common replica could form.
            raise NotLeaderError(
                f"{self._raft.local_id} is not ready to change the replica set"
            )
        if self.change_pending:
            raise ChangePendingError(
                "another change of the replica set is not committed yet"
            )

    def _step_down_when_removed(self, now_s):
        raft = self._raft
        removed = not raft.is_voter and not self.change_pending
        if raft.role is RaftRole.LEADER and removed:
            raft.become_follower(raft.term, None, now_s)


@singledispatch
def _receive(message, raft, now_s):
    raise TypeError(f"not a Raft message: {message!r}")


@_receive.register
def _(message: VoteRequest, raft, now_s):
    elections.on_vote_request(raft, message, now_s)


@_receive.register
def _(message: VoteAnswer, raft, now_s):
    elections.on_vote_answer(raft, message, now_s)


@_receive.register
def _(message: AppendRequest, raft, now_s):
    following.on_append(raft, message, now_s)


@_receive.register
def _(message: AppendAnswer, raft, now_s):
    replication.on_append_answer(raft, message, now_s)


@_receive.register
def _(message: SnapshotPiece, raft, now_s):
    following.on_snapshot_piece(raft, message, now_s)


@_receive.register
def _(message: SnapshotAnswer, raft, now_s):
    replication.on_snapshot_answer(raft, message, now_s)


@_receive.register
def _(message: TimeoutNow, raft, now_s):
    elections.on_timeout_now(raft, message, now_s)
