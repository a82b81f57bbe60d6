"""Generations: memory first, then the prompt, then the stream.

A generation reserves memory at a decode engine before its prompt is prefilled,
because a KV cache that nobody can take expires soon.
"""

import asyncio

import structlog

from currantdeal.core import Ran
from currantdeal.entry.errors import (
    BrokenOffError,
    FailedError,
    QuarantinedError,
    RefusedError,
)
from currantdeal.entry.memory import MemorySeeker
from currantdeal.entry.prefill import free_prompt, read_prompt
from currantdeal.entry.relay import EventRelay
from currantdeal.entry.steps import StepKind
from currantdeal.node.dialect import Directions
from currantdeal.node.errors import (
    BrokenAnswerError,
    ConnectError,
    ExchangeError,
    SilentUpstreamError,
)
from currantdeal.node.fingerprint import shown
from currantdeal.policy.late_callers import LATE_FULL, LATE_WAIT_TARGETS
from currantdeal.policy.reset_outcome import Moment, reset_outcome
from currantdeal.policy.return_time import Shortage
from currantdeal.routing import Repeat

RESERVE_WAIT_TARGETS = 2 / 3
"""Longest wait for memory, in targets of the route.

The rest is for the prompt, the KV cache transfer and the first event.
"""

RESUME_SILENCE_PAUSES = 4.0
"""Silence after which a stream resumes elsewhere, in its pause targets.

It resumes only when memory for it is reserved: an engine that merely preempted
the stream will go on with it.
"""

RESUME_WAIT_PAUSES = 8.0
"""Longest wait for memory of a broken stream, in its pause targets.

Callers give up a little later; the rest is for the prompt.
"""

UNKNOWN_PAUSE_S = 0.3
"""Pause target of a route that names none."""

HANDLE_SHARE = 0.7
"""Share of the time of a KV cache for which it is offered to another engine.

The rest is for the engine to fetch it.
"""

MAX_TRIES = 3
"""Engines tried for one generation at most."""

_log = structlog.get_logger(__name__)


async def serve_generation(context, active):
    """Run a generation and pass its events on.

    Raises
    ------
    RefusedError
        If it was not run.
    FailedError
        If it may have run and nothing of it was passed on.
    BrokenOffError
        If it ended early after a part was passed on.
    """
    active.has_returned = context.patience.has_returned(
        active.route.name,
        active.call.patience_s,
        limit_s=active.route.timeout_s,
    )
    run = _Run(context=context, active=active)
    try:
        for attempt in range(MAX_TRIES):
            if attempt and not run.may_try_again():
                break
            if await run.attempt():
                return
    finally:
        run.release_held()
    run.give_up()


