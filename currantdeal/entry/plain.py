"""Handles calls that are not generations.

An answer is read completely before it is forwarded.  If it is cut short or
slow and the call may be repeated, another upstream can still answer.
"""

import asyncio
import math

import structlog

from currantdeal.core import Ran
from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.attempts import RunningAttempts
from currantdeal.entry.distance import Pool
from currantdeal.entry.errors import (
    FailedError,
    QuarantinedError,
    RefusedError,
)
from currantdeal.entry.events import position_of
from currantdeal.entry.plain_choice import choose_upstream, may_repeat
from currantdeal.entry.progress import RequestState
from currantdeal.entry.run_end import check_end, record_completeness
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import (
    ConnectError,
    ExchangeError,
    InvalidResponseError,
    MalformedResponseError,
    ResponseTimeoutError,
    SendExpiredError,
)
from currantdeal.node.exchange import exchange
from currantdeal.policy.answers.answer_end import framing_of_buffered
from currantdeal.policy.answers.reset_outcome import (
    ExchangePhase,
    reset_outcome,
)
from currantdeal.policy.retries.retry_after import RefusalReason
from currantdeal.routing import RetrySafety

FIRST_ATTEMPT_SHARE = 0.5
"""Share of the time left after which the next attempt is made beside one.

Half leaves the second upstream as much time as the first one had; an attempt
that takes so long has missed its target anyway.
"""

MAX_ATTEMPTS = 4
"""Maximum number of upstreams tried for one request, including refusals."""

MAX_ANSWER_BYTES = 8_388_608
"""Largest answer that is buffered."""

_log = structlog.get_logger(__name__)


async def serve_plain(context, active):
    """Send a call to an upstream and forward its answer to the caller.

    Raises
    ------
    RefusedError
        If no upstream accepted the call.
    FailedError
        If an upstream may have run it and there is no answer.
    """
    call = _PlainCall(context=context, active=active)
    try:
        _end(context, active, await call.serve())
    except asyncio.CancelledError:
        answer = await call.cancel()
        if answer is None or not active.has_expired:
            raise
        _forward(context, active, answer)
    finally:
        await call.cancel()


class _PlainCall:
    """The attempts of one call.

    An attempt ends only by itself, with the call, or once there is an answer:
    a slow one goes on beside the next.
    """

    def __init__(self, *, context, active):
        self._context = context
        self._active = active
        self._attempted = set()
        self._running = RunningAttempts()
        self._timely = {}
        self._last_error = None

    async def serve(self):
        """Return the complete answer to forward; None if there is none."""
        record = await self._next()
        while record is not None or self._running.count:
            if record is not None:
                self._start(record)
            result = await self._running.first(timeout_s=self._slow_after_s)
            if result is None:
                record = await self._next_beside()
                if record is not None:
                    continue
                result = await self._running.first()
            self._record(result)
            if result.final:
                return result
            record = await self._next_after(result)
            is_last = record is None and not self._running.has_result
            if is_last and self._last_error is not None:
                break
        return self._last_error

    async def cancel(self):
        """End all attempts; returns an answer that is complete, or None."""
        final = None
        for result in await self._running.cancel():
            self._record(result)
            final = result if result.final else final
        return final or self._last_error

    @property
    def _started(self):
        """Number of attempts that may have run."""
        return self._active.runs + self._running.count

    @property
    def _slow_after_s(self):
        """Time after which the last attempt is slow.

        It is infinite if none may be made beside it.
        """
        active = self._active
        if active.route.retry_safety is not RetrySafety.FREELY:
            return math.inf
        if self._started >= active.route.max_upstreams:
            return math.inf
        return FIRST_ATTEMPT_SHARE * active.time_left_s(self._context.now_s)

    def _start(self, record):
        self._attempted.add(record.upstream)
        self._timely[record.upstream] = record
        self._active.enter(RequestState.RUNNING)
        self._running.start(self._attempt(record, self._slow_after_s))

    async def _attempt(self, record, connect_s):
        try:
            return await _attempt(
                self._context, self._active, record, connect_s
            )
        except SendExpiredError:
            if self._running.count == 1:
                raise
            # The other attempt was sent in its place.
            return _AttemptResult(retryable=False)
        finally:
            self._timely.pop(record.upstream, None)

    def _record(self, result):
        """Record a result that was taken."""
        if not self._running.count:
            self._active.enter(RequestState.UPSTREAM)
        if result.head is None:
            return
        if self._last_error is not None:
            self._context.repeat_outcomes.record(
                self._active.service.name,
                failed=not result.final,
                now_s=self._context.now_s,
            )
        if not result.final:
            self._last_error = result

    async def _next_beside(self):
        """Return the upstream of an attempt beside slow ones, or None."""
        record = await self._running.unless_ended(self._next())
        if record is not None:
            for slow in self._timely.values():
                _record_slow(self._context, self._active, slow)
            self._timely.clear()
        return record

    async def _next_after(self, result):
        """Return the upstream to try after a failed attempt, or None."""
        if self._active.has_expired or not result.retryable:
            return None
        if self._started >= max(1, self._active.route.max_upstreams):
            return None
        return await self._running.unless_ended(self._next())

    async def _next(self):
        """Return the upstream of an attempt that is charged, or None.

        Raises
        ------
        RefusedError
            If the request has not run, and all upstreams are at their limits.
        """
        context, active = self._context, self._active
        while len(self._attempted) < MAX_ATTEMPTS:
            try:
                record = await choose_upstream(
                    context, active, self._attempted
                )
            except RefusedError:
                if not self._running.count:
                    raise
                return None
            if record is None or not context.may_send(active):
                return None
            if not await may_repeat(context, active, self._last_error):
                active.add_step(StepKind.NO_BUDGET)
                return None
            if context.view.accepts_work(record.upstream):
                return record
        return None


