"""Prefills the prompt of a generation, at a prefill engine or locally.

Local prefill is done by the decode engine that generates the output.  It
pauses the other streams of that engine, so it is used only where
``currantdeal.policy.placement.prefill_choice`` allows it.
"""

import asyncio
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
    s_per_token,
    slowdowns,
    speed_of,
)
from currantdeal.entry.steps import StepKind, kind_of_failure
from currantdeal.node.errors import (
    ExchangeError,
    InvalidResponseError,
    MalformedResponseError,
)
from currantdeal.node.exchange import exchange
from currantdeal.policy.health.silence_scope import are_prefills_silent
from currantdeal.policy.placement.prefill_choice import (
    estimate_prefill,
    local_prefill_s,
    prefers_local_prefill,
    prefill_timeout_s,
)
from currantdeal.policy.speed.paces import Work
from currantdeal.registry import Stage, UpstreamRecord

MAX_PREFILL_ENGINES = 2
"""Maximum number of prefill engines to which one prompt is sent."""

LOCAL_PREFILL_MAX_WAIT_S = 0.8
"""Longest wait for other prompts that a decode engine prefills locally."""

FIRST_EVENT_DELAY_S = 0.2
"""Time from the end of a prefill to the first event at the caller: KV cache
transfer and first tokens."""


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


async def prefill_prompt(
    context,
    active,
    decode_engine,
    *,
    in_time,
    resumes=False,
    may_prefill_locally=None,
):
    """Prefill a prompt; returns None for local prefill at the decode engine.

    If a prefill engine did not accept the prompt, another one is tried.  If
    it may be running the prefill, none is: the prompt would be prefilled
    twice.

    Parameters
    ----------
    decode_engine : UpstreamRecord
        The decode engine that will fetch the KV cache.
    in_time : bool
        Whether the first event can still be in time.
    resumes : bool
        Whether the caller has received events already.  A run that is denied
        then breaks its answer off, so that its charge must outlast the
        prefill.
    may_prefill_locally : callable or None
        Coroutine function that returns whether the decode engine may do it;
        it always may by default.

    Raises
    ------
    PrefillFailedError
        If only the decode engine could do it, and may not.
    """
    for _ in range(MAX_PREFILL_ENGINES):
        estimate = await _choose_engine(
            context, active, decode_engine, in_time, resumes
        )
        if estimate is None:
            break
        timeout_s = _timeout_s(
            context, active, estimate, decode_engine, in_time
        )
        if resumes:
            timeout_s = min(timeout_s, active.arrivals.charge_left_s)
        try:
            return await _prefill_at(context, active, estimate, timeout_s)
        except PrefillFailedError as exc:
            if exc.maybe_running:
                break
    if may_prefill_locally is not None and not await may_prefill_locally():
        raise PrefillFailedError(
            "no prefill engine takes the prompt", maybe_running=False
        )
    if await _may_run(context, active):
        await _wait_for_local_prefills(context, active, decode_engine)
        active.add_step(StepKind.LOCAL_PREFILL, decode_engine.upstream)
    return None


async def _choose_engine(context, active, decode_engine, in_time, resumes):
    """Return the estimate of the engine to use; None for local prefill."""
    if resumes and active.had_silent_prefill:
        return None
    estimates = _estimates(context, active, decode_engine)
    if _prefills_locally(context, active, estimates, in_time, decode_engine):
        return None
    if resumes and _are_silent(context, estimates):
        return None
    estimate = await _admitted(context, estimates)
    if estimate is None:
        return None
    is_charged = await active.arrivals.may_send(
        ArrivalKind.PREFILL, with_run=resumes
    )
    return estimate if is_charged else None


def _are_silent(context, estimates):
    """Return whether no prefill engine answers within the usual time."""
    expected_s = min((e.expected_s for e in estimates), default=0.0)
    facts = context.run_contacts.facts(context.now_s)
    return are_prefills_silent(facts, expected_s=expected_s)


def expects_local_prefill(context, active):
    """Return whether the prompt would be prefilled locally now."""
    estimates = _estimates(context, active)
    return _prefills_locally(context, active, estimates, True)


async def _may_run(context, active):
    is_charged = await active.arrivals.may_send(ArrivalKind.RUN)
    return is_charged and context.may_send(active)


