"""Thrift service that answers calls to the homes and the entry here."""

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
"""Longest wait for an answer of the actor, which itself never blocks."""


class HomesServer:
    """Implements the Thrift service; also called directly by the local entry.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    process : int
        Incarnation number of this process.
    reservations : HeldReservations
        Grants that this instance holds as an entry.
    pass_on : callable
        Relays a load report to the upstream's home.
    """

    def __init__(self, *, instance, process, reservations, pass_on):
        """Start without an actor; calls are refused until ``attach``."""
        self._instance = instance
        self._process = process
        self._reservations = reservations
        self._pass_on = pass_on
        self._actor = None

    def attach(self, actor):
        """Set the actor that handles calls."""
        self._actor = actor

    def reserve(self, raw):
        """Answer the Thrift call ``reserve``."""
        answer = self.handle_reserve(HOME_CODEC.decode(raw))
        if isinstance(answer, HomeRefusal):
            raise HomeRefused(refusal=HOME_CODEC.encode(answer))
        return HOME_CODEC.encode(answer)

    def grow(self, raw):
        """Answer the Thrift call ``grow``."""
        return self.handle_grow(HOME_CODEC.decode(raw))

    def sync(self, raw):
        """Answer the Thrift call ``sync``."""
        return HOME_CODEC.encode(self.handle_sync(HOME_CODEC.decode(raw)))

    def claims(self, raw):
        """Answer the Thrift call ``claims``."""
        return HOME_CODEC.encode(self.handle_claims(HOME_CODEC.decode(raw)))

    def pass_on(self, raw):
        """Answer the Thrift call ``pass_on``."""
        for report in HOME_CODEC.decode(raw).reports:
            self._pass_on(report)

    def handle_reserve(self, call):
        """Return a ``Grant`` or a ``HomeRefusal``."""
        stopped = HomeRefusal(message="the home has stopped", moving=True)
        return self._ask_actor(call, stopped)

    def handle_grow(self, call):
        """Return whether a grant was enlarged."""
        return self._ask_actor(call, False)

    def handle_sync(self, beat):
        """Return the answer to an entry's heartbeat."""
        return self._ask_actor(beat, SyncAnswer())

    def handle_claims(self, call):
        """Return the grants that this instance holds on an upstream.

        From now on this instance renews them at the new home.
        """
        held = self._reservations.set_home(
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

    def _ask_actor(self, message, default):
        if self._actor is None:
            return default
        try:
            return self._actor.ask(message, timeout=ACTOR_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return default
