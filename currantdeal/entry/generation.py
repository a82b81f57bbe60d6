"""Runs a generation: reserve memory, prefill the prompt, stream the output.

Memory at a decode engine is reserved before the prompt is prefilled, because
a KV cache that no decode engine can fetch expires soon.
"""

import asyncio

from currantdeal.entry.errors import (
    BreakReason,
    SupersededError,
    error_of,
)
from currantdeal.entry.events import position_of
from currantdeal.entry.handover import Handover
from currantdeal.entry.memory import MemoryReserver
from currantdeal.entry.progress import RequestState
from currantdeal.entry.relay import EventRelay
from currantdeal.entry.run_end import (
    check_end,
    record_completeness,
    record_end,
    record_lost_run,
    record_memory_use,
)
from currantdeal.entry.run_start import RunStarter
from currantdeal.entry.run_wait import RunWait, gap_target_s
from currantdeal.entry.speeds import EventTimer, record_decode
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import (
    ConnectError,
    ExchangeError,
    ResponseTimeoutError,
)
from currantdeal.policy.answers.reset_outcome import ExchangePhase
from currantdeal.policy.placement.distance import MEMORY_WAIT_TARGETS
from currantdeal.policy.retries.retry_detection import (
    RETRY_MAX_FILL,
    RETRY_WAIT_TARGETS,
)
from currantdeal.routing import RetrySafety

RESUME_WAIT_PAUSES = 8.0
"""Longest wait for memory to resume a stream, as a multiple of its gap
target.

Callers time out a little later; the rest is for the prefill.
"""

MAX_ERROR_BYTES = 1_048_576
"""Largest error of an engine that is forwarded."""

MAX_ATTEMPTS = 3
"""Maximum number of attempts for one generation."""

_FINAL_REASONS = (BreakReason.NO_MEMORY, BreakReason.RETRY_BUDGET)
"""Reasons after which no other attempt can succeed."""


async def serve_generation(context, active):
    """Run a generation and forward its events to the caller.

    Raises
    ------
    RefusedError
        If it was not run.
    FailedError
        If it may have run and no event was forwarded.
    IncompleteAnswerError
        If the answer ended early, after events were forwarded.
    """
    active.is_retry = context.retry_detector.is_retry(
        active.route.name,
        active.call.caller_timeout_s,
        limit_s=active.route.timeout_s,
    )
    generation = _Generation(context=context, active=active)
    try:
        for attempt in range(MAX_ATTEMPTS):
            if attempt and not await generation.may_retry():
                break
            if await generation.attempt():
                return
    finally:
        generation.release_unused()
    generation.raise_failure()


