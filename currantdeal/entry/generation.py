"""Runs a generation: reserve memory, prefill the prompt, stream the output.

Memory at a decode engine is reserved before the prompt is prefilled, because
a KV cache that no decode engine can fetch expires soon.
"""

import asyncio

import structlog

from currantdeal.core import Ran
from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.distance import Pool
from currantdeal.entry.errors import BreakReason, Failure, error_of
from currantdeal.entry.events import position_of
from currantdeal.entry.memory import MemoryReserver
from currantdeal.entry.prefill import prefill_prompt, release_kv_cache
from currantdeal.entry.progress import RequestState
from currantdeal.entry.relay import EventRelay
from currantdeal.entry.run_end import (
    check_end,
    record_completeness,
    record_end,
    record_memory_use,
)
from currantdeal.entry.run_wait import RunWait, gap_target_s
from currantdeal.entry.speeds import (
    EventTimer,
    describe,
    record_decode,
    speed_of,
)
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import (
    ConnectError,
    ExchangeError,
    InvalidResponseError,
)
from currantdeal.policy.answers.reset_outcome import (
    ExchangePhase,
    reset_outcome,
)
from currantdeal.policy.placement.distance import MEMORY_WAIT_TARGETS
from currantdeal.policy.retries.retry_detection import (
    RETRY_MAX_FILL,
    RETRY_WAIT_TARGETS,
)
from currantdeal.policy.speed.paces import Work
from currantdeal.routing import RetrySafety

RESUME_WAIT_PAUSES = 8.0
"""Longest wait for memory to resume a stream, as a multiple of its gap
target.

Callers time out a little later; the rest is for the prefill.
"""

HANDLE_REUSE_SHARE = 0.7
"""Share of the lifetime of a KV cache in which another engine may be sent it.

The rest is for the engine to fetch it.
"""

MAX_ERROR_BYTES = 1_048_576
"""Largest error of an engine that is forwarded."""

MAX_ATTEMPTS = 3
"""Maximum number of attempts for one generation."""

_FINAL_REASONS = (BreakReason.NO_MEMORY, BreakReason.RETRY_BUDGET)
"""Reasons after which no other attempt can succeed."""

