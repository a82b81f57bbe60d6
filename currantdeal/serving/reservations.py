"""Reserving decode memory first, then the prefill that will fill it.

A prefill result survives well under a second.  Were it computed before the
decode engine had memory for it, full decode pools would turn prefills into
waste exactly at peak; one would notice by prefilled tokens that outnumber
the prompts answered.
"""

from dataclasses import dataclass

import pykka

from currantdeal.core import (
    RequestId,
    ReservationError,
    Role,
    Upstream,
    UpstreamId,
)
from currantdeal.policy import Ask, Choice, GiveUp, Plan, Refused
from currantdeal.ports import Grant, ReservationRequest
from currantdeal.serving.errors import CallerGoneError, Reason, not_run

RESERVE_TIMEOUT_S = 0.5
"""Longest wait for a home's answer, some dozen round trips."""

WAIT_SLICE_S = 0.1
"""Interval at which a waiting request looks whether its caller is gone."""


class HomeFullError(ReservationError):
    """A home refused a part of a plan.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream that is full.
    """

    def __init__(self, message, *, upstream_id: UpstreamId, retry_after_s):
        """Keep the upstream beside what any refused reservation tells."""
        super().__init__(message, retry_after_s=retry_after_s)
        self.upstream_id = upstream_id


@dataclass(frozen=True, kw_only=True)
class Reserved:
    """A grant, the upstream it is for and the name used there."""

    upstream: Upstream
    grant: Grant
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class Placed:
    """The engines that are reserved for a request.

    Parameters
    ----------
    output_tokens : int
        Output tokens that the decode memory is meant for.
    started_s : float
        Monotonic time at which everything was reserved.
    """

    output_tokens: int
    choice: Choice
    started_s: float
    decode: Reserved
    prefill: Reserved


class Reserver:
    """Waits for a request's turn and reserves its engines.

    Parameters
    ----------
    instance : InstanceId
        This instance, to which grants are given.
    view : ServingView
        Which upstreams are allowed.
    homes : HomesPort
        Where reservations are made.
    decisions : pykka.ActorProxy
        Of ``Decisions``.
    cleaner : Cleaner
        Takes back what is not used.
    clock : Clock
        Paces tries while everything is full.
    """

    def __init__(self, *, instance, view, homes, decisions, cleaner, clock):
        """Keep the parts."""
        self._instance = instance
        self._view = view
        self._homes = homes
        self._decisions = decisions
        self._cleaner = cleaner
        self._clock = clock

    def reserve(self, request, engine_id):
        """Return the reserved engines, or raise a refusal."""
        work = request.work
        ticket = self._enter(work)
        try:
            while True:
                plan = self._await_plan(request, ticket)
                try:
                    placed = self._reserve_plan(plan, engine_id)
                except HomeFullError as exc:
                    ticket = self._decisions.blocked(
                        plan, exc.upstream_id, exc.retry_after_s
                    ).get()
                else:
                    self._decisions.reserved(plan)
                    return placed
        except BaseException:
            self._decisions.leave(work)
            raise

    def reserve_prefill(self, work, choice, engine_id):
        """Return a reserved turn on the chosen prefill engine."""
        upstream = choice.prefill
        to_compute = work.prompt_tokens - int(choice.cached_tokens)
        ask = Ask(
            request_id=engine_id,
            caller=work.caller,
            entry=self._instance,
            prefill_tokens=max(1, to_compute),
            kv_bytes=work.prompt_tokens * upstream.kv_bytes_per_token,
        )
        return self._ask(upstream, ask, engine_id)

    def _enter(self, work):
        self._view.check_lease()
        self._view.candidates(work, Role.PREFILL)
        self._view.candidates(work, Role.DECODE)
        entered = self._decisions.enter(work).get()
        if isinstance(entered, Refused):
            raise _refusal(entered)
        return entered

    def _await_plan(self, request, ticket):
        while True:
            if self._time_left_s(request) <= 0:
                raise _no_memory_in_time(1.0)
            if request.gone():
                raise CallerGoneError("the caller hung up")
            try:
                message = ticket.turn.get(timeout=WAIT_SLICE_S)
            except pykka.Timeout:
                continue
            if isinstance(message, Plan):
                return message
            if isinstance(message, GiveUp):
                raise _refusal(message.refused)
            self._clock.sleep(message.delay_s)
            ticket = message.ticket
            self._decisions.poll(request.work)

    def _reserve_plan(self, plan, engine_id):
        self._view.check_lease()
        choice = plan.choice
        decode = self._ask(choice.decode, plan.decode_ask, engine_id)
        try:
            prefill = self._ask(
                choice.prefill, plan.prefill_ask, f"{engine_id}p1"
            )
        except BaseException:
            self._cleaner.release(decode.grant)
            raise
        return Placed(
            output_tokens=plan.output_tokens,
            choice=choice,
            decode=decode,
            prefill=prefill,
            started_s=self._clock.monotonic_s(),
        )

    def _ask(self, upstream, ask, engine_id):
        wanted = ReservationRequest(
            request_id=engine_id,
            caller=ask.caller,
            entry=ask.entry,
            upstream_id=upstream.upstream_id,
            pieces=ask.pieces,
            prefill_tokens=ask.prefill_tokens,
            kv_bytes=ask.kv_bytes,
            hold_s=ask.hold_s,
            lead_s=ask.lead_s,
        )
        try:
            grant = self._homes.reserve(wanted, timeout_s=RESERVE_TIMEOUT_S)
        except ReservationError as exc:
            raise HomeFullError(
                str(exc),
                upstream_id=upstream.upstream_id,
                retry_after_s=exc.retry_after_s,
            ) from exc
        return Reserved(upstream=upstream, grant=grant, request_id=engine_id)

    def _time_left_s(self, request):
        return request.work.deadline_s - self._clock.monotonic_s()


def pieces_for(upstream, tokens):
    """Return the pieces of an engine's memory that some tokens fill."""
    return -(-tokens // upstream.tokens_per_piece)


def _refusal(refused):
    return not_run(
        refused.reason,
        reason=Reason.OVERLOADED,
        retry_after_s=refused.retry_after_s,
    )


def _no_memory_in_time(retry_after_s):
    return not_run(
        "no engine has memory for the request before its deadline",
        reason=Reason.OVERLOADED,
        retry_after_s=retry_after_s,
    )
