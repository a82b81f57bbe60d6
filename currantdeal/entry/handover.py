"""Moves a stream to another engine while its present run is still read.

See ``currantdeal.policy.answers.run_pair`` for what decides between the two.
"""

import asyncio

import structlog

from currantdeal.entry.errors import BreakReason
from currantdeal.entry.relay import has_events
from currantdeal.entry.run_end import record_lost_run
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import ExchangeError
from currantdeal.policy.answers.handover_outcome import (
    MoveFailure,
    MoveOutcome,
)
from currantdeal.policy.answers.run_pair import Decision, RunPair, RunState

MAX_OVERLAP_S = 0.3
"""Longest time for which two engines that are reached work on one answer."""

_FAILURES = {
    BreakReason.RETRY_BUDGET: MoveFailure.RETRY_BUDGET,
    BreakReason.NO_PREFILL: MoveFailure.PREFILL,
}

_log = structlog.get_logger(__name__)


class Handover:
    """The successor of the present run of one generation, while it is wanted.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    reserver : MemoryReserver
        Reserves memory for it.
    starter : RunStarter
        Starts its runs.

    Attributes
    ----------
    on_ready : callable or None
        Called once the successor has spoken.
    """

    def __init__(self, *, context, active, reserver, starter):
        """Start without a successor."""
        self.on_ready = None
        self._context = context
        self._active = active
        self._reserver = reserver
        self._starter = starter
        self._task = None
        self._probe = None
        self._present = None
        self._sent = None
        self._began_s = 0.0
        self._overlap = None
        self._runs = RunPair()

    @property
    def is_begun(self):
        """Whether a successor is being prepared, or has spoken."""
        return self._task is not None

    @property
    def is_ready(self):
        """Whether the successor has spoken."""
        return self.is_begun and self._runs.successor is RunState.SPOKE

    def begin(self, record, *, is_cut=False):
        """Prepare a successor for a run at an engine, which goes on.

        Parameters
        ----------
        is_cut : bool
            Whether the link of the run is cut.  Its engine is not reached
            then, though it may answer on another way.
        """
        self._context.metrics.add(
            "moves_total", outcome=MoveOutcome.BEGUN.value, why=""
        )
        self._present = record
        self._sent = None
        self._began_s = self._context.now_s
        self._runs = RunPair()
        self._probe = asyncio.ensure_future(self._answers(is_cut))
        self._task = asyncio.ensure_future(self._prepare())

    async def _answers(self, is_cut):
        """Return whether the engine of the present run is reached."""
        if is_cut:
            return False
        return await self._context.engine_watch.answers(self._present)

    def keep(self):
        """Cancel the successor, since the present run has spoken."""
        if self.is_begun:
            self._cancel()
            self._record_end(MoveOutcome.KEPT)

    async def take(self):
        """Return the successor of a run that is over; None if none can be had.

        It has spoken, or the present run has ended by itself.
        """
        if not self.is_begun:
            return None
        self._runs = self._runs.after(present=RunState.ENDED)
        if self._overlap is not None and not self._overlap.expired():
            self._overlap.reschedule(self._context.now_s)
        run = await self._task
        self._task = None
        if run is not None:
            self._record_end(MoveOutcome.WON)
        return run

    @property
    def is_present_known_reached(self):
        """Whether the engine of the present run was heard of since ``begin``.

        It is False also if its health check is not answered yet.
        """
        return self._has_contact() or (
            self._probe.done()
            and not self._probe.cancelled()
            and self._probe.result()
        )

    def close(self):
        """Cancel a successor that is no longer wanted."""
        if self.is_begun:
            self._cancel()
            self._record_end(MoveOutcome.GIVEN_UP, why=MoveFailure.STOPPED)

    def _cancel(self):
        """End the preparation, or the run that it has come to."""
        task, self._task = self._task, None
        self._probe.cancel()
        if self._sent is not None:
            # The task ends later, and another run may be considered before.
            self._sent.count()
        if not task.done():
            task.cancel()
        elif not task.cancelled() and (run := task.result()) is not None:
            self._drop(run)
        self._active.arrivals.give_back()

    async def _prepare(self):
        """Return the successor, or None if it can't be had."""
        try:
            run = await self._start()
            return None if run is None else await self._wait_for_event(run)
        except Exception as exc:
            # Whatever it is, the present run goes on.
            _log.error(
                "move-failed",
                request=self._active.call.request_id,
                error=repr(exc),
            )
            return self._give_up(MoveFailure.REFUSED, text=repr(exc))

    async def _wait_for_event(self, run):
        """Return a run that was sent once it may take over, or None."""
        try:
            return run if await self._may_take_over(run) else None
        except ExchangeError as exc:
            record_lost_run(
                self._context, self._active, self._reserver, run, exc
            )
            return self._give_up(MoveFailure.LOST, run, text=str(exc))
        except BaseException:
            self._drop(run)
            raise

    async def _start(self):
        """Return a run that was sent, or None."""
        reservation = await self._reserver.reserve_once(
            excluding=self._present
        )
        if reservation is None:
            return self._give_up(MoveFailure.NO_MEMORY)
        run = await self._starter.start(
            reservation, is_move=True, may_prefill_locally=self._has_time
        )
        if run is None:
            failure = self._starter.failure
            why = _FAILURES.get(failure.reason, MoveFailure.REFUSED)
            return self._give_up(why, text=failure.text)
        self._sent = run
        self._runs = self._runs.after(successor=RunState.SILENT)
        return run

    async def _may_take_over(self, run):
        """Return whether a successor that was sent has an event in time."""
        while self._runs.present is not RunState.ENDED:
            try:
                async with asyncio.timeout(MAX_OVERLAP_S) as self._overlap:
                    is_accepted = await self._reads_event(run)
            except TimeoutError:
                if not await self._may_overlap_longer():
                    self._drop(run)
                    self._give_up(MoveFailure.UNANSWERED)
                    return False
                continue
            finally:
                self._overlap = None
            if not is_accepted:
                self._give_up(MoveFailure.REFUSED, run)
                return False
            self._runs = self._runs.after(successor=RunState.SPOKE)
            if self.on_ready is not None:
                self.on_ready()
            return True
        return True

    async def _reads_event(self, run):
        """Read to the first event; returns False if there will be none.

        A run that ends without an event may have been cut short.
        """
        head = await run.head()
        metadata = self._context.read_response(
            run.record, head, sent_s=run.sent_s
        )
        if metadata.not_run:
            self._context.eject(run.record, self._context.health)
            return False
        run.count()
        if head.status != 200 or not metadata.is_signed:
            self._context.health.record_answer(run.record.upstream, error=True)
            return False
        return has_events(head) and await run.read_ahead()

    async def _may_overlap_longer(self):
        """Return whether two runs may go on that have not spoken in time."""
        self._runs = self._runs.after(
            is_overlap_over=True,
            is_present_reached=await self._is_present_reached(),
        )
        return self._runs.decide() is Decision.WAIT

    async def _has_time(self):
        """Return whether a local prefill fits into the time of two runs."""
        is_over = self._runs.present is RunState.ENDED
        return is_over or not await self._is_present_reached()

    async def _is_present_reached(self):
        return self._has_contact() or await asyncio.shield(self._probe)

    def _has_contact(self):
        return self._context.link_watch.was_reached(
            self._present.address, since_s=self._began_s
        )

    def _drop(self, run):
        """Cancel a run that was sent."""
        run.count()
        self._context.crash_watch.record_unfinished(self._active, run.record)
        run.end()

    def _give_up(self, why, run=None, *, text=""):
        """Record that no successor can be had; returns None."""
        self._runs = self._runs.after(successor=RunState.ENDED)
        if run is not None:
            run.end()
        self._active.arrivals.give_back()
        self._record_end(MoveOutcome.GIVEN_UP, why=why, text=text)
        if self._runs.present is not RunState.ENDED:
            self._task = None

    def _record_end(self, outcome, *, why=None, text=""):
        """Count and log how a move has ended."""
        cause = "" if why is None else why.value
        self._context.metrics.add(
            "moves_total", outcome=outcome.value, why=cause
        )
        self._active.add_step(
            StepKind.MOVE, self._present.upstream, cause or outcome.value
        )
        _log.info(
            "stream-moved",
            request=self._active.call.request_id,
            present=self._present.upstream,
            outcome=outcome.value,
            why=cause,
            error=text,
            took=round(self._context.now_s - self._began_s, 4),
        )
