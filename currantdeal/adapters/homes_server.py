"""Answers calls of other instances that concern homes."""

import pykka

from currantdeal.adapters.generated.homes.ttypes import HomeRefused
from currantdeal.membership import (
    HOME_CODEC,
    ClaimedGrant,
    ClaimsAnswer,
    HomeRefusal,
    SyncAnswer,
)

ACTOR_S = 2.0
"""Longest wait for the actor, which never waits for anybody itself."""


class HomesServer:
    """Implements the Thrift service, and serves this instance's own entry.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    process : int
        Start of this process.
    book : GrantBook
        What this instance holds as an entry.
    pass_on : callable
        Takes a load report to its home.
    """

    def __init__(self, *, instance, process, book, pass_on):
        """Refuse everything until there is an actor."""
        self._instance = instance
        self._process = process
        self._book = book
        self._pass_on = pass_on
        self._actor = None

    def attach(self, actor):
        """Hand calls to an actor from now on."""
        self._actor = actor

    def reserve(self, raw):
        """Answer the Thrift call ``reserve``."""
        answer = self.take_reserve(HOME_CODEC.decode(raw))
        if isinstance(answer, HomeRefusal):
            raise HomeRefused(refusal=HOME_CODEC.encode(answer))
        return HOME_CODEC.encode(answer)

    def grow(self, raw):
        """Answer the Thrift call ``grow``."""
        return self.take_grow(HOME_CODEC.decode(raw))

    def sync(self, raw):
        """Answer the Thrift call ``sync``."""
        return HOME_CODEC.encode(self.take_sync(HOME_CODEC.decode(raw)))

    def claims(self, raw):
        """Answer the Thrift call ``claims``."""
        return HOME_CODEC.encode(self.take_claims(HOME_CODEC.decode(raw)))

    def pass_on(self, raw):
        """Answer the Thrift call ``pass_on``."""
        for report in HOME_CODEC.decode(raw).reports:
            self._pass_on(report)

    def take_reserve(self, call):
        """Return a ``Grant`` or a ``HomeRefusal``."""
        stopped = HomeRefusal(message="the home has stopped", moving=True)
        return self._ask(call, stopped)

    def take_grow(self, call):
        """Return whether a grant was enlarged."""
        return self._ask(call, False)

    def take_sync(self, beat):
        """Return the answer to an entry's heartbeat."""
        return self._ask(beat, SyncAnswer())

    def take_claims(self, call):
        """Return what this instance holds of an upstream.

        From here on it renews these reservations at the new home.
        """
        held = self._book.adopt(
            call.upstream_id, home=call.home, fence=call.fence
        )
        return ClaimsAnswer(
            entry=self._instance,
            process=self._process,
            claimed=tuple(
                ClaimedGrant(request=one.request, pieces=one.pieces)
                for one in held
            ),
        )

    def _ask(self, message, otherwise):
        if self._actor is None:
            return otherwise
        try:
            return self._actor.ask(message, timeout=ACTOR_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return otherwise
