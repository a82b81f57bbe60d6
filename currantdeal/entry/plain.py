"""Calls to plain services.

The answer is taken whole before any of it is passed on.  A broken answer can
then still be replaced by another upstream's, where the call may be repeated.
"""

import asyncio

import structlog

from currantdeal.core import Ran
from currantdeal.entry.errors import (
    FailedError,
    QuarantinedError,
    RefusedError,
)
from currantdeal.entry.steps import StepKind
from currantdeal.node.connection_pool import exchange
from currantdeal.node.dialect import Directions
from currantdeal.node.errors import (
    BrokenAnswerError,
    ConnectError,
    ExchangeError,
    SilentUpstreamError,
)
from currantdeal.node.fingerprint import shown
from currantdeal.policy.reset_outcome import reset_outcome
from currantdeal.policy.return_time import Shortage
from currantdeal.policy.standing import in_order
from currantdeal.routing import Repeat

FIRST_TRY_SHARE = 0.5
"""Share of the time left that the first of two tries may take.

Half leaves a second upstream as much as the first one had; a try that takes
so long has missed its target anyway.
"""

MAX_TRIES = 4
"""Upstreams that are asked for one request at most, refusals included."""

MAX_ANSWER_BYTES = 8_388_608
"""Largest answer that is taken whole."""

_log = structlog.get_logger(__name__)


async def serve_plain(context, active):
    """Find an upstream that answers, and pass its answer on.

    Raises
    ------
    RefusedError
        If no upstream took the call.
    FailedError
        If one may have run it and gave no answer.
    """
    tried = set()
    last = None
    while len(tried) < MAX_TRIES:
        record = _next_upstream(context, active, tried)
        if record is None or not context.crashes.may_send(active):
            break
        if tried and not context.may_repeat(active.service.name):
            active.note(StepKind.NO_BUDGET)
            break
        tried.add(record.upstream)
        answer = await _try(context, active, record)
        if answer.final:
            _pass_on(context, active, answer)
            return
        last = answer if answer.head is not None else last
        if not _may_go_on(active, answer):
            break
    _give_up(context, active, last)


class _Answer:
    """The outcome of one try.

    ``final`` tells that it goes to the caller as it is, ``repeatable`` that
    another upstream may be asked; ``head`` is None where there is no whole
    answer.
    """

    def __init__(self, *, repeatable, head=None, body=b"", final=False):
        self.repeatable = repeatable
        self.head = head
        self.body = body
        self.final = final


def _next_upstream(context, active, tried):
    ready = [
        record
        for record in context.view.ready(active.service.name)
        if record.upstream not in tried
    ]
    ordered = in_order(
        ready,
        context.standings,
        distance=context.view.distance,
        random=context.random,
        now_s=context.now_s,
    )
    return ordered[0] if ordered else None


def _may_go_on(active, answer):
    left = active.runs == 0 or active.runs < active.route.max_upstreams
    return answer.repeatable and left


def _patience_s(active, now_s):
    left_s = active.time_left_s(now_s)
    repeatable = active.route.repeat is Repeat.FREELY
    if repeatable and active.runs + 1 < active.route.max_upstreams:
        return FIRST_TRY_SHARE * left_s
    return left_s


async def _try(context, active, record):
    now_s = context.now_s
    directions = Directions(
        upstream=record.upstream, time_left_s=active.time_left_s(now_s)
    )
    outgoing = context.dialect.outgoing(
        active.request.head, active.request.body, directions
    )
    context.standings.began(record.upstream)
    try:
        head, body = await exchange(
            context.pool,
            record.address,
            outgoing,
            timeout_s=_patience_s(active, now_s),
            limit=MAX_ANSWER_BYTES,
        )
    except ExchangeError as exc:
        return _note_failure(context, active, record, exc)
    except asyncio.CancelledError:
        active.runs += 1
        raise
    finally:
        context.standings.ended(record.upstream)
    return _judge(context, active, record, head, body)


def _note_failure(context, active, record, exc):
    outcome = reset_outcome(active.kind, exc.moment)
    if outcome.ran is not Ran.NO:
        active.runs += 1
    silent = isinstance(exc, (ConnectError, SilentUpstreamError))
    if silent:
        context.eject(record, context.standings)
        context.pool.forget(record.address)
    else:
        context.standings.answered(record.upstream, error=True)
    if isinstance(exc, BrokenAnswerError):
        context.crashes.lost(active, record, exc.moment)
    active.note_failure(record.upstream, exc)
    return _Answer(repeatable=outcome.by_entry)


def _judge(context, active, record, head, body):
    traits = context.dialect.read_reply(head)
    context.view.note_answer(record, traits.answered_by)
    if traits.load is not None:
        context.standings.reported(
            record.upstream,
            traits.load.running + traits.load.waiting,
            now_s=context.now_s,
        )
    if traits.not_run:
        context.standings.answered(record.upstream, error=False)
        active.note(StepKind.REFUSED, record.upstream, head.status)
        return _Answer(repeatable=True)
    active.runs += 1
    repeatable = active.route.repeat is Repeat.FREELY
    foreign = traits.request_id not in ("", active.call.request_id)
    if foreign or not traits.genuine:
        context.standings.answered(record.upstream, error=True)
        active.note(StepKind.ERROR, record.upstream, "not its answer")
        return _Answer(repeatable=repeatable)
    context.crashes.completed(active)
    error = head.status >= 500
    context.standings.answered(record.upstream, error=error)
    active.note(
        StepKind.ERROR if error else StepKind.ANSWER,
        record.upstream,
        head.status,
    )
    return _Answer(
        repeatable=repeatable, head=head, body=body, final=not error
    )


def _pass_on(context, active, answer):
    headers = context.dialect.reply_headers(answer.head)
    active.note_output(context.now_s)
    active.responder.answer(answer.head.status, headers, answer.body)


def _give_up(context, active, last):
    if last is not None:
        _pass_on(context, active, last)
        return
    if active.runs == 0 and context.crashes.is_quarantined(active):
        raise QuarantinedError(shown(active.fingerprint))
    if active.runs == 0:
        raise RefusedError("no upstream took it", shortage=Shortage.UPSTREAMS)
    raise FailedError("an upstream may have run it")
