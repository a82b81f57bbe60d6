"""Waits for the output of a run, and ends the wait if its engine is gone.

A stream that is silent is moved to another engine, see ``Handover``; its run
goes on until the other engine has sent the next event.  Any stream ends once
its engine is known to be gone: nobody would ever send its rest, while its
caller waits and could act.
"""

import asyncio
from contextlib import suppress

from currantdeal.entry.errors import SupersededError
from currantdeal.node.errors import EngineLostError
from currantdeal.policy.health.silence_scope import (
    SilenceScope,
    SilentStream,
    scope_of_silence,
)

RESUME_SILENCE_GAPS = 4
"""Silence after which a stream is moved to another engine, in gap targets.

An engine that has only preempted the stream will continue it.
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
    handover : Handover
        Prepares a successor for a run that is silent.
    may_move : callable
        Returns whether another engine may resume the stream now.

    Attributes
    ----------
    lost_engines : int
        Engines that ended during a run of this generation.
    """

    def __init__(self, *, context, active, handover, may_move):
        """Start before the first run."""
        self._context = context
        self._active = active
        self._handover = handover
        self._may_move = may_move
        self._is_held = False
        self.lost_engines = 0

    async def receive(self, work, run):
        """Return the result of ``work``, which awaits a part of an answer.

        Parameters
        ----------
        work : callable
            Coroutine function; it is called again after a silence.
        run : DecodeRun
            The run.

        Raises
        ------
        EngineLostError
            If the process of the engine has ended.
        SupersededError
            If another run has sent the next event.
        """
        pause_s = gap_target_s(self._active)
        began_s = self._context.now_s
        silent_gaps = 0
        self._is_held = False
        while True:
            self._check_successor(run)
            try:
                return await self._unless_ready(work(), timeout_s=pause_s)
            except TimeoutError:
                self._check_successor(run)
            silent_gaps += 1
            self._move_if_silent(run, silent_gaps, began_s)
            with suppress(TimeoutError):
                await self._unless_ready(self._check_engine(run, silent_gaps))

    async def _unless_ready(self, work, *, timeout_s=None):
        """Return the result of a coroutine.

        Raises
        ------
        TimeoutError
            If its time is over, or once the successor has spoken.
        """
        try:
            async with asyncio.timeout(timeout_s) as limit:
                self._handover.on_ready = _waker(limit)
                return await work
        finally:
            self._handover.on_ready = None

    def _check_successor(self, run):
        """End the wait if the next event is here from another run only."""
        if self._handover.is_ready and not run.connection.has_received:
            raise SupersededError(f"{run.record.upstream!r} sent no event")

    def _move_if_silent(self, run, silent_gaps, since_s):
        """Prepare a successor, unless most engines are silent as well."""
        if self._handover.is_begun:
            return
        is_cut = self._context.link_watch.is_hung(run.connection)
        is_due = silent_gaps % RESUME_SILENCE_GAPS == 0
        if not (is_cut or is_due or self._is_held) or not self._may_move():
            return
        was_held = self._is_held
        self._is_held = not is_cut and self._is_common(run, since_s)
        if not self._is_held:
            self._handover.begin(run.record, is_cut=is_cut)
        elif not was_held:
            self._context.metrics.add("moves_held_total")

    def _is_common(self, run, since_s):
        """Return whether a run is silent since a time for a common cause."""
        now_s = self._context.now_s
        stream = SilentStream(
            upstream=run.record.upstream,
            silence_s=now_s - since_s,
            gap_target_s=gap_target_s(self._active),
        )
        facts = self._context.run_contacts.facts(now_s)
        return scope_of_silence(stream, facts) is SilenceScope.COMMON

    async def _check_engine(self, run, silent_gaps):
        is_lost = await self._context.engine_watch.is_lost(
            run.record, silent_gaps=silent_gaps
        )
        if is_lost and not run.connection.has_received:
            self.lost_engines += 1
            self._context.metrics.add("runs_of_lost_engines_total")
            raise EngineLostError(
                f"{run.record.upstream!r} has ended",
                phase=run.connection.phase,
            )


def _waker(limit):
    """Return what ends a wait at once, unless its time is over."""

    def wake():
        if not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    return wake
