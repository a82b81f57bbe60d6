"""Prefill of a generation, at a prefill engine or locally."""

import asyncio
from dataclasses import dataclass

from currantdeal.core.errors import DialectError
from currantdeal.entry.errors import PromptNotReadError
from currantdeal.entry.releases import release
from currantdeal.entry.steps import StepKind, kind_of_failure
from currantdeal.node.connection_pool import exchange
from currantdeal.node.dialect import Directions
from currantdeal.node.errors import BrokenAnswerError, ExchangeError
from currantdeal.policy.prompt_reader import (
    decode_engine_reads,
    estimate_prefill,
    own_reading_s,
    prompt_patience_s,
)
from currantdeal.registry import Stage, UpstreamRecord

MAX_PREFILL_ENGINES = 2
"""Prefill engines that are asked for one prompt at most."""

LONGEST_TURN_WAIT_S = 0.8
"""Longest wait for other prompts that a decode engine prefills."""

AFTER_PROMPT_S = 0.2
"""Time from a prefilled prompt to the first event at the caller: KV cache
transfer and first tokens."""


@dataclass(frozen=True, kw_only=True)
class Prefill:
    """A KV cache that waits at a prefill engine.

    Parameters
    ----------
    read_s : float
        Loop time at which the prompt was read.
    """

    record: UpstreamRecord
    handle: str
    read_s: float

    @property
    def source(self):
        """Where a decode engine fetches it."""
        return f"{self.record.address}/{self.handle}"


async def read_prompt(context, active, near, *, in_time):
    """Have the prompt read; None where the decode engine must do it.

    An engine that did not take the prompt is followed by another one.  One
    that may be reading it is not: the prompt would be read twice.

    Parameters
    ----------
    near : UpstreamRecord
        The decode engine that will fetch the KV cache.
    in_time : bool
        Whether the first event can still be in time.
    """
    for asked in range(MAX_PREFILL_ENGINES):
        found = _estimates(context, active, near)
        if _reads_itself(context, active, found, in_time, near):
            break
        if asked and not context.may_repeat(active.service.name):
            active.note(StepKind.NO_BUDGET)
            break
        try:
            return await _read_at(context, active, found[0], in_time)
        except PromptNotReadError as exc:
            if exc.taken:
                break
    if not context.crashes.may_send(active):
        return None
    await _take_turn(context, active, near)
    active.note(StepKind.OWN_PROMPT, near.upstream)
    return None


def expects_own_prompt(context, active):
    """Return whether a decode engine would have to read the prompt now."""
    found = _estimates(context, active)
    return _reads_itself(context, active, found, True)


async def _take_turn(context, active, near):
    """Wait until a decode engine reads no other prompt.

    The others are told before the wait, so that they queue behind it.  The
    wait is bounded, since a reservation ends.
    """
    wait_s = context.turns.free_in_s(near.upstream, now_s=context.now_s)
    meter = context.meter(active.service.name)
    context.begin_reading(
        near.upstream,
        own_reading_s(active.call.prompt_tokens, meter.s_per_token),
    )
    await asyncio.sleep(min(wait_s, LONGEST_TURN_WAIT_S))


def free_prompt(context, prefill):
    """Free a KV cache that nobody will fetch."""
    call = context.dialect.release_prefill(
        prefill.record.address, prefill.handle
    )
    release(context, prefill.record.address, call)


def _estimates(context, active, near=None):
    """Return the estimates of prefill engines in the order to ask them.

    Parameters
    ----------
    near : UpstreamRecord or None
        The decode engine that will fetch the KV cache, if it is known.
    """
    now_s = context.now_s
    service = active.service.name
    records = {
        record.upstream: record
        for record in context.view.engines(service, Stage.PREFILL)
        if not context.prefills.is_out(record.upstream, now_s=now_s)
    }
    return estimate_prefill(
        records,
        tokens=active.call.prompt_tokens,
        backlog=lambda name: context.load.tokens(name, now_s=now_s),
        distance=lambda name: (
            context.view.distance_between(records[name], near) if near else 0
        ),
        random=context.random,
        suspect=lambda name: context.load.is_suspect(name, now_s=now_s),
        s_per_token=context.meter(service).s_per_token,
        unseen=context.load.unseen(active.call.prompt_tokens, now_s=now_s),
        connected=lambda name: context.pool.is_connected(
            records[name].address
        ),
    )


