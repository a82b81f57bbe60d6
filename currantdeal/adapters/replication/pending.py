"""Pending replies of a replica: proposals, and open calls of replicas."""

from dataclasses import dataclass

from pykka import Future

from currantdeal.adapters.replication.entries import RESULT_CODEC
from currantdeal.adapters.replication.errors import (
    NotProposedError,
    OutcomeUnknownError,
)
from currantdeal.adapters.replication.requests import Committed


@dataclass(frozen=True, kw_only=True)
class _Proposal:
    term: int
    reply: Future


class PendingProposals:
    """Proposals in the log whose results are outstanding, by index."""

    def __init__(self):
        """Start without proposals."""
        self._proposals = {}

    def __len__(self):
        """Return the number of pending proposals."""
        return len(self._proposals)

    def add(self, entry, reply):
        """Store the reply of a proposed entry."""
        self._proposals[entry.index] = _Proposal(term=entry.term, reply=reply)

    def resolve(self, entry, result):
        """Complete the proposal of an applied entry with its result."""
        proposal = self._proposals.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            # Another leader's entry replaced the proposed one.
            fail(
                proposal.reply,
                NotProposedError("replaced by another leader's entry"),
            )
            return
        done = Committed(
            version=entry.index, result=RESULT_CODEC.encode(result)
        )
        proposal.reply.set(done)

    def fail_all(self, reason):
        """Fail every proposal: its outcome is unknown to this replica."""
        for proposal in self._proposals.values():
            fail(proposal.reply, OutcomeUnknownError(reason))
        self._proposals.clear()


class OpenCalls:
    """Open calls of other replicas, whose replies can carry messages.

    Sending a message in the reply to an open call saves a call.
    """

    def __init__(self):
        """Start without open calls."""
        self._open = {}
        self._messages = {}

    def add(self, name, reply):
        """Store the reply of a replica's open call."""
        self._open.setdefault(name, []).append(reply)

    def add_message(self, message):
        """Return True if an open call will carry the message."""
        if message.to not in self._open:
            return False
        self._messages.setdefault(message.to, []).append(message)
        return True

    def complete_all(self):
        """Complete every open call.

        A replica's first open call carries all messages for it; its others
        get an empty reply.
        """
        for name, replies in self._open.items():
            for reply in replies[1:]:
                reply.set(())
            replies[0].set(tuple(self._messages.pop(name, ())))
        self._open.clear()


def fail(reply, error):
    """Complete a reply with an error."""
    reply.set_exception((type(error), error, None))
