"""Turn of one generation among those that wait for KV cache memory."""

import math

import structlog

from currantdeal.entry.progress import RequestState

_log = structlog.get_logger(__name__)


class MemoryTurn:
    """Keeps the place of a generation in ``MemoryTurns``, and reports it.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    tokens : int
        Memory that it needs.
    until_s : float
        Loop time until which it may wait; infinite if it is never held back.
    """

    def __init__(self, *, context, active, tokens, until_s):
        """Enter the generation."""
        self._context = context
        self._active = active
        self._until_s = until_s
        self._entered_s = context.now_s
        self._waited = False
        self._rounds_held_back = 0
        self._turn = None
        self._number = context.memory_turns.enter(
            service=active.service.name,
            priority=active.priority,
            route_priority=active.route.priority,
            organisation=active.organisation_name,
            is_retry=active.is_retry,
            tokens=tokens,
            now_s=self._entered_s,
        )
        self._rank = context.memory_turns.rank_of(self._number)

    @property
    def is_too_late(self):
        """Whether its turn is predicted to come too late."""
        left_s = self._until_s - self._context.now_s
        return self._turn is not None and self._turn.is_too_late(left_s)

    @property
    def return_after_s(self):
        """Time in which those up to its rank are served; None if unknown."""
        context = self._context
        return context.memory_turns.return_after_s(
            self._rank, now_s=context.now_s
        )

    def may_ask(self, free):
        """Return whether it may ask the engines for memory now.

        Parameters
        ----------
        free : int or None
            Tokens that are estimated to be free; None if unknown.
        """
        if free is None or math.isinf(self._until_s):
            self._turn = None
            return True
        self._turn = self._context.memory_turns.turn(
            self._number, free=free, now_s=self._context.now_s
        )
        self._rounds_held_back += not self._turn.may_ask
        return self._turn.may_ask

    def record_wait(self):
        """Record that a round brought no memory."""
        self._waited = True
        self._active.enter(RequestState.MEMORY)
        self._context.memory_turns.record_wait(self._number)

    def end(self, *, granted):
        """Leave; logs a generation that waited."""
        context = self._context
        is_too_late = not granted and self.is_too_late
        context.memory_turns.leave(
            self._number, granted=granted, now_s=context.now_s
        )
        if not self._waited:
            return
        self._active.enter(RequestState.UPSTREAM)
        outcome = "refused" if is_too_late else "expired"
        if granted:
            outcome = "granted"
        self._active.search.outcome = outcome
        turn = self._turn
        _log.info(
            "memory-awaited",
            request=self._active.call.request_id,
            rank=self._rank.key,
            organisation=self._active.organisation_name,
            outcome=outcome,
            waited=round(context.now_s - self._entered_s, 4),
            held_back=self._rounds_held_back,
            ahead=turn and turn.ahead,
            free=turn and turn.free,
            predicted=turn and _rounded(turn.wait_s),
        )


def _rounded(seconds):
    return round(seconds, 3) if math.isfinite(seconds) else None
