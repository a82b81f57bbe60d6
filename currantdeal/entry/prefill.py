"""Prefills the prompt of a generation, at a prefill engine or locally.

Local prefill is done by the decode engine that generates the output.  It
pauses the other streams of that engine, so it is used only where
``currantdeal.policy.placement.prefill_choice`` allows it.
"""

import asyncio

from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.errors import PrefillFailedError
from currantdeal.entry.prefill_call import prefill_at
from currantdeal.entry.speeds import s_per_token, slowdowns, speed_of
from currantdeal.entry.steps import StepKind
from currantdeal.policy.health.silence_scope import are_prefills_silent
from currantdeal.policy.placement.prefill_choice import (
    estimate_prefill,
    local_prefill_s,
    prefers_local_prefill,
    prefill_timeout_s,
)
from currantdeal.policy.speed.paces import Work
from currantdeal.registry import Stage

MAX_PREFILL_ENGINES = 2
"""Maximum number of prefill engines to which one prompt is sent."""

LOCAL_PREFILL_MAX_WAIT_S = 0.8
"""Longest wait for other prompts that a decode engine prefills locally."""

FIRST_EVENT_DELAY_S = 0.2
"""Time from the end of a prefill to the first event at the caller: KV cache
transfer and first tokens."""


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
        Whether the run goes on where another one has come to, which may
        still be in progress.  A prompt is prefilled for it only together
        with the charge of the run, which must outlast the prefill.
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
            return await prefill_at(
                context, active, estimate.upstream, timeout_s
            )
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


def _timeout_s(context, active, best, decode_engine, in_time):
    return prefill_timeout_s(
        best,
        tokens=active.call.prompt_tokens,
        s_per_token=s_per_token(context, active.service.name),
        time_left_s=_time_left_s(context, active, in_time),
        slowdown=_local_slowdown(context, decode_engine),
    )