class _Generation:
    """State of one generation over its attempts."""

    def __init__(self, *, context, active):
        self._context = context
        self._active = active
        self._relay = EventRelay(context=context, active=active)
        self._reserver = MemoryReserver(context=context, active=active)
        self._starter = RunStarter(
            context=context,
            active=active,
            reserver=self._reserver,
            relay=self._relay,
        )
        self._handover = Handover(
            context=context,
            active=active,
            reserver=self._reserver,
            starter=self._starter,
        )
        self._wait = RunWait(
            context=context,
            active=active,
            handover=self._handover,
            may_move=lambda: self._may_resume,
        )
        self._run = None

    @property
    def _now_s(self):
        return self._context.now_s

    @property
    def _is_resumable(self):
        """Whether another run may go on where the answer has come to."""
        safety = self._active.route.retry_safety
        return safety is RetrySafety.RESUMABLE and self._relay.is_resumable

    @property
    def _may_resume(self):
        """Whether another engine may take over the answer.

        A run at an engine that has ended does not count towards the limit of
        the route; one that has not answered yet does.
        """
        counted = self._active.runs - self._wait.lost_engines
        if self._run is not None and not self._run.is_counted:
            counted += 1
        return (
            self._is_resumable and counted < self._active.route.max_upstreams
        )

    @property
    def _events_of_run(self):
        """Events of the present run that were forwarded."""
        return self._relay.events - self._run.events_before

    async def attempt(self):
        """Make one attempt; returns whether the answer is complete.

        A run that takes over from a silent one belongs to the same attempt.
        """
        run = await self._start_run()
        while run is not None:
            if await self._forward_run(run):
                return True
            run = await self._handover.take()
        return False

    async def _forward_run(self, run):
        """Forward a run that was sent; returns whether the answer is whole."""
        self._active.enter(RequestState.RUNNING)
        run.events_before = self._relay.events
        self._run = run
        try:
            return await self._stream(run)
        except SupersededError as exc:
            return self._handle_superseded(run, exc)
        except ConnectError as exc:
            return self._starter.record_unreached(run, exc)
        except ExchangeError as exc:
            return self._handle_lost_run(run, exc)
        except asyncio.CancelledError:
            run.count()
            self._record_unfinished(run)
            raise
        finally:
            self._run = None
            self._active.enter(RequestState.UPSTREAM)
            run.end()

    async def _start_run(self):
        reservation = await self._reserve()
        if reservation is None:
            self._starter.fail(BreakReason.NO_MEMORY)
            return None
        waited_s = self._now_s - self._active.request.arrived_s
        self._context.metrics.observe("memory_wait_seconds", waited_s)
        return await self._starter.start(reservation)

    async def may_retry(self):
        """Return whether another attempt is allowed and can still succeed."""
        active = self._active
        if self._starter.failure.reason in _FINAL_REASONS:
            return False
        if active.runs and not self._may_resume:
            return False
        time_left_s = active.time_left_s(self._now_s)
        if active.has_expired or time_left_s < active.route.target_s / 4:
            self._starter.failure = self._starter.failure.followed_by(
                BreakReason.TIME_OVER
            )
            return False
        return self._starter.may_send() and await self._starter.may_run()

    def release_unused(self):
        """Release what no run needs any longer."""
        self._handover.close()
        self._starter.release_unused()

    def raise_failure(self):
        """Raise the error for the outcome of the generation."""
        failure = self._starter.failure
        if failure.reason is BreakReason.RUN_LOST and self._is_resumable:
            failure = failure.followed_by(BreakReason.ATTEMPTS)
        raise error_of(
            failure,
            has_begun=self._relay.started,
            may_have_run=self._active.runs > 0,
            verdict=self._context.crash_watch.find_verdict(self._active),
            retry_after_s=self._reserver.return_after_s,
        )

    async def _reserve(self):
        active = self._active
        if self._relay.started:
            wait_s = RESUME_WAIT_PAUSES * gap_target_s(active)
            return await self._reserver.reserve(
                self._now_s + wait_s, in_turn=False
            )
        arrived_s = active.request.arrived_s
        if active.is_retry:
            wait_s = RETRY_WAIT_TARGETS * active.route.target_s
            until_s = min(arrived_s + wait_s, active.deadline_s)
            return await self._reserver.reserve(
                until_s, max_fill=RETRY_MAX_FILL
            )
        wait_s = MEMORY_WAIT_TARGETS * active.route.target_s
        until_s = min(arrived_s + wait_s, active.deadline_s)
        return await self._reserver.reserve(until_s)

    async def _stream(self, run):
        context, active = self._context, self._active
        record = run.record
        head = await self._receive_head(run)
        metadata = context.read_response(record, head, sent_s=run.sent_s)
        if metadata.not_run:
            await run.connection.skip_rest()
            # It granted memory and then refused the request, for example
            # because it changes its stage.  A retry there would waste
            # another prefill.
            context.eject(record, context.health)
            active.add_step(StepKind.REFUSED, record.upstream, head.status)
            return self._starter.fail(
                BreakReason.REFUSED, f"refused with {head.status}"
            )
        run.count()
        if not metadata.is_signed:
            text = BreakReason.NOT_SIGNED.description
            active.add_step(StepKind.ERROR, record.upstream, text)
            run.connection.close()
            return self._starter.fail(BreakReason.NOT_SIGNED)
        if head.status != 200:
            return await self._forward_error(run, head)
        active.add_step(StepKind.STREAM, record.upstream)
        context.record_reached(record)
        return await self._stream_events(run, head)

    async def _stream_events(self, run, head):
        context, active = self._context, self._active
        began_s = self._now_s
        timer = EventTimer()
        is_ended = await self._forward(head, run, timer)
        events, position = self._events_of_run, self._relay.position
        record_end(context, active, run.record, head, events, position)
        if not self._relay.was_held_up:
            record_decode(context, run.record, events, timer.waited_s)
        took_s = self._now_s - began_s
        record_memory_use(context, active, self._relay.events, took_s)
        if not active.call.resume_after and active.runs == 1:
            context.run_lengths.record(active.route.name, took_s)
        if is_ended:
            self._handover.keep()
        else:
            self._starter.fail(BreakReason.UNKNOWN_END)
        return is_ended

    async def _receive_head(self, run):
        try:
            return await self._wait.receive(run.head, run)
        except asyncio.CancelledError:
            if self._is_ready_late(run.connection):
                return await run.head()
            if self._active.time_left_s(self._now_s) <= 0.0:
                self._context.eject(run.record, self._context.health)
            raise

    async def _forward(self, head, run, timer):
        """Forward a run, see ``EventRelay.forward_events``.

        An answer of which nothing is missing is forwarded also if the
        deadline has passed.
        """
        try:
            return await self._relay.forward_events(
                head,
                lambda: self._next_chunk(run, timer),
                source=run.connection,
            )
        except asyncio.CancelledError:
            if not self._is_ready_late(run.connection):
                raise
            return await self._relay.forward_rest(
                head, run.chunk, source=run.connection
            )

    def _is_ready_late(self, connection):
        """Return whether a whole answer is here when the deadline passes."""
        return self._active.has_expired and connection.has_whole_answer()

    async def _next_chunk(self, run, timer):
        run.connection.record_buffered(self._relay.buffered_bytes)
        began_s = self._now_s
        chunk = await self._wait.receive(run.chunk, run)
        if self._handover.is_begun and self._relay.completes_event(chunk):
            self._handover.keep()
        timer.add(self._now_s - began_s)
        return chunk

    async def _forward_error(self, run, head):
        body = await run.connection.rest(limit=MAX_ERROR_BYTES)
        completeness = check_end(head, position_of(head, body))
        record = run.record
        self._context.health.record_answer(record.upstream, error=True)
        record_completeness(
            self._context,
            self._active,
            record,
            completeness,
            phase=ExchangePhase.WITHIN_ANSWER,
            succeeded=False,
        )
        self._active.add_step(StepKind.ERROR, record.upstream, head.status)
        self._starter.fail(
            BreakReason.ERROR, f"resumed run failed with {head.status}"
        )
        return self._relay.forward_error(head, body, completeness)

    def _record_unfinished(self, run):
        self._context.crash_watch.record_unfinished(
            self._active, run.record, events=self._events_of_run
        )

    def _handle_superseded(self, run, exc):
        """End a run in whose place another one has sent the next event."""
        run.count()
        self._relay.drop_partial_event()
        self._record_unfinished(run)
        self._reserver.exclude(run.record)
        silence = ResponseTimeoutError(
            str(exc), phase=ExchangePhase.BETWEEN_EVENTS
        )
        if self._handover.is_present_known_reached:
            self._active.add_failure_step(run.record.upstream, silence)
        else:
            self._reserver.record_unreachable(run.record, silence)
        return self._starter.fail(BreakReason.RUN_LOST, str(exc))

    def _handle_lost_run(self, run, exc):
        phase = self._relay.phase_of(exc)
        self._relay.drop_partial_event()
        record_lost_run(
            self._context,
            self._active,
            self._reserver,
            run,
            exc,
            phase=phase,
            events=self._events_of_run,
        )
        return self._starter.fail(BreakReason.RUN_LOST, str(exc))