_log = structlog.get_logger(__name__)


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
        self._fail(BreakReason.NO_ENGINE)
        self._reserver = MemoryReserver(context=context, active=active)
        self._wait = RunWait(
            context=context,
            active=active,
            reserver=self._reserver,
            may_move=lambda: self._may_resume,
        )
        self._unused_prefill = None
        self._events_before_run = 0
        self._is_run_counted = False

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
        the route.
        """
        counted = self._active.runs - self._wait.lost_engines
        return (
            self._is_resumable and counted < self._active.route.max_upstreams
        )

    @property
    def _events_of_run(self):
        """Events of the present run that were forwarded."""
        return self._relay.events - self._events_before_run

    async def attempt(self):
        """Make one attempt; returns whether the answer is complete."""
        reservation = self._wait.take_reservation() or await self._reserve()
        if reservation is None:
            return self._fail(BreakReason.NO_MEMORY)
        used = False
        estimate = speed_of(self._context, reservation.record, Work.DECODE)
        self._active.add_step(
            StepKind.MEMORY, reservation.record.upstream, describe(estimate)
        )
        self._context.departures.record_sent(
            self._active,
            Pool.DECODE,
            reservation.record,
            now_s=self._now_s,
        )
        waited_s = self._now_s - self._active.request.arrived_s
        self._context.metrics.observe("memory_wait_seconds", waited_s)
        self._context.load.add(reservation.record.upstream, reservation.tokens)
        self._context.memory_turns.hold(
            self._active.organisation_name, reservation.tokens
        )
        try:
            if not self._may_send():
                return False
            self._active.enter(RequestState.PREFILL)
            prefill = await self._obtain_prefill(reservation.record)
            if not await self._may_decode(reservation.record):
                self._unused_prefill = prefill
                return False
            used = True
            return await self._decode(reservation, prefill)
        finally:
            self._context.load.remove(
                reservation.record.upstream, reservation.tokens
            )
            self._context.memory_turns.free(
                self._active.organisation_name, reservation.tokens
            )
            if not used:
                self._reserver.release(reservation)

    def _fail(self, reason, text=""):
        """Keep why the present attempt failed; returns False."""
        text = text or reason.description
        self._failure = Failure(reason=reason, text=text)
        return False

    def _may_send(self):
        if self._context.may_send(self._active):
            return True
        return self._fail(BreakReason.NOT_ALLOWED)

    async def _may_decode(self, record):
        """Return whether the decode request may be sent to an engine."""
        if not await self._may_run():
            return False
        if not self._context.view.accepts_work(record.upstream):
            return self._fail(BreakReason.ENGINE_LEFT)
        return self._may_send()

    async def _may_run(self):
        """Return whether the retry budget allows the next run."""
        if await self._active.arrivals.may_send(ArrivalKind.RUN):
            return True
        self._active.add_step(StepKind.NO_BUDGET)
        self._failure = self._failure.followed_by(BreakReason.RETRY_BUDGET)
        return False

    def _are_held(self, reservation, prefill):
        """Return whether the processes that granted them still hold them.

        Another process at the same address may have given a reservation or
        a KV cache of another caller the same identifier.
        """
        view = self._context.view
        lost = [
            held.record.upstream
            for held in (reservation, prefill)
            if held is not None and not view.is_current(held.record)
        ]
        if lost:
            text = f"{lost[0]!r} was restarted or left meanwhile"
            self._fail(BreakReason.ENGINE_LEFT, text)
            self._active.add_step(StepKind.ENGINE_LOST, lost[0])
        return not lost

    async def _obtain_prefill(self, record):
        """Return a ``Prefill`` for an engine; None for local prefill.

        The ``Prefill`` of an earlier attempt whose engine left is reused if
        it does not expire too soon.
        """
        prefill, self._unused_prefill = self._unused_prefill, None
        if prefill is not None:
            age_s = self._now_s - prefill.completed_s
            handle_ttl_s = self._active.service.engine.kv_handle_ttl_s
            is_current = self._context.view.is_current(prefill.record)
            if is_current and age_s < HANDLE_REUSE_SHARE * handle_ttl_s:
                return prefill
            release_kv_cache(self._context, prefill)
        return await prefill_prompt(
            self._context,
            self._active,
            record,
            in_time=not (self._relay.started or self._active.is_retry),
            resumes=self._relay.started,
        )

    async def may_retry(self):
        """Return whether another attempt is allowed and can still succeed."""
        active = self._active
        if self._failure.reason in _FINAL_REASONS:
            return False
        if active.runs and not self._may_resume:
            return False
        time_left_s = active.time_left_s(self._now_s)
        if active.has_expired or time_left_s < active.route.target_s / 4:
            self._failure = self._failure.followed_by(BreakReason.TIME_OVER)
            return False
        return self._may_send() and await self._may_run()

    def release_unused(self):
        """Release a reservation and a KV cache that are no longer needed."""
        reservation = self._wait.take_reservation()
        if reservation is not None:
            self._reserver.release(reservation)
        if self._unused_prefill is not None:
            release_kv_cache(self._context, self._unused_prefill)
            self._unused_prefill = None

    def raise_failure(self):
        """Raise the error for the outcome of the generation."""
        failure = self._failure
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

    async def _decode(self, reservation, prefill):
        context, active = self._context, self._active
        record = reservation.record
        self._events_before_run = self._relay.events
        self._is_run_counted = False
        call = context.encode(
            active,
            record,
            ArrivalKind.RUN,
            kv_source=prefill.source if prefill else "",
            reservation=reservation.number,
            resume_after=self._relay.last_id or active.call.resume_after,
        )
        try:
            connection = await context.pool.acquire(record.address, call)
        except ConnectError as exc:
            return self._handle_unreached(record, exc, prefill)
        if not self._are_held(reservation, prefill):
            context.pool.release(connection)
            self._unused_prefill = prefill
            self._reserver.release(reservation)
            return False
        context.health.request_started(record.upstream)
        sent_s = context.limits.now_s
        active.enter(RequestState.RUNNING)
        try:
            connection.send(call)
            return await self._stream(connection, record, sent_s)
        except ConnectError as exc:
            return self._handle_unreached(record, exc, prefill)
        except ExchangeError as exc:
            self._handle_lost_run(
                record, exc, is_caller_slow=connection.may_be_cut
            )
            return False
        except asyncio.CancelledError:
            self._count_run()
            self._record_unfinished(record)
            raise
        finally:
            active.enter(RequestState.UPSTREAM)
            context.health.request_ended(record.upstream)
            context.pool.release(connection)

    def _handle_unreached(self, record, exc, prefill):
        """Keep the prefill for another engine; nothing was sent to this."""
        self._unused_prefill = prefill
        self._reserver.record_unreachable(record, exc)
        return self._fail(BreakReason.UNREACHED, str(exc))

    async def _stream(self, connection, record, sent_s):
        context, active = self._context, self._active
        head = await self._receive_head(connection, record)
        metadata = context.read_response(record, head, sent_s=sent_s)
        if metadata.not_run:
            await connection.skip_rest()
            # It granted memory and then refused the request, for example
            # because it changes its stage.  A retry there would waste
            # another prefill.
            context.eject(record, context.health)
            active.add_step(StepKind.REFUSED, record.upstream, head.status)
            status = head.status
            return self._fail(BreakReason.REFUSED, f"refused with {status}")
        self._count_run()
        if not metadata.is_signed:
            text = BreakReason.NOT_SIGNED.description
            active.add_step(StepKind.ERROR, record.upstream, text)
            connection.close()
            return self._fail(BreakReason.NOT_SIGNED)
        if head.status != 200:
            return await self._forward_error(connection, head, record)
        active.add_step(StepKind.STREAM, record.upstream)
        context.record_reached(record)
        began_s = self._now_s
        timer = EventTimer()
        is_ended = await self._forward(head, connection, record, timer)
        events, position = self._events_of_run, self._relay.position
        record_end(context, active, record, head, events, position)
        if not self._relay.was_held_up:
            record_decode(context, record, events, timer.waited_s)
        took_s = self._now_s - began_s
        record_memory_use(context, active, self._relay.events, took_s)
        if not active.call.resume_after and active.runs == 1:
            context.run_lengths.record(active.route.name, took_s)
        if not is_ended:
            self._fail(BreakReason.UNKNOWN_END)
        return is_ended

    async def _receive_head(self, connection, record):
        try:
            return await self._wait.receive(
                connection.head, connection, record
            )
        except asyncio.CancelledError:
            if self._is_ready_late(connection):
                return await connection.head()
            if self._active.time_left_s(self._now_s) <= 0.0:
                self._context.eject(record, self._context.health)
            raise

    async def _forward(self, head, connection, record, timer):
        """Forward a run, see ``EventRelay.forward_events``.

        An answer of which nothing is missing is forwarded also if the
        deadline has passed.
        """
        try:
            return await self._relay.forward_events(
                head,
                lambda: self._next_chunk(connection, record, timer),
                source=connection,
            )
        except asyncio.CancelledError:
            if not self._is_ready_late(connection):
                raise
            return await self._relay.forward_rest(
                head, connection.chunk, source=connection
            )

    def _is_ready_late(self, connection):
        """Return whether a whole answer is here when the deadline passes."""
        return self._active.has_expired and connection.has_whole_answer()

    def _count_run(self):
        """Count the present run, which may have begun, once."""
        if not self._is_run_counted:
            self._is_run_counted = True
            self._active.runs += 1

    async def _next_chunk(self, connection, record, timer):
        connection.record_buffered(self._relay.buffered_bytes)
        began_s = self._now_s
        chunk = await self._wait.receive(connection.chunk, connection, record)
        timer.add(self._now_s - began_s)
        return chunk

    async def _forward_error(self, connection, head, record):
        body = await connection.rest(limit=MAX_ERROR_BYTES)
        completeness = check_end(head, position_of(head, body))
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
        text = f"resumed run failed with {head.status}"
        self._fail(BreakReason.ERROR, text)
        return self._relay.forward_error(head, body, completeness)

    def _record_unfinished(self, record):
        self._context.crash_watch.record_unfinished(
            self._active, record, events=self._events_of_run
        )

    def _handle_lost_run(self, record, exc, *, is_caller_slow):
        active = self._active
        phase = self._relay.phase_of(exc)
        if reset_outcome(active.kind, phase).ran is not Ran.NO:
            self._count_run()
        self._relay.drop_partial_event()
        self._fail(BreakReason.RUN_LOST, str(exc))
        if isinstance(exc, InvalidResponseError):
            self._context.crash_watch.check_lost_run(
                active, record, phase, events=self._events_of_run
            )
        else:
            self._record_unfinished(record)
        self._reserver.exclude(record)
        if is_caller_slow and not exc.has_ended:
            active.add_failure_step(record.upstream, exc)
        else:
            self._reserver.record_unreachable(record, exc)
        _log.info(
            "stream-broken",
            request=active.call.request_id,
            upstream=record.upstream,
            after=self._relay.last_id,
            moment=phase.value,
            caller_slow=is_caller_slow,
            why=str(exc),
        )
