"""Elections: who may lead, and when a leader stops.

Raft's elections with the pre-vote and the check of the quorum of the thesis
[1]_, sections 9.6 and 6.2, and its leadership transfer, section 3.10.  A
replica asks whether it could win before it raises its term, so that one that
was cut off does not depose a working leader when it comes back.

References
----------
.. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
"""

from currantdeal.consensus import replication
from currantdeal.consensus.messages import VoteAnswer, VoteRequest
from currantdeal.consensus.raft import RaftRole


def tick(raft, now_s):
    """Give a leader up that has been silent too long; start an election."""
    if now_s < raft.election_due_s:
        return
    raft.reset_election_timer(now_s)
    # Also where this replica has no vote: one that stands by and was dropped
    # while it was cut off would go on as if the last leader still led, and
    # what follows it would stay behind for good.
    raft.leader = None
    if not raft.is_voter or raft.blank:
        return
    raft.role = RaftRole.PRE_CANDIDATE
    raft.votes = {raft.me}
    _ask_for_votes(raft, term=raft.term + 1, pre=True, transfer=False)
    _count_votes(raft, now_s)


def campaign(raft, now_s, *, transfer=False):
    """Raise the term and ask for votes."""
    raft.role = RaftRole.CANDIDATE
    raft.leader = None
    raft.set_term(raft.term + 1, raft.me)
    raft.reset_election_timer(now_s)
    raft.votes = {raft.me}
    _ask_for_votes(raft, term=raft.term, pre=False, transfer=transfer)
    _count_votes(raft, now_s)


def on_timeout_now(raft, message, now_s):
    """Take over because the leader asks for it."""
    if message.term == raft.term and raft.is_voter and not raft.blank:
        campaign(raft, now_s, transfer=True)


def on_vote_request(raft, request, now_s):
    """Grant or refuse a vote."""
    if _trusts_leader(raft, now_s) and not request.transfer:
        # A removed replica, or one behind a broken path, would otherwise
        # depose a leader that everybody else hears well; one would notice
        # it as elections without any failure.
        if request.pre:
            _answer_vote(raft, request, granted=False)
        return
    if request.pre:
        granted = request.term > raft.term and _may_win(raft, request)
        _answer_vote(raft, request, granted=granted and not raft.blank)
        return
    if request.term > raft.term:
        raft.follow(request.term, None, now_s)
    granted = (
        request.term == raft.term
        and raft.voted_for in (None, request.sender)
        and not raft.blank
        and _may_win(raft, request)
    )
    if granted:
        raft.set_term(raft.term, request.sender)
        raft.reset_election_timer(now_s)
    _answer_vote(raft, request, granted=granted)


def on_vote_answer(raft, answer, now_s):
    """Count a vote."""
    if not answer.granted:
        if answer.term > raft.term:
            raft.follow(answer.term, None, now_s)
        return
    wanted_role = RaftRole.PRE_CANDIDATE if answer.pre else RaftRole.CANDIDATE
    wanted_term = raft.term + 1 if answer.pre else raft.term
    if raft.role is wanted_role and answer.term == wanted_term:
        raft.votes.add(answer.sender)
        _count_votes(raft, now_s)


def _count_votes(raft, now_s):
    voters = set(raft.configuration.voter_names)
    if len(raft.votes & voters) < raft.configuration.quorum:
        return
    if raft.role is RaftRole.PRE_CANDIDATE:
        campaign(raft, now_s)
    elif raft.role is RaftRole.CANDIDATE:
        replication.lead(raft, now_s)


def _trusts_leader(raft, now_s):
    if raft.role is RaftRole.LEADER:
        return True
    if raft.leader is None:
        return False
    return now_s < raft.heard_s + raft.settings.election_s


def _may_win(raft, request):
    theirs = (request.last_term, request.last_index)
    return theirs >= (raft.log.last_term, raft.log.last_index)


def _answer_vote(raft, request, *, granted):
    # A granted pre-vote answers in the asked term, which nobody has entered.
    in_asked = granted and request.pre
    raft.messages.append(
        VoteAnswer(
            term=request.term if in_asked else raft.term,
            sender=raft.me,
            to=request.sender,
            granted=granted,
            pre=request.pre,
        )
    )


def _ask_for_votes(raft, *, term, pre, transfer):
    for name in raft.configuration.voter_names:
        if name != raft.me:
            raft.messages.append(
                VoteRequest(
                    term=term,
                    sender=raft.me,
                    to=name,
                    last_index=raft.log.last_index,
                    last_term=raft.log.last_term,
                    pre=pre,
                    transfer=transfer,
                )
            )
