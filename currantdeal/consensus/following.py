"""Follower side of Raft: AppendEntries and InstallSnapshot.

This differs from the paper in two points.  A follower without stored state
(``blank``) installs a snapshot only as a learner, so that votes and entries
which it has lost are never counted.  A rejected append is answered with a
hint that skips all entries of the conflicting term.
"""

from currantdeal.consensus.messages import (
    AppendAnswer,
    SaveSnapshot,
    Snapshot,
    SnapshotAnswer,
)


def on_append(raft, request, now_s):
    """Process an append request or heartbeat."""
    if not _accept_leader(raft, request, now_s):
        _answer(raft, request, accepted=False, match=raft.log.last_index)
        return
    if raft.blank:
        _answer(raft, request, accepted=False, match=0)
        return
    if not _log_matches(raft, request):
        _answer(
            raft, request, accepted=False, match=_conflict_hint(raft, request)
        )
        return
    _store_entries(raft, request.entries)
    match = request.previous_index + len(request.entries)
    raft.commit = max(raft.commit, min(request.commit, match))
    _answer(raft, request, accepted=True, match=match)


def on_snapshot_piece(raft, piece, now_s):
    """Buffer a piece of a snapshot, and install a complete snapshot."""
    if not _accept_leader(raft, piece, now_s):
        _answer(raft, piece, accepted=False, match=raft.log.last_index)
        return
    if raft.blank and not piece.learner:
        _answer(raft, piece, accepted=False, match=0)
        return
    if piece.index <= raft.commit and not raft.blank:
        _answer(raft, piece, accepted=True, match=raft.commit)
        return
    if raft.snapshot_buffer_id != (piece.term, piece.index):
        raft.snapshot_buffer_id = (piece.term, piece.index)
        raft.snapshot_buffer = bytearray()
    if piece.offset == len(raft.snapshot_buffer):
        raft.snapshot_buffer += piece.data
    if len(raft.snapshot_buffer) < piece.total:
        _request_next_piece(raft, piece)
        return
    _install(raft, piece)
    _answer(raft, piece, accepted=True, match=piece.index)


def _accept_leader(raft, message, now_s):
    if message.term < raft.term:
        return False
    raft.become_follower(message.term, message.sender, now_s)
    raft.leader_contact_s = now_s
    raft.reset_election_timer(now_s)
    return True


def _log_matches(raft, request):
    if request.previous_index < raft.log.base_index:
        return True
    local_term = raft.log.term_at(request.previous_index)
    return local_term == request.previous_term


def _conflict_hint(raft, request):
    last = min(raft.log.last_index, request.previous_index - 1)
    conflicting_term = raft.log.term_at(request.previous_index)
    while (
        conflicting_term is not None
        and last > raft.commit
        and raft.log.term_at(last) == conflicting_term
    ):
        last -= 1
    return last


def _store_entries(raft, entries):
    new_entries = []
    for entry in entries:
        if entry.index <= raft.log.base_index:
            continue
        if not new_entries and raft.log.term_at(entry.index) == entry.term:
            continue
        if not new_entries and entry.index <= raft.log.last_index:
            raft.truncate_from(entry.index)
        new_entries.append(entry)
    if new_entries:
        raft.append(new_entries)


def _install(raft, piece):
    snapshot = Snapshot(
        index=piece.index,
        term=piece.index_term,
        configuration=piece.configuration,
        data=bytes(raft.snapshot_buffer),
    )
    raft.snapshot_buffer = bytearray()
    raft.snapshot_buffer_id = None
    discard = raft.log.term_at(piece.index) != piece.index_term
    raft.snapshot = snapshot
    raft.writes.append(SaveSnapshot(snapshot=snapshot, discard=discard))
    if discard:
        raft.log.reset(base_index=piece.index, base_term=piece.index_term)
        raft.synced = piece.index
        raft.configurations.clear()
        raft.add_configuration(piece.index, piece.configuration)
    else:
        raft.log.compact_to(piece.index)
        raft.compact_configurations(piece.index)
    raft.commit = max(raft.commit, piece.index)
    raft.applied = max(raft.applied, piece.index)
    raft.installed = snapshot


def _request_next_piece(raft, piece):
    raft.messages.append(
        SnapshotAnswer(
            term=raft.term,
            sender=raft.local_id,
            to=piece.sender,
            index=piece.index,
            offset=len(raft.snapshot_buffer),
            sent_s=piece.sent_s,
            blank=raft.blank,
        )
    )


def _answer(raft, request, *, accepted, match):
    raft.messages.append(
        AppendAnswer(
            term=raft.term,
            sender=raft.local_id,
            to=request.sender,
            accepted=accepted,
            match_index=match,
            sent_s=request.sent_s,
            blank=raft.blank,
        )
    )
