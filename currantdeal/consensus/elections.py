"""Leader election with pre-vote and leadership transfer.

Raft elections with the extensions of the thesis [1]_: pre-vote (section 9.6),
the quorum check (section 6.2) and leadership transfer (section 3.10).  With
pre-vote a replica checks whether it could win before it increments its term,
so a replica that returns from a network partition does not depose a working
leader.

References
----------
.. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
"""

from currantdeal.consensus import replication
from currantdeal.consensus.messages import VoteAnswer, VoteRequest
from currantdeal.consensus.raft import RaftRole


def tick(raft, now_s):
    """Clear the leader and start a pre-vote after an election timeout."""
    if now_s < raft.election_due_s:
        return
    raft.reset_election_timer(now_s)
    # Learners clear the leader, too.  A learner that was removed from the
    # replica set during a network partition would otherwise keep its old
    # leader and never rejoin, and the entries that follow it would never be
    # updated again.
    raft.leader = None
    if not raft.is_voter or raft.blank:
        return
    raft.role = RaftRole.PRE_CANDIDATE
    raft.votes = {raft.local_id}
    _request_votes(raft, term=raft.term + 1, pre=True, transfer=False)
    _count_votes(raft, now_s)


def campaign(raft, now_s, *, transfer=False):
    """Increment the term and request votes."""
    raft.role = RaftRole.CANDIDATE
    raft.leader = None
    raft.set_term(raft.term + 1, raft.local_id)
    raft.reset_election_timer(now_s)
    raft.campaigned_s = now_s
    raft.votes = {raft.local_id}
    _request_votes(raft, term=raft.term, pre=False, transfer=transfer)
    _count_votes(raft, now_s)


def on_written(raft, now_s):
    """Restart an election timeout that a write to disk has used up.

    A candidate sends its requests only after the write, and each voter
    answers after one that takes about as long.  With a slow disk it would
    otherwise give up its election before any vote can arrive.  Others have
    received nothing while they wrote.
    """
    if raft.role is RaftRole.CANDIDATE:
        raft.reset_election_timer(now_s)
        write_s = now_s - raft.campaigned_s
        raft.election_due_s += min(write_s, raft.settings.silent_s)
    elif now_s >= raft.election_due_s:
        raft.reset_election_timer(now_s)


def on_timeout_now(raft, message, now_s):
    """Start an election at the leader's request."""
    if message.term == raft.term and raft.is_voter and not raft.blank:
        campaign(raft, now_s, transfer=True)


def on_vote_request(raft, request, now_s):
    """Grant or refuse a vote or pre-vote."""
    if _has_live_leader(raft, now_s) and not request.transfer:
        # A removed replica, or one behind a broken network path, would
        # otherwise depose a leader that all others can reach.  The symptom
        # would be elections without any failure.
        if request.pre:
            _answer_vote(raft, request, granted=False)
        return
    if request.pre:
        granted = request.term > raft.term and _is_up_to_date(raft, request)
        _answer_vote(raft, request, granted=granted and not raft.blank)
        return
    if request.term > raft.term:
        raft.become_follower(request.term, None, now_s)
    granted = (
        request.term == raft.term
        and raft.voted_for in (None, request.sender)
        and not raft.blank
        and _is_up_to_date(raft, request)
    )
    if granted:
        raft.set_term(raft.term, request.sender)
        raft.reset_election_timer(now_s)
    _answer_vote(raft, request, granted=granted)


def on_vote_answer(raft, answer, now_s):
    """Process the answer to a vote request."""
    if not answer.granted:
        if answer.term > raft.term:
            raft.become_follower(answer.term, None, now_s)
        return
    expected_role = (
        RaftRole.PRE_CANDIDATE if answer.pre else RaftRole.CANDIDATE
    )
    expected_term = raft.term + 1 if answer.pre else raft.term
    if raft.role is expected_role and answer.term == expected_term:
        raft.votes.add(answer.sender)
        _count_votes(raft, now_s)


def _count_votes(raft, now_s):
    voters = set(raft.configuration.voter_names)
    if len(raft.votes & voters) < raft.configuration.quorum:
        return
    if raft.role is RaftRole.PRE_CANDIDATE:
        campaign(raft, now_s)
    elif raft.role is RaftRole.CANDIDATE:
        replication.become_leader(raft, now_s)


def _has_live_leader(raft, now_s):
    if raft.role is RaftRole.LEADER:
        return True
    if raft.leader is None:
        return False
    return now_s < raft.leader_contact_s + raft.settings.election_s


def _is_up_to_date(raft, request):
    candidate_log = (request.last_term, request.last_index)
    return candidate_log >= (raft.log.last_term, raft.log.last_index)


def _answer_vote(raft, request, *, granted):
    # A granted pre-vote carries the term of the request, which no replica
    # has entered yet.
    is_granted_pre_vote = granted and request.pre
    raft.messages.append(
        VoteAnswer(
            term=request.term if is_granted_pre_vote else raft.term,
            sender=raft.local_id,
            to=request.sender,
            granted=granted,
            pre=request.pre,
        )
    )


def _request_votes(raft, *, term, pre, transfer):
    for name in raft.configuration.voter_names:
        if name != raft.local_id:
            raft.messages.append(
                VoteRequest(
                    term=term,
                    sender=raft.local_id,
                    to=name,
                    last_index=raft.log.last_index,
                    last_term=raft.log.last_term,
                    pre=pre,
                    transfer=transfer,
                )
            )
