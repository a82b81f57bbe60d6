"""Handles calls that are not generations.

An answer is read completely before it is forwarded.  If it is cut short and
the call may be repeated, another upstream can still answer.
"""

import asyncio

import structlog

from currantdeal.core import Ran
from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.distance import Pool
from currantdeal.entry.errors import (
    FailedError,
    QuarantinedError,
    RefusedError,
)
from currantdeal.entry.events import position_of
from currantdeal.entry.progress import RequestState
from currantdeal.entry.run_end import check_end, record_completeness
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import (
    ConnectError,
    ExchangeError,
    InvalidResponseError,
    MalformedResponseError,
    ResponseTimeoutError,
)
from currantdeal.node.exchange import EarlyLeave, exchange
from currantdeal.policy.answers.answer_end import framing_of_buffered
from currantdeal.policy.answers.reset_outcome import (
    ExchangePhase,
    reset_outcome,
)
from currantdeal.policy.health.upstream_health import order_upstreams
from currantdeal.policy.retries.retry_after import RefusalReason
from currantdeal.routing import RetrySafety

FIRST_ATTEMPT_SHARE = 0.5
"""Share of the time left that the first of two attempts may take.

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
    attempted = set()
    chosen = []
    last = None
    while len(attempted) < MAX_ATTEMPTS:
        record = await _next_upstream(context, active, attempted, chosen)
        if record is None or not context.may_send(active):
            break
        if not await _may_send(context, active, last):
            active.add_step(StepKind.NO_BUDGET)
            break
        attempted.add(record.upstream)
        leave = _early_leave(context, active, attempted, chosen, last)
        answer = await _attempt(context, active, record, leave)
        if last is not None and answer.head is not None:
            context.repeat_outcomes.record(
                active.service.name,
                failed=not answer.final,
                now_s=context.now_s,
            )
        if answer.final:
            _forward(context, active, answer)
            return
        last = answer if answer.head is not None else last
        if not _may_retry(active, answer):
            break
    _end_without_answer(context, active, last)


async def _may_send(context, active, error):
    """Return whether the retry budget allows the next attempt.

    Repeats after an ``error`` that mostly fail again use the credit of the
    requests at this entry alone.  The rest of the budget is kept for others.

    Parameters
    ----------
    error : _AttemptResult or None
        The last complete answer, an error.
    """
    service = active.service.name
    pays = error is None or context.repeat_outcomes.pays(
        service, now_s=context.now_s
    )
    if not pays and not context.retry_budgets.left().get(service):
        context.metrics.add("repeats_withheld_total", service=service)
        return False
    return await active.arrivals.may_send(ArrivalKind.CALL)


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


async def _next_upstream(context, active, attempted, chosen=()):
    """Return the upstream to try next; None if there is none.

    Parameters
    ----------
    chosen : iterable of UpstreamRecord
        Upstreams that were admitted for this attempt already.

    Raises
    ------
    RefusedError
        If the request has not run, and all upstreams are at their limits.
    """
    for record in chosen:
        if (
            context.view.accepts_work(record.upstream)
            and record.upstream not in attempted
        ):
            return record
    ordered = _order(context, active, attempted)
    while ordered:
        record = await _admitted(context, active, ordered)
        if record is None or context.view.accepts_work(record.upstream):
            return record
        # It left while the request waited.
        ordered = _order(context, active, attempted)
    return None


def _order(context, active, attempted):
    ready = [
        record
        for record in context.view.ready(active.service.name)
        if record.upstream not in attempted
    ]
    return order_upstreams(
        ready,
        context.health,
        random=context.random,
        now_s=context.now_s,
        is_unreachable=lambda name: context.load.reports.is_unreachable(
            name, now_s=context.now_s
        ),
        **context.departures.plain_options(active, ready, now_s=context.now_s),
    )


async def _admitted(context, active, ordered):
    """Return the first upstream that takes a request now.

    One in need, which limits its requests, is used if the others are busy.
    """
    unlimited, limited = context.limits.split(ordered)
    if not limited:
        return ordered[0]
    now_s = context.now_s
    reachable = [
        record
        for record in limited
        if not context.health.is_ejected(record.upstream, now_s=now_s)
    ]
    if unlimited:
        if context.health.has_room(unlimited[0], now_s=now_s):
            return unlimited[0]
        return await context.limits.admit_if_free(reachable) or unlimited[0]
    try:
        return await context.limits.admit(
            reachable or limited, context.limit_patience(active)
        )
    except RefusedError:
        if active.runs:
            return None
        raise


def _may_retry(active, answer):
    if active.has_expired:
        return False
    runs_left = active.runs == 0 or active.runs < active.route.max_upstreams
    return answer.retryable and runs_left


def _early_leave(context, active, attempted, chosen, error):
    """Return when a slow attempt makes place for another one, or None.

    It does so only for one that will be sent: the upstream may still answer.

    Parameters
    ----------
    chosen : list
        The upstream of that attempt is appended to it.
    error : _AttemptResult or None
        The last complete answer, an error.
    """
    retryable = active.route.retry_safety is RetrySafety.FREELY
    if not retryable or active.runs + 1 >= active.route.max_upstreams:
        return None

    async def may_leave():
        if len(attempted) >= MAX_ATTEMPTS or not context.may_send(active):
            return False
        try:
            record = await _next_upstream(context, active, attempted)
        except RefusedError:
            return False
        if record is None:
            return False
        if await _may_send(context, active, error):
            chosen.append(record)
            return True
        active.add_step(StepKind.NO_BUDGET)
        return False

    return EarlyLeave(
        after_s=FIRST_ATTEMPT_SHARE * active.time_left_s(context.now_s),
        may_leave=may_leave,
    )


async def _attempt(context, active, record, leave):
    now_s = context.now_s
    sent_s = context.limits.now_s
    outgoing = context.encode(active, record, ArrivalKind.CALL)
    context.departures.record_sent(active, Pool.PLAIN, record, now_s=now_s)
    context.health.request_started(record.upstream)
    active.enter(RequestState.RUNNING)
    try:
        head, body = await exchange(
            context.pool,
            record.address,
            outgoing,
            timeout_s=active.time_left_s(now_s),
            limit=MAX_ANSWER_BYTES,
            has_expired=lambda: active.has_expired,
            leave=leave,
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
        active.enter(RequestState.UPSTREAM)
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


def _end_without_answer(context, active, last):
    if last is not None:
        _forward(context, active, last)
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
