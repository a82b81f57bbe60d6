"""Those who wait for a replica: proposers, and replicas that were heard."""

from dataclasses import dataclass

from pykka import Future

from currantdeal.adapters.replication.entries import RESULT_CODEC
from currantdeal.adapters.replication.errors import (
    NotProposedError,
    OutcomeUnknownError,
)
from currantdeal.adapters.replication.requests import Proposed


@dataclass(frozen=True, kw_only=True)
class _Proposal:
    term: int
    reply: Future


class Proposals:
    """Commands in the log whose proposers wait for the result."""

    def __init__(self):
        """Start with nobody waiting."""
        self._waiting = {}

    def __len__(self):
        """Return how many wait."""
        return len(self._waiting)

    def add(self, entry, reply):
        """Remember who waits for an entry."""
        self._waiting[entry.index] = _Proposal(term=entry.term, reply=reply)

    def resolve(self, entry, result):
        """Tell the proposer of an applied entry its result."""
        proposal = self._waiting.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term != entry.term:
            # Another leader's entry took the place of the proposed one.
            fail(proposal.reply, NotProposedError("overtaken"))
            return
        done = Proposed(
            version=entry.index, result=RESULT_CODEC.encode(result)
        )
        proposal.reply.set(done)

    def fail_all(self, reason):
        """Tell every proposer that the outcome is not known here."""
        for proposal in self._waiting.values():
            fail(proposal.reply, OutcomeUnknownError(reason))
        self._waiting.clear()


class Callers:
    """Replicas whose call is open, so that answers can go back on it."""

    def __init__(self):
        """Start with no open call."""
        self._open = {}
        self._answers = {}

    def add(self, name, reply):
        """Remember a replica's open call."""
        self._open.setdefault(name, []).append(reply)

    def take(self, message):
        """Return whether a message can go back on an open call."""
        if message.to not in self._open:
            return False
        self._answers.setdefault(message.to, []).append(message)
        return True

    def release(self):
        """Answer every open call with what was taken for it."""
        for name, replies in self._open.items():
            for reply in replies[1:]:
                reply.set(())
            replies[0].set(tuple(self._answers.pop(name, ())))
        self._open.clear()


def fail(reply, error):
    """Raise an error at whoever waits for a reply."""
    reply.set_exception((type(error), error, None))
