"""Reserves decode memory, then a prefill engine, for each request.

A prefill result expires in well under a second.  If it were computed before
the decode engine had memory for it, prefills would be wasted whenever the
decode pools are full, which is at peak load.  The symptom would be more
prefilled tokens than the answered prompts account for.
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
from currantdeal.policy import Choice, GiveUp, LedgerRequest, Plan, Refused
from currantdeal.ports import Grant, ReservationRequest
from currantdeal.serving.errors import CallerDisconnectedError, Reason, not_run

RESERVE_TIMEOUT_S = 0.5
"""Timeout of a request to a home; some dozen round trips."""

CALLER_CHECK_INTERVAL_S = 0.1
"""Interval at which a waiting request checks that its caller is connected."""


class HomeFullError(ReservationError):
    """A home refused a reservation of a plan.

    Parameters
    ----------
    upstream_id : UpstreamId
        The upstream that is full.
    """

    def __init__(self, message, *, upstream_id: UpstreamId, retry_after_s):
        """Store the upstream with the error."""
        super().__init__(message, retry_after_s=retry_after_s)
        self.upstream_id = upstream_id


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """A grant for an upstream, and the request id used there."""

    upstream: Upstream
    grant: Grant
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class ReservedEngines:
    """The prefill and the decode engine reserved for a request.

    Parameters
    ----------
    output_tokens : int
        Output tokens for which decode memory is reserved.
    choice : Choice
        The engines chosen by the policy, with predicted times.
    started_s : float
        Monotonic time at which everything was reserved.
    """

    output_tokens: int
    choice: Choice
    started_s: float
    decode: Reservation
    prefill: Reservation


class Reserver:
    """Waits until a request is scheduled and reserves its engines.

    Parameters
    ----------
    instance : InstanceId
        This instance, the holder of the grants.
    view : ServingView
        Which upstreams are allowed.
    homes : HomesPort
        Where reservations are made.
    decisions : pykka.ActorProxy
        Proxy of ``Decisions``.
    cleaner : Cleaner
        Releases unused grants.
    clock : Clock
        Delays retries while all engines are full.
    """

    def __init__(self, *, instance, view, homes, decisions, cleaner, clock):
        """Store the dependencies."""
        self._instance = instance
        self._view = view
        self._homes = homes
        self._decisions = decisions
        self._cleaner = cleaner
        self._clock = clock

    def reserve(self, request, engine_request_id):
        """Return the ``ReservedEngines``, or raise ``RefusedError``."""
        work = request.work
        ticket = self._submit(work)
        try:
            while True:
                plan = self._await_plan(request, ticket)
                try:
                    reserved = self._reserve_plan(plan, engine_request_id)
                except HomeFullError as exc:
                    ticket = self._decisions.record_refusal(
                        plan, exc.upstream_id, exc.retry_after_s
                    ).get()
                else:
                    self._decisions.record_reserved(plan)
                    return reserved
        except BaseException:
            self._decisions.cancel(work)
            raise

    def reserve_prefill(self, work, choice, engine_request_id):
        """Return a new ``Reservation`` at the chosen prefill engine."""
        upstream = choice.prefill
        to_compute = work.prompt_tokens - int(choice.cached_tokens)
        ledger_request = LedgerRequest(
            request_id=engine_request_id,
            caller=work.caller,
            entry=self._instance,
            prefill_tokens=max(1, to_compute),
            kv_bytes=work.prompt_tokens * upstream.kv_bytes_per_token,
        )
        return self._reserve_upstream(
            upstream, ledger_request, engine_request_id
        )

    def _submit(self, work):
        self._view.check_lease()
        self._view.candidates(work, Role.PREFILL)
        self._view.candidates(work, Role.DECODE)
        ticket = self._decisions.submit(work).get()
        if isinstance(ticket, Refused):
            raise _refusal(ticket)
        return ticket

    def _await_plan(self, request, ticket):
        while True:
            if self._time_left_s(request) <= 0:
                raise _no_memory_before_deadline(1.0)
            if request.is_disconnected():
                raise CallerDisconnectedError("the caller disconnected")
            try:
                decision = ticket.decision.get(timeout=CALLER_CHECK_INTERVAL_S)
            except pykka.Timeout:
                continue
            if isinstance(decision, Plan):
                return decision
            if isinstance(decision, GiveUp):
                raise _refusal(decision.refused)
            self._clock.sleep(decision.delay_s)
            ticket = decision.ticket
            self._decisions.poll(request.work)

    def _reserve_plan(self, plan, engine_request_id):
        self._view.check_lease()
        choice = plan.choice
        decode = self._reserve_upstream(
            choice.decode, plan.decode_request, engine_request_id
        )
        try:
            prefill = self._reserve_upstream(
                choice.prefill, plan.prefill_request, f"{engine_request_id}p1"
            )
        except BaseException:
            self._cleaner.release(decode.grant)
            raise
        return ReservedEngines(
            output_tokens=plan.output_tokens,
            choice=choice,
            decode=decode,
            prefill=prefill,
            started_s=self._clock.monotonic_s(),
        )

    def _reserve_upstream(self, upstream, ledger_request, engine_request_id):
        request = ReservationRequest(
            request_id=engine_request_id,
            caller=ledger_request.caller,
            entry=ledger_request.entry,
            upstream_id=upstream.upstream_id,
            pieces=ledger_request.pieces,
            prefill_tokens=ledger_request.prefill_tokens,
            kv_bytes=ledger_request.kv_bytes,
            hold_s=ledger_request.hold_s,
            lead_s=ledger_request.lead_s,
        )
        try:
            grant = self._homes.reserve(request, timeout_s=RESERVE_TIMEOUT_S)
        except ReservationError as exc:
            raise HomeFullError(
                str(exc),
                upstream_id=upstream.upstream_id,
                retry_after_s=exc.retry_after_s,
            ) from exc
        return Reservation(
            upstream=upstream, grant=grant, request_id=engine_request_id
        )

    def _time_left_s(self, request):
        return request.work.deadline_s - self._clock.monotonic_s()


def pieces_for(upstream, tokens):
    """Return how many pieces of an engine's memory some tokens need."""
    return -(-tokens // upstream.tokens_per_piece)


def _refusal(refused):
    return not_run(
        refused.reason,
        reason=Reason.OVERLOADED,
        retry_after_s=refused.retry_after_s,
    )


def _no_memory_before_deadline(retry_after_s):
    return not_run(
        "no engine has memory for the request before its deadline",
        reason=Reason.OVERLOADED,
        retry_after_s=retry_after_s,
    )
