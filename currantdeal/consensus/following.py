"""A follower's part in replication: Raft's AppendEntries and InstallSnapshot.

Departures from the paper: a follower without memory (``blank``) takes a
snapshot only as a learner, so that votes and entries it has forgotten are
never counted; a rejected append answers with a hint that skips a whole term.
"""

from currantdeal.consensus.messages import (
    AppendAnswer,
    SaveSnapshot,
    Snapshot,
    SnapshotAnswer,
)


def on_append(raft, request, now_s):
    """Take in entries or a heartbeat."""
    if not _accept_leader(raft, request, now_s):
        _answer(raft, request, accepted=False, match=raft.log.last_index)
        return
    if raft.blank:
        _answer(raft, request, accepted=False, match=0)
        return
    if not _matches(raft, request):
        _answer(raft, request, accepted=False, match=_hint(raft, request))
        return
    _store(raft, request.entries)
    match = request.previous_index + len(request.entries)
    raft.commit = max(raft.commit, min(request.commit, match))
    _answer(raft, request, accepted=True, match=match)


def on_snapshot_piece(raft, piece, now_s):
    """Collect a snapshot, and install it when it is whole."""
    if not _accept_leader(raft, piece, now_s):
        _answer(raft, piece, accepted=False, match=raft.log.last_index)
        return
    if raft.blank and not piece.learner:
        _answer(raft, piece, accepted=False, match=0)
        return
    if piece.index <= raft.commit and not raft.blank:
        _answer(raft, piece, accepted=True, match=raft.commit)
        return
    if raft.receiving_index != (piece.term, piece.index):
        raft.receiving_index = (piece.term, piece.index)
        raft.receiving = bytearray()
    if piece.offset == len(raft.receiving):
        raft.receiving += piece.data
    if len(raft.receiving) < piece.total:
        _ask_for_next_piece(raft, piece)
        return
    _install(raft, piece)
    _answer(raft, piece, accepted=True, match=piece.index)


def _accept_leader(raft, message, now_s):
    if message.term < raft.term:
        return False
    raft.follow(message.term, message.sender, now_s)
    raft.heard_s = now_s
    raft.reset_election_timer(now_s)
    return True


def _matches(raft, request):
    if request.previous_index < raft.log.base_index:
        return True
    known = raft.log.term_at(request.previous_index)
    return known == request.previous_term


def _hint(raft, request):
    last = min(raft.log.last_index, request.previous_index - 1)
    conflicting = raft.log.term_at(request.previous_index)
    while (
        conflicting is not None
        and last > raft.commit
        and raft.log.term_at(last) == conflicting
    ):
        last -= 1
    return last


def _store(raft, entries):
    fresh = []
    for entry in entries:
        if entry.index <= raft.log.base_index:
            continue
        if not fresh and raft.log.term_at(entry.index) == entry.term:
            continue
        if not fresh and entry.index <= raft.log.last_index:
            raft.cut_from(entry.index)
        fresh.append(entry)
    if fresh:
        raft.append(fresh)


def _install(raft, piece):
    snapshot = Snapshot(
        index=piece.index,
        term=piece.index_term,
        configuration=piece.configuration,
        data=bytes(raft.receiving),
    )
    raft.receiving = bytearray()
    raft.receiving_index = None
    discard = raft.log.term_at(piece.index) != piece.index_term
    raft.snapshot = snapshot
    raft.writes.append(SaveSnapshot(snapshot=snapshot, discard=discard))
    if discard:
        raft.log.reset(base_index=piece.index, base_term=piece.index_term)
        raft.synced = piece.index
        raft.configurations.clear()
        raft.use_configuration(piece.index, piece.configuration)
    else:
        raft.log.compact_to(piece.index)
        raft.forget_configurations(piece.index)
    raft.commit = max(raft.commit, piece.index)
    raft.applied = max(raft.applied, piece.index)
    raft.installed = snapshot


def _ask_for_next_piece(raft, piece):
    raft.messages.append(
        SnapshotAnswer(
            term=raft.term,
            sender=raft.me,
            to=piece.sender,
            index=piece.index,
            offset=len(raft.receiving),
            sent_s=piece.sent_s,
            blank=raft.blank,
        )
    )


def _answer(raft, request, *, accepted, match):
    raft.messages.append(
        AppendAnswer(
            term=raft.term,
            sender=raft.me,
            to=request.sender,
            accepted=accepted,
            match_index=match,
            sent_s=request.sent_s,
            blank=raft.blank,
        )
    )