class _AttemptResult:
    """The outcome of one attempt.

    ``final`` is true if the answer is forwarded to the caller, ``retryable``
    if another upstream may be tried; ``head`` is None without a complete
    answer, ``completeness`` the ``Completeness`` of it.
    """

    def __init__(
        self, *, retryable, head=None, body=b"", completeness=None, final=False
    ):
        self.retryable = retryable
        self.head = head
        self.body = body
        self.completeness = completeness
        self.final = final


async def _attempt(context, active, record, connect_s):
    now_s = context.now_s
    sent_s = context.limits.now_s
    outgoing = context.encode(active, record, ArrivalKind.CALL)
    context.departures.record_sent(active, Pool.PLAIN, record, now_s=now_s)
    context.health.request_started(record.upstream)
    try:
        head, body = await exchange(
            context.pool,
            record.address,
            outgoing,
            timeout_s=active.time_left_s(now_s),
            connect_timeout_s=connect_s,
            limit=MAX_ANSWER_BYTES,
            has_expired=lambda: active.has_expired,
        )
        completeness = check_end(head, position_of(head, body))
    except ExchangeError as exc:
        return _record_failure(context, active, record, exc)
    except asyncio.CancelledError:
        active.runs += 1
        _handle_deadline(context, active, record)
        context.crash_watch.record_unfinished(active, record)
        raise
    finally:
        context.health.request_ended(record.upstream)
    context.record_reached(record)
    metadata = context.read_response(record, head, sent_s=sent_s)
    return _handle_answer(
        context, active, record, (head, body, metadata, completeness)
    )


def _handle_deadline(context, active, record):
    """Eject an upstream that has not answered until the deadline."""
    if active.time_left_s(context.now_s) <= 0.0:
        context.eject(record, context.health)


def _record_slow(context, active, record):
    """Eject an upstream whose answer is awaited beside the next attempt."""
    exc = ResponseTimeoutError(
        f"no answer from {record.address} yet",
        phase=ExchangePhase.AWAITING_ANSWER,
    )
    context.eject(record, context.health, exc)
    context.pool.close_idle(record.address)
    active.add_failure_step(record.upstream, exc)


def _record_failure(context, active, record, exc):
    outcome = reset_outcome(active.kind, exc.phase)
    if outcome.ran is not Ran.NO:
        active.runs += 1
    if isinstance(
        exc, (ConnectError, MalformedResponseError, ResponseTimeoutError)
    ):
        context.eject(record, context.health, exc)
        context.pool.close_idle(record.address)
    else:
        context.health.record_answer(record.upstream, error=True)
    if isinstance(exc, InvalidResponseError):
        context.crash_watch.check_lost_run(active, record, exc.phase)
    elif outcome.ran is not Ran.NO:
        context.crash_watch.record_unfinished(active, record)
    active.add_failure_step(record.upstream, exc)
    return _AttemptResult(retryable=outcome.retryable_by_entry)


def _handle_answer(context, active, record, answer):
    head, body, metadata, completeness = answer
    if metadata.load is not None:
        context.health.record_load(
            record.upstream,
            metadata.load.running + metadata.load.waiting,
            now_s=context.now_s,
            pace=metadata.load.pace,
        )
    if metadata.not_run:
        context.health.record_answer(record.upstream, error=False)
        active.add_step(StepKind.REFUSED, record.upstream, head.status)
        return _AttemptResult(retryable=True)
    active.runs += 1
    retryable = active.route.retry_safety is RetrySafety.FREELY
    if not metadata.is_signed:
        context.health.record_answer(record.upstream, error=True)
        active.add_step(StepKind.ERROR, record.upstream, "not signed")
        return _AttemptResult(retryable=retryable)
    record_completeness(
        context,
        active,
        record,
        completeness,
        phase=ExchangePhase.WITHIN_ANSWER,
        succeeded=200 <= head.status < 300,
    )
    error = head.status >= 500
    context.health.record_answer(record.upstream, error=error)
    active.add_step(
        StepKind.ERROR if error else StepKind.ANSWER,
        record.upstream,
        f"{head.status}, {head.framing.value}",
    )
    context.metrics.add("answers_total", framing=head.framing.value)
    return _AttemptResult(
        retryable=retryable,
        head=head,
        body=body,
        completeness=completeness,
        final=not error,
    )


def _forward(context, active, answer):
    headers = context.dialect.response_headers(answer.head)
    active.record_output(context.now_s)
    active.responder.answer(
        answer.head.status,
        headers,
        answer.body,
        framing=framing_of_buffered(answer.completeness),
    )


def _end(context, active, answer):
    """Forward an answer, or raise the error for having none."""
    if answer is not None:
        _forward(context, active, answer)
        return
    verdict = context.crash_watch.find_verdict(active)
    if active.runs == 0 and verdict is not None:
        raise QuarantinedError(verdict)
    if active.runs == 0:
        cut = context.link_watch.count_cut(active.service.name)
        note = (
            f", the links of this instance to {cut} of them are cut"
            if cut
            else ""
        )
        raise RefusedError(
            f"no upstream took it{note}",
            refusal_reason=RefusalReason.UPSTREAMS,
        )
    raise FailedError("an upstream may have run it")
