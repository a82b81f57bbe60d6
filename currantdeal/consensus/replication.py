"""Leader side of Raft: replication, commit, membership and transfer.

Raft's log replication with pipelining and batching (thesis [1]_, section
10.2): entries are sent to the followers while the leader's own disk still
syncs them, and the leader counts itself for the commit only after its sync.

References
----------
.. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
"""

from currantdeal.consensus.messages import (
    CONFIGURATION_CODEC,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotPiece,
    TimeoutNow,
)
from currantdeal.consensus.raft import NEVER_S, Progress, RaftRole
from currantdeal.consensus.replica_set import MemberHealth, next_change

LEAVE_REQUEST_TTL_S = 1.0
"""Time after which a leave request expires unless it is repeated.

A replica that was stopped and started again must not be removed because of
an old request.
"""


def become_leader(raft, now_s):
    """Become leader of the current term.

    An empty entry is appended, because entries of earlier terms are only
    committed together with an entry of the leader's own term (Raft, section
    5.4.2).
    """
    raft.role = RaftRole.LEADER
    raft.leader = raft.local_id
    raft.elected_s = now_s
    raft.transfer_to = None
    raft.progress = {}
    raft.leave_requested_s = {}
    raft.first_own_index = raft.log.last_index + 1
    append(raft, (b"",), EntryKind.NOTHING, now_s)


def append(raft, payloads, kind, now_s):
    """Append entries to the leader's log and send them."""
    first = raft.log.last_index + 1
    entries = [
        Entry(index=first + n, term=raft.term, kind=kind, data=data)
        for n, data in enumerate(payloads)
    ]
    raft.append(entries)
    _update_progress(raft, now_s)
    broadcast(raft, now_s)
    return entries


def change_configuration(raft, configuration, now_s):
    """Append a new replica set, which takes effect as soon as it is logged."""
    data = CONFIGURATION_CODEC.encode(configuration)
    return append(raft, (data,), EntryKind.CONFIGURATION, now_s)[0]


def tick(raft, now_s):
    """Send due heartbeats, adapt the replica set, step down if needed.

    The leader steps down when no quorum has answered its heartbeats for
    twice the minimum election timeout.
    """
    if is_quorum_silent(raft, now_s):
        raft.become_follower(raft.term, None, now_s)
        return
    if raft.transfer_to is not None and now_s >= raft.transfer_due_s:
        raft.transfer_to = None
    if now_s >= raft.heartbeat_due_s:
        broadcast(raft, now_s)
    _adapt_replica_set(raft, now_s)


def is_quorum_silent(raft, now_s):
    """Return whether a leader has to step down at its next tick."""
    limit_s = 2.0 * raft.settings.election_s
    heard_s = max(quorum_acked_s(raft, now_s), raft.elected_s)
    return now_s - heard_s > limit_s


def broadcast(raft, now_s):
    """Send every other member its missing entries, or a heartbeat."""
    raft.heartbeat_due_s = now_s + raft.settings.heartbeat_s
    for name in raft.progress:
        _send(raft, name, now_s)


def quorum_acked_s(raft, now_s):
    """Return the send time of the last heartbeat that a quorum answered.

    The quorum includes this leader.  A later leader can only be elected
    after this time.
    """
    times = [
        now_s if name == raft.local_id else _acked_s(raft, name)
        for name in raft.configuration.voter_names
    ]
    return sorted(times, reverse=True)[raft.configuration.quorum - 1]


def on_append_answer(raft, answer, now_s):
    """Update a follower's progress and advance the commit index."""
    peer = raft.progress.get(answer.sender)
    if raft.role is not RaftRole.LEADER or answer.term != raft.term:
        return
    if peer is None:
        return
    if answer.blank:
        peer.match_index = 0
        _start_snapshot(raft, answer.sender, peer, now_s)
        return
    peer.last_contact_s = now_s
    peer.acked_s = max(peer.acked_s, answer.sent_s)
    if not answer.accepted:
        _handle_rejection(raft, answer, peer, now_s)
        return
    peer.match_index = max(peer.match_index, answer.match_index)
    peer.next_index = max(peer.next_index, peer.match_index + 1)
    if (
        peer.pending_snapshot
        and peer.match_index >= peer.pending_snapshot.index
    ):
        peer.pending_snapshot = None
    _commit(raft, now_s)
    if raft.transfer_to == answer.sender:
        _send_timeout_now(raft)
    if peer.next_index <= raft.log.last_index:
        _send(raft, answer.sender, now_s)


def _handle_rejection(raft, answer, peer, now_s):
    """Resend entries from the last index at which the logs may match.

    If the rejection does not lower the next index, the leader waits for the
    next heartbeat.  Otherwise two members whose logs keep differing would
    exchange messages in an endless loop.
    """
    before = peer.next_index
    # A lower index than before means that the follower's disk was lost.
    peer.match_index = min(peer.match_index, answer.match_index)
    peer.next_index = answer.match_index + 1
    if peer.next_index < before:
        _send(raft, answer.sender, now_s)


def on_snapshot_answer(raft, answer, now_s):
    """Send the next piece of a snapshot."""
    peer = raft.progress.get(answer.sender)
    if raft.role is not RaftRole.LEADER or answer.term != raft.term:
        return
    if peer is None or peer.pending_snapshot is None:
        return
    peer.last_contact_s = now_s
    if not answer.blank:
        peer.acked_s = max(peer.acked_s, answer.sent_s)
    if answer.index == peer.pending_snapshot.index:
        peer.offset = answer.offset
        _send_snapshot_piece(raft, answer.sender, peer, now_s)


