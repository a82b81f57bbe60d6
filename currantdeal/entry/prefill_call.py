"""Sends a prompt to one prefill engine, and holds the KV cache it returns."""

from dataclasses import dataclass

from currantdeal.core.errors import DialectError
from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.distance import Pool
from currantdeal.entry.errors import PrefillFailedError
from currantdeal.entry.releases import release
from currantdeal.entry.speeds import (
    PrefillWork,
    describe,
    record_prefill,
    record_prefill_timeout,
    speed_of,
)
from currantdeal.entry.steps import StepKind, kind_of_failure
from currantdeal.node.errors import (
    ExchangeError,
    InvalidResponseError,
    MalformedResponseError,
)
from currantdeal.node.exchange import exchange
from currantdeal.policy.speed.paces import Work
from currantdeal.registry import Stage, UpstreamRecord


@dataclass(frozen=True, kw_only=True)
class Prefill:
    """A KV cache that is held at a prefill engine.

    Parameters
    ----------
    record : UpstreamRecord
        The prefill engine.
    handle : str
        Identifies the KV cache at that engine.
    completed_s : float
        Loop time at which the prefill ended.
    """

    record: UpstreamRecord
    handle: str
    completed_s: float

    @property
    def source(self):
        """Address and handle from which a decode engine fetches it."""
        return f"{self.record.address}/{self.handle}"


async def prefill_at(context, active, upstream, timeout_s):
    """Prefill the prompt at a prefill engine; returns its ``Prefill``.

    Raises
    ------
    PrefillFailedError
        If the engine has left, or does not confirm it in time.
    """
    record = context.view.record(upstream)
    if record is None:
        raise PrefillFailedError(f"{upstream!r} left", maybe_running=False)
    began_s = context.now_s
    sent_s = context.limits.now_s
    work = PrefillWork(
        record=record,
        tokens=active.call.prompt_tokens,
        backlog=context.load.tokens(record.upstream, now_s=began_s),
    )
    detail = describe(speed_of(context, record, Work.PREFILL))
    contact = context.run_contacts.began(record, Stage.PREFILL)
    context.load.add(record.upstream, active.call.prompt_tokens)
    context.departures.record_sent(active, Pool.PREFILL, record, now_s=began_s)
    try:
        answer = await _request_prefill(context, active, record, timeout_s)
        contact.received()
    except ExchangeError as exc:
        _handle_failed_prefill(context, record, exc, began_s)
        if kind_of_failure(exc) is StepKind.SILENT:
            active.had_silent_prefill = True
            if context.link_watch.is_trusted(record.address):
                record_prefill_timeout(context, work, context.now_s - began_s)
        if isinstance(exc, InvalidResponseError):
            context.crash_watch.check_lost_run(active, record, exc.phase)
        elif exc.sent:
            context.crash_watch.record_unfinished(active, record)
        active.add_failure_step(record.upstream, exc)
        raise PrefillFailedError(str(exc), maybe_running=exc.sent) from exc
    finally:
        contact.ended()
        context.load.remove(record.upstream, active.call.prompt_tokens)
    prefill = _parse_answer(context, active, record, sent_s, answer)
    took_s = context.now_s - began_s
    record_prefill(context, work, took_s)
    _record_prefill_time(context, active, took_s)
    active.add_step(StepKind.PREFILL, record.upstream, detail)
    return prefill


def release_kv_cache(context, prefill):
    """Release a KV cache that no decode engine will fetch."""
    if not context.view.is_current(prefill.record):
        return
    call = context.dialect.release_prefill(
        prefill.record.address, prefill.handle
    )
    release(context, prefill.record.address, call)


def _handle_failed_prefill(context, record, exc, since_s):
    """Eject a prefill engine that accepts no connection or sends no answer.

    One that times out may only be busy, or its answer was lost.  Ejecting it
    for that could leave all prompts to the decode engines.  If it has
    prefilled no other prompt since the request was sent, its idle
    connections are closed and the timeout is reported to the other entries:
    a single entry uses an engine too rarely to detect that it is
    unresponsive.
    """
    kind = kind_of_failure(exc)
    is_malformed = isinstance(exc, MalformedResponseError)
    if kind is StepKind.UNREACHABLE or is_malformed or exc.has_ended:
        context.eject(record, context.prefill_health, exc)
    elif context.prefill_health.last_answer_s(record.upstream) <= since_s:
        context.pool.close_idle(record.address)
        context.prefill_health.record_timeout(
            record.upstream, now_s=context.now_s
        )


async def _request_prefill(context, active, record, timeout_s):
    left_s = min(timeout_s, active.time_left_s(context.now_s))
    call = context.encode(
        active,
        record,
        ArrivalKind.PREFILL,
        time_left_s=left_s,
        prefill_only=True,
    )
    return await exchange(
        context.pool,
        record.address,
        call,
        timeout_s=left_s,
        retryable=True,
        may_repeat=lambda: active.arrivals.may_send(ArrivalKind.PREFILL),
    )


def _parse_answer(context, active, record, sent_s, answer):
    head, body = answer
    metadata = context.read_response(record, head, sent_s=sent_s)
    if head.status != 200:
        # It is changing its stage or leaving; a retry would be refused
        # again.
        context.eject(record, context.prefill_health)
        active.add_step(StepKind.REFUSED, record.upstream, head.status)
        raise PrefillFailedError(
            f"refused with {head.status}", maybe_running=not metadata.not_run
        )
    active.arrivals.accept_prefill()
    context.prefill_health.record_answer(
        record.upstream, error=False, now_s=context.now_s
    )
    try:
        handle = context.dialect.read_prefill(body)
    except DialectError as exc:
        active.add_step(StepKind.ERROR, record.upstream, exc)
        raise PrefillFailedError(str(exc), maybe_running=True) from exc
    return Prefill(record=record, handle=handle, completed_s=context.now_s)


def _record_prefill_time(context, active, took_s):
    meter = context.meter(active.service.name)
    meter.record_prefill(active.call.prompt_tokens, took_s)
    context.metrics.observe("prefill_seconds", took_s)