def _reads_itself(context, active, found, in_time, near=None):
    """Return whether the decode engine is to prefill the prompt.

    The shortest queue of all counts: as long as some engine is idle, the pool
    has enough of them.
    """
    best = min(found, key=lambda e: e.expected_s, default=None)
    turn_s = 0.0
    if near is not None:
        turn_s = context.turns.free_in_s(near.upstream, now_s=context.now_s)
    return decode_engine_reads(
        best,
        tokens=active.call.prompt_tokens,
        s_per_token=context.meter(active.service.name).s_per_token,
        time_left_s=_time_left_s(context, active, in_time) - turn_s,
        pause_target_s=active.route.pause_target_s,
    )


def _time_left_s(context, active, in_time):
    """Return the time in which a prompt must be read for a timely event."""
    if not in_time:
        return 0.0
    waited_s = context.now_s - active.request.arrived_s
    return active.route.target_s - waited_s - AFTER_PROMPT_S


async def _read_at(context, active, best, in_time):
    """Have a prefill engine read the prompt and return its ``Prefill``."""
    record = context.view.record(best.upstream)
    began_s = context.now_s
    context.load.began(record.upstream, active.call.prompt_tokens)
    try:
        head, body = await _ask(context, active, record, best, in_time)
    except ExchangeError as exc:
        _note_not_read(context, record, exc, began_s)
        if isinstance(exc, BrokenAnswerError):
            context.crashes.lost(active, record, exc.moment)
        active.note_failure(record.upstream, exc)
        raise PromptNotReadError(str(exc), taken=exc.sent) from exc
    finally:
        context.load.ended(record.upstream, active.call.prompt_tokens)
    prefill = _read_answer(context, active, record, head, body)
    _measure(context, active, context.now_s - began_s)
    active.note(StepKind.PROMPT, record.upstream)
    return prefill


def _note_not_read(context, record, exc, since_s):
    """Leave a prefill engine alone that takes no connection.

    One that times out may be only busy, or its answer was lost; ejected for
    that, it would leave every prompt to decode engines.  If it has prefilled
    no other prompt meanwhile, its kept connections are closed, and other
    entries hear of it: each meets an engine too rarely to tell by itself.
    """
    kind = kind_of_failure(exc)
    if kind is StepKind.UNREACHABLE:
        context.eject(record, context.prefills)
    elif context.prefills.answered_s(record.upstream) <= since_s:
        context.pool.forget(record.address)
        context.prefills.timed_out(record.upstream, now_s=context.now_s)


async def _ask(context, active, record, best, in_time):
    patience_s = prompt_patience_s(
        best,
        tokens=active.call.prompt_tokens,
        s_per_token=context.meter(active.service.name).s_per_token,
        time_left_s=_time_left_s(context, active, in_time),
    )
    left_s = min(patience_s, active.time_left_s(context.now_s))
    directions = Directions(
        upstream=record.upstream,
        time_left_s=left_s,
        prefill_only=True,
    )
    call = context.dialect.outgoing(
        active.request.head, active.request.body, directions
    )
    return await exchange(
        context.pool, record.address, call, timeout_s=left_s, harmless=True
    )


def _read_answer(context, active, record, head, body):
    traits = context.dialect.read_reply(head)
    context.view.note_answer(record, traits.answered_by)
    if head.status != 200:
        # It changes its stage or leaves; asking again brings the same.
        context.eject(record, context.prefills)
        active.note(StepKind.REFUSED, record.upstream, head.status)
        raise PromptNotReadError(
            f"refused with {head.status}", taken=not traits.not_run
        )
    context.prefills.answered(
        record.upstream, error=False, now_s=context.now_s
    )
    try:
        handle = context.dialect.read_prefill(body)
    except DialectError as exc:
        active.note(StepKind.ERROR, record.upstream, exc)
        raise PromptNotReadError(str(exc), taken=True) from exc
    return Prefill(record=record, handle=handle, read_s=context.now_s)


def _measure(context, active, took_s):
    meter = context.meter(active.service.name)
    meter.read(active.call.prompt_tokens, took_s)
    context.metrics.observe("prefill_seconds", took_s)