def advance_commit(raft):
    """Commit the entries that a quorum of voters has synced to disk."""
    if raft.role is not RaftRole.LEADER:
        return
    match_indexes = [
        raft.synced if name == raft.local_id else _match_index(raft, name)
        for name in raft.configuration.voter_names
    ]
    agreed = sorted(match_indexes, reverse=True)[raft.configuration.quorum - 1]
    if agreed > raft.commit and raft.log.term_at(agreed) == raft.term:
        raft.commit = agreed


def _commit(raft, now_s):
    """Advance the commit index; broadcast the first commit of the term.

    After a restart of all processes, entries that follow another replica have
    no routes and refuse their callers until that replica has received the
    commit index.  It must not wait for the next heartbeat.
    """
    was_ready = raft.commit >= raft.first_own_index
    advance_commit(raft)
    if not was_ready and raft.commit >= raft.first_own_index:
        broadcast(raft, now_s)


def transfer(raft, now_s):
    """Transfer leadership to the voter with the most complete log."""
    others = [n for n in raft.configuration.voter_names if n != raft.local_id]
    if not others:
        return
    raft.transfer_to = max(
        others, key=lambda n: (_match_index(raft, n), _acked_s(raft, n))
    )
    raft.transfer_due_s = now_s + raft.settings.election_s
    _send_timeout_now(raft)


def _send_timeout_now(raft):
    if _match_index(raft, raft.transfer_to) < raft.log.last_index:
        return
    raft.messages.append(
        TimeoutNow(term=raft.term, sender=raft.local_id, to=raft.transfer_to)
    )


def silent_members(raft, now_s):
    """Return the members that have not answered for ``silent_s``."""
    limit_s = now_s - raft.settings.silent_s
    return frozenset(
        name
        for name, peer in raft.progress.items()
        if peer.last_contact_s <= limit_s
    )


def _adapt_replica_set(raft, now_s):
    if raft.configuration_index > raft.commit:
        return
    if raft.commit < raft.first_own_index:
        return
    change = next_change(raft.configuration, _member_health(raft, now_s))
    if change is not None:
        raft.last_replica_set_change = change
        change_configuration(raft, change.configuration, now_s)


def _member_health(raft, now_s):
    answered_since_s = now_s - raft.settings.election_s
    leave_valid_from_s = now_s - LEAVE_REQUEST_TTL_S
    answering = frozenset(
        name
        for name, peer in raft.progress.items()
        if peer.acked_s > answered_since_s
    )
    return MemberHealth(
        answering=answering | {raft.local_id},
        silent=silent_members(raft, now_s),
        leaving=frozenset(
            name
            for name, at_s in raft.leave_requested_s.items()
            if at_s > leave_valid_from_s
        ),
        caught_up=frozenset(
            name
            for name in raft.configuration.learner_names
            if name in answering
            and raft.progress[name].match_index >= raft.commit
        ),
    )


def _update_progress(raft, now_s):
    members = raft.configuration.member_names
    peers = [name for name in members if name != raft.local_id]
    raft.progress = {
        name: raft.progress.get(name)
        or Progress(next_index=raft.log.last_index, now_s=now_s)
        for name in peers
    }


def _send(raft, name, now_s):
    peer = raft.progress[name]
    if peer.pending_snapshot is not None:
        _send_snapshot_piece(raft, name, peer, now_s)
        return
    previous = peer.next_index - 1
    previous_term = raft.log.term_at(previous)
    if previous_term is None:
        _start_snapshot(raft, name, peer, now_s)
        return
    entries = ()
    if peer.next_index <= peer.match_index + raft.settings.window_entries:
        entries = raft.log.after(
            previous,
            limit=raft.settings.max_entries,
            max_bytes=raft.settings.max_bytes,
        )
    peer.next_index += len(entries)
    raft.early.append(
        AppendRequest(
            term=raft.term,
            sender=raft.local_id,
            to=name,
            previous_index=previous,
            previous_term=previous_term,
            commit=raft.commit,
            sent_s=now_s,
            entries=entries,
            learner=name in raft.configuration.learner_names,
        )
    )


def _start_snapshot(raft, name, peer, now_s):
    if peer.pending_snapshot is None:
        peer.pending_snapshot = raft.snapshot
        peer.offset = 0
        peer.next_index = raft.snapshot.index + 1
        _send_snapshot_piece(raft, name, peer, now_s)


def _send_snapshot_piece(raft, name, peer, now_s):
    snapshot = peer.pending_snapshot
    end = peer.offset + raft.settings.piece_bytes
    raft.early.append(
        SnapshotPiece(
            term=raft.term,
            sender=raft.local_id,
            to=name,
            index=snapshot.index,
            index_term=snapshot.term,
            configuration=snapshot.configuration,
            offset=peer.offset,
            total=len(snapshot.data),
            data=snapshot.data[peer.offset : end],
            sent_s=now_s,
            learner=name in raft.configuration.learner_names,
        )
    )


def _match_index(raft, name):
    peer = raft.progress.get(name)
    return peer.match_index if peer else 0


def _acked_s(raft, name):
    peer = raft.progress.get(name)
    return peer.acked_s if peer else NEVER_S
