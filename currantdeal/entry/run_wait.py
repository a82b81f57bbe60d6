"""Waits for the output of a run, and ends the wait if its engine is gone.

A stream that is silent may be resumed at another engine as soon as memory is
reserved there.  Any stream ends once its engine is known to be gone: nobody
would ever send its rest, while its caller waits and could act.
"""

import asyncio

from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.node.errors import EngineLostError, ResponseTimeoutError
from currantdeal.policy.answers.handover_outcome import (
    MoveFailure,
    MoveOutcome,
)
from currantdeal.policy.answers.reset_outcome import ExchangePhase

RESUME_SILENCE_GAPS = 4
"""Silence after which a stream is resumed at another engine, in gap targets.

It is resumed only once memory is reserved there: an engine that has only
preempted the stream will continue it.
"""

DEFAULT_GAP_TARGET_S = 0.3
"""Gap target of a route without one."""


def gap_target_s(active):
    """Return the longest timely pause between two events of a request."""
    return active.route.gap_target_s or DEFAULT_GAP_TARGET_S


class RunWait:
    """Waits for the engines of one generation.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    reserver : MemoryReserver
        Reserves memory for it.
    may_move : callable
        Returns whether another engine may resume the stream now.

    Attributes
    ----------
    lost_engines : int
        Engines that ended during a run of this generation.
    """

    def __init__(self, *, context, active, reserver, may_move):
        """Start before the first run."""
        self._context = context
        self._active = active
        self._reserver = reserver
        self._may_move = may_move
        self._reservation = None
        self.lost_engines = 0

    def take_reservation(self):
        """Return the memory at which to resume the stream, or None."""
        reservation, self._reservation = self._reservation, None
        return reservation

    async def receive(self, work, connection, record):
        """Return the result of ``work``, which awaits a part of an answer.

        Parameters
        ----------
        work : callable
            Coroutine function; it is called again after a silence.

        Raises
        ------
        EngineLostError
            If the process of the engine has ended.
        ResponseTimeoutError
            If another engine is to resume the stream, or the same one on
            another way.
        """
        pause_s = gap_target_s(self._active)
        silent_gaps = 0
        while True:
            try:
                async with asyncio.timeout(pause_s):
                    return await work()
            except TimeoutError:
                silent_gaps += 1
            self._check_link(connection, record)
            if silent_gaps % RESUME_SILENCE_GAPS == 0 and self._may_move():
                await self._move(connection, record)
            await self._check_engine(connection, record, silent_gaps)

    def _check_link(self, connection, record):
        """End the wait on a link that is cut, if the stream may go on."""
        if self._context.link_watch.is_hung(connection) and self._may_move():
            raise ResponseTimeoutError(
                f"the link to {record.upstream!r} is cut",
                phase=connection.phase,
            )

    async def _move(self, connection, record):
        self._count_move(MoveOutcome.BEGUN)
        reservation = await self._reserver.reserve_once(excluding=record)
        if reservation is None:
            self._count_move(MoveOutcome.GIVEN_UP, MoveFailure.NO_MEMORY)
            return
        if not await self._may_run():
            self._count_move(MoveOutcome.GIVEN_UP, MoveFailure.RETRY_BUDGET)
        elif connection.has_received:
            self._count_move(MoveOutcome.KEPT)
        else:
            self._reservation = reservation
            raise ResponseTimeoutError(
                "no event", phase=ExchangePhase.BETWEEN_EVENTS
            )
        self._reserver.release(reservation)

    def _count_move(self, outcome, why=None):
        self._context.metrics.add(
            "moves_total",
            outcome=outcome.value,
            why="" if why is None else why.value,
        )

    async def _may_run(self):
        return await self._active.arrivals.may_send(ArrivalKind.RUN)

    async def _check_engine(self, connection, record, silent_gaps):
        is_lost = await self._context.engine_watch.is_lost(
            record, silent_gaps=silent_gaps
        )
        if is_lost and not connection.has_received:
            self.lost_engines += 1
            self._context.metrics.add("runs_of_lost_engines_total")
            raise EngineLostError(
                f"{record.upstream!r} has ended", phase=connection.phase
            )