async def _wait_for_local_prefills(context, active, decode_engine):
    """Wait for the other local prefills of a decode engine.

    The prefill is announced to the other entries before the wait, so that
    theirs queue behind it.  The wait is bounded, since a reservation
    expires.
    """
    wait_s = context.local_prefills.free_in_s(
        decode_engine.upstream, now_s=context.now_s
    )
    context.begin_local_prefill(
        decode_engine.upstream,
        local_prefill_s(
            active.call.prompt_tokens,
            s_per_token(context, active.service.name),
            slowdown=_local_slowdown(context, decode_engine),
        ),
    )
    await asyncio.sleep(min(wait_s, LOCAL_PREFILL_MAX_WAIT_S))


def release_kv_cache(context, prefill):
    """Release a KV cache that no decode engine will fetch."""
    if not context.view.is_current(prefill.record):
        return
    call = context.dialect.release_prefill(
        prefill.record.address, prefill.handle
    )
    release(context, prefill.record.address, call)


def _estimates(context, active, decode_engine=None):
    """Return the estimates for prefill engines, in the order to try them.

    Parameters
    ----------
    decode_engine : UpstreamRecord or None
        The decode engine that will fetch the KV cache, if it is known.
    """
    now_s = context.now_s
    service = active.service.name
    records = {
        record.upstream: record
        for record in context.view.engines(service, Stage.PREFILL)
        if not context.prefill_health.is_ejected(record.upstream, now_s=now_s)
    }
    return estimate_prefill(
        records,
        tokens=active.call.prompt_tokens,
        backlog=lambda name: context.load.tokens(name, now_s=now_s),
        **context.departures.prefill_options(
            active, records, decode_engine, now_s=now_s
        ),
        random=context.random,
        is_suspect=lambda name: context.load.is_suspect(name, now_s=now_s),
        s_per_token=s_per_token(context, service),
        slowdown=slowdowns(context, service, Work.PREFILL, records),
        unreported=context.load.unreported(
            active.call.prompt_tokens, now_s=now_s
        ),
        connect_s=lambda name: (
            0.0
            if context.pool.is_connected(records[name].address)
            else context.departures.connect_s(records[name], now_s=now_s)
        ),
    )


async def _admitted(context, estimates):
    """Return the first estimate whose engine takes a prompt now, or None.

    Engines in need limit their requests, and may have no slot.
    """
    by_upstream = {estimate.upstream: estimate for estimate in estimates}
    records = [context.view.record(upstream) for upstream in by_upstream]
    unlimited, limited = context.limits.split(records)
    if unlimited[:1] == records[:1]:
        return estimates[0] if estimates else None
    record = await context.limits.admit_if_free(limited)
    if record is None and unlimited:
        record = unlimited[0]
    return None if record is None else by_upstream[record.upstream]


def _prefills_locally(context, active, estimates, in_time, decode_engine=None):
    """Return whether the decode engine is to prefill the prompt.

    The estimate with the shortest queue decides, not the first in order: if
    any prefill engine is idle, the pool has enough capacity.
    """
    best = min(estimates, key=lambda e: e.expected_s, default=None)
    local_wait_s = 0.0
    if decode_engine is not None:
        local_wait_s = context.local_prefills.free_in_s(
            decode_engine.upstream, now_s=context.now_s
        )
    return prefers_local_prefill(
        best,
        tokens=active.call.prompt_tokens,
        s_per_token=s_per_token(context, active.service.name),
        time_left_s=_time_left_s(context, active, in_time) - local_wait_s,
        gap_target_s=active.route.gap_target_s,
        slowdown=_local_slowdown(context, decode_engine),
    )


def _local_slowdown(context, decode_engine):
    if decode_engine is None:
        return 1.0
    return speed_of(context, decode_engine, Work.DECODE).factor


def _time_left_s(context, active, in_time):
    """Return the time left to prefill a prompt for a timely first event."""
    if not in_time:
        return 0.0
    waited_s = context.now_s - active.request.arrived_s
    return active.route.target_s - waited_s - FIRST_EVENT_DELAY_S


async def _prefill_at(context, active, best, timeout_s):
    """Prefill the prompt at a prefill engine; returns its ``Prefill``."""
    record = context.view.record(best.upstream)
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


def _timeout_s(context, active, best, decode_engine, in_time):
    return prefill_timeout_s(
        best,
        tokens=active.call.prompt_tokens,
        s_per_token=s_per_token(context, active.service.name),
        time_left_s=_time_left_s(context, active, in_time),
        slowdown=_local_slowdown(context, decode_engine),
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