class _Run:
    def __init__(self, *, context, active):
        self._context = context
        self._active = active
        self._relay = EventRelay(context=context, active=active)
        self._reason = "no engine took it"
        self._memory = MemorySeeker(context=context, active=active)
        self._held = None
        self._prefill = None
        self._events_before = 0

    @property
    def _now_s(self):
        return self._context.now_s

    @property
    def _pause_s(self):
        """Longest pause between events that is in time."""
        return self._active.route.pause_target_s or UNKNOWN_PAUSE_S

    async def attempt(self):
        """Make one attempt; returns whether the answer is complete."""
        reservation = self._held or await self._reserve()
        self._held = None
        if reservation is None:
            self._reason = "no memory"
            return False
        used = False
        self._active.note(StepKind.MEMORY, reservation.record.upstream)
        waited_s = self._now_s - self._active.request.arrived_s
        self._context.metrics.observe("memory_wait_seconds", waited_s)
        self._context.load.began(
            reservation.record.upstream, reservation.tokens
        )
        try:
            if not self._may_send():
                return False
            prefill = await self._read_prompt(reservation.record)
            if not self._may_decode(reservation.record):
                self._prefill = prefill
                return False
            used = True
            return await self._decode(reservation, prefill)
        finally:
            self._context.load.ended(
                reservation.record.upstream, reservation.tokens
            )
            if not used:
                self._memory.release(reservation)

    def _may_send(self):
        if self._context.crashes.may_send(self._active):
            return True
        self._reason = "upstreams that ran it crashed"
        return False

    def _may_decode(self, record):
        """Return whether an engine may be sent what is prefilled."""
        if not self._context.view.takes_work(record.upstream):
            self._reason = "the engine left meanwhile"
            return False
        return self._may_send()

    async def _read_prompt(self, record):
        """Return the KV cache for an engine; None if it reads the prompt.

        One that was read for an engine that left is still good for another.
        """
        kept, self._prefill = self._prefill, None
        if kept is not None:
            age_s = self._now_s - kept.read_s
            keeps_s = self._active.service.engine.handle_s
            if age_s < HANDLE_SHARE * keeps_s:
                return kept
            free_prompt(self._context, kept)
        return await read_prompt(
            self._context,
            self._active,
            record,
            in_time=not (self._relay.begun or self._active.has_returned),
        )

    def may_try_again(self):
        """Return whether another attempt is allowed and of use."""
        active = self._active
        if self._reason == "no memory" or not self._may_send():
            return False
        if active.time_left_s(self._now_s) < active.route.target_s / 4:
            return False
        resumable = active.route.repeat is Repeat.RESUMABLE
        if active.runs and not resumable:
            return False
        if active.runs >= active.route.max_upstreams:
            return False
        if self._held is not None or self._prefill is not None:
            return True
        if not self._may_repeat():
            active.note(StepKind.NO_BUDGET)
            return False
        return True

    def _may_repeat(self):
        self._context.metrics.add("repeats_wanted_total")
        return self._context.may_repeat(self._active.service.name)

    def release_held(self):
        """Give back memory and a KV cache that are not needed any more."""
        if self._held is not None:
            self._memory.release(self._held)
            self._held = None
        if self._prefill is not None:
            free_prompt(self._context, self._prefill)
            self._prefill = None

    def give_up(self):
        """Raise what the caller is told."""
        if self._relay.begun:
            raise BrokenOffError(self._reason)
        if self._active.runs:
            raise FailedError(self._reason)
        if self._context.crashes.is_quarantined(self._active):
            raise QuarantinedError(shown(self._active.fingerprint))
        raise RefusedError(self._reason, shortage=Shortage.MEMORY)

    async def _reserve(self):
        active = self._active
        if self._relay.begun:
            wait_s = RESUME_WAIT_PAUSES * self._pause_s
            return await self._memory.find(self._now_s + wait_s)
        arrived_s = active.request.arrived_s
        if active.has_returned:
            wait_s = LATE_WAIT_TARGETS * active.route.target_s
            until_s = min(arrived_s + wait_s, active.ends_s)
            return await self._memory.find(until_s, full=LATE_FULL)
        wait_s = RESERVE_WAIT_TARGETS * active.route.target_s
        until_s = min(arrived_s + wait_s, active.ends_s)
        return await self._memory.find(until_s)

    async def _decode(self, reservation, prefill):
        context, active = self._context, self._active
        record = reservation.record
        self._events_before = self._relay.events
        directions = Directions(
            upstream=record.upstream,
            time_left_s=active.time_left_s(self._now_s),
            kv_source=prefill.source if prefill else "",
            reservation=reservation.number,
            resume_after=self._relay.last_id or active.call.resume_after,
        )
        call = context.dialect.outgoing(
            active.request.head, active.request.body, directions
        )
        try:
            connection = await context.pool.take(record.address)
        except ConnectError as exc:
            self._reason = str(exc)
            self._prefill = prefill
            self._memory.note_unreachable(record, exc)
            return False
        context.standings.began(record.upstream)
        try:
            connection.send(call)
            return await self._stream(connection, record)
        except ExchangeError as exc:
            self._note_broken(record, exc)
            return False
        finally:
            context.standings.ended(record.upstream)
            context.pool.put_back(connection)

    async def _stream(self, connection, record):
        context, active = self._context, self._active
        head = await self._patiently(connection.head(), record)
        traits = context.dialect.read_reply(head)
        context.view.note_answer(record, traits.answered_by)
        if traits.not_run:
            await connection.rest(limit=1 << 20)
            # It granted memory and does not take what was granted for, as
            # while it changes its stage; asking again costs a prompt.
            context.eject(record, context.standings)
            self._reason = f"refused with {head.status}"
            active.note(StepKind.REFUSED, record.upstream, head.status)
            return False
        active.runs += 1
        foreign = traits.request_id not in ("", active.call.request_id)
        if foreign or not traits.genuine:
            self._reason = "not an answer to this request"
            active.note(StepKind.ERROR, record.upstream, self._reason)
            connection.close()
            return False
        if head.status != 200:
            return await self._pass_error(connection, head, record)
        active.note(StepKind.STREAM, record.upstream)
        began_s = self._now_s
        await self._relay.pass_events(
            head, lambda: self._patiently(connection.chunk(), record)
        )
        context.standings.answered(record.upstream, error=False)
        context.crashes.completed(active)
        self._measure(self._now_s - began_s)
        return True

    def _measure(self, held_s):
        """Note the memory that a whole stream held.

        It grows by one event after the other, so half of the output counts.
        """
        active = self._active
        per_event = active.service.engine.tokens_per_event
        output = self._relay.events * per_event
        tokens = active.call.prompt_tokens + output / 2
        self._context.meter(active.service.name).end(tokens, held_s)

    async def _pass_error(self, connection, head, record):
        body = await connection.rest()
        self._context.standings.answered(record.upstream, error=True)
        self._context.crashes.completed(self._active)
        self._active.note(StepKind.ERROR, record.upstream, head.status)
        self._reason = f"resumed run failed with {head.status}"
        return self._relay.pass_error(head, body)

    async def _patiently(self, work, record):
        """Wait for an engine, not too long where another can go on."""
        active = self._active
        resumable = active.route.repeat is Repeat.RESUMABLE
        if not resumable or active.runs >= active.route.max_upstreams:
            return await work
        task = asyncio.ensure_future(work)
        try:
            while True:
                await asyncio.wait(
                    {task}, timeout=RESUME_SILENCE_PAUSES * self._pause_s
                )
                if task.done():
                    return task.result()
                self._held = await self._reserve_elsewhere(record)
                if self._held is not None and not task.done():
                    raise SilentUpstreamError(
                        "no event", moment=Moment.BETWEEN_EVENTS
                    )
        finally:
            task.cancel()

    async def _reserve_elsewhere(self, record):
        reservation = await self._memory.find_now(but=record)
        if reservation is None or self._may_repeat():
            return reservation
        self._memory.release(reservation)
        return None

    def _note_broken(self, record, exc):
        active = self._active
        moment = self._relay.moment_of(exc)
        if reset_outcome(active.kind, moment).ran is not Ran.NO:
            active.runs = max(active.runs, 1)
        self._relay.drop_rest()
        self._reason = str(exc)
        if isinstance(exc, BrokenAnswerError):
            events = self._relay.events - self._events_before
            self._context.crashes.lost(active, record, moment, events=events)
        self._memory.avoid(record)
        self._memory.note_unreachable(record, exc)
        _log.info(
            "stream-broken",
            request=active.call.request_id,
            upstream=record.upstream,
            after=self._relay.last_id,
            moment=moment.value,
            why=str(exc),
        )
