"""Reserving decode memory first, then the prefill that will fill it.

A prefill result survives well under a second.  Were it computed before the
decode engine had memory for it, full decode pools would turn prefills into
waste exactly at peak; one would notice by prefilled tokens that outnumber
the prompts answered.
"""

from dataclasses import dataclass

import pykka

from currantdeal.core import RequestId, ReservationError, Role, Upstream
from currantdeal.policy import Choice, Refused
from currantdeal.ports import Grant, ReservationRequest
from currantdeal.serving.decisions import Need
from currantdeal.serving.errors import CallerGoneError, Reason, not_run
from currantdeal.serving.waiting import WAIT_SLICE_S

RESERVE_TIMEOUT_S = 0.5
"""Longest wait for a home's answer, some dozen round trips."""

TRIES_PER_TURN = 3
"""Decode engines asked in one turn before the request waits again."""

SHORTEST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.25


@dataclass(frozen=True, kw_only=True)
class Reserved:
    """A grant, the upstream it is for and the name used there."""

    upstream: Upstream
    grant: Grant
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class Placed:
    """The engines that are reserved for a request."""

    need: Need
    choice: Choice
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
    waiting : pykka.ActorProxy
        Of ``WaitingRoom``.
    cleaner : Cleaner
        Takes back what is not used.
    clock : Clock
        Paces tries while everything is full.
    """

    def __init__(
        self, *, instance, view, homes, decisions, waiting, cleaner, clock
    ):
        """Keep the parts."""
        self._instance = instance
        self._view = view
        self._homes = homes
        self._decisions = decisions
        self._waiting = waiting
        self._cleaner = cleaner
        self._clock = clock

    def reserve(self, request, engine_id):
        """Return the reserved engines, or raise a refusal."""
        work = request.work
        need = self._decisions.need(work).get()
        ticket = self._enter(work, need)
        try:
            while True:
                self._await_turn(request, ticket)
                try:
                    placed = self._try_engines(work, need, engine_id)
                except ReservationError as exc:
                    self._pause(request, exc.retry_after_s)
                    ticket = self._waiting.put_back(ticket).get()
                else:
                    self._waiting.started(ticket)
                    return placed
        except BaseException:
            self._waiting.leave(ticket)
            raise

    def reserve_prefill(self, work, choice, engine_id):
        """Return a reserved turn on the chosen prefill engine."""
        upstream = choice.prefill
        to_compute = work.prompt_tokens - int(choice.cached_tokens)
        return self._ask(
            upstream,
            ReservationRequest(
                request_id=engine_id,
                caller=work.caller,
                entry=self._instance,
                upstream_id=upstream.upstream_id,
                prefill_tokens=max(1, to_compute),
                kv_bytes=work.prompt_tokens * upstream.kv_bytes_per_token,
            ),
        )

    def _enter(self, work, need):
        self._view.check_lease()
        self._view.candidates(work, Role.PREFILL)
        decodes = self._view.candidates(work, Role.DECODE)
        entered = self._waiting.enter(work, need, engines=len(decodes)).get()
        if isinstance(entered, Refused):
            raise not_run(
                entered.reason,
                reason=Reason.OVERLOADED,
                retry_after_s=entered.retry_after_s,
            )
        return entered

    def _await_turn(self, request, ticket):
        while True:
            left_s = self._time_left_s(request)
            if left_s <= 0:
                raise _no_memory_in_time(1.0)
            try:
                ticket.turn.get(timeout=min(WAIT_SLICE_S, left_s))
            except pykka.Timeout:
                if request.gone():
                    raise CallerGoneError("the caller hung up") from None
            else:
                return

    def _try_engines(self, work, need, engine_id):
        decodes = self._view.candidates(work, Role.DECODE)
        last = ReservationError("no engine", retry_after_s=LONGEST_PAUSE_S)
        for _ in range(TRIES_PER_TURN):
            self._view.check_lease()
            choice = self._decisions.choose(
                work,
                prefills=self._view.candidates(work, Role.PREFILL),
                decodes=decodes,
                pieces=self._pieces(work, need, decodes[0]),
            ).get()
            try:
                return self._reserve_both(work, need, choice, engine_id)
            except ReservationError as exc:
                last = exc
            decodes = tuple(up for up in decodes if up != choice.decode)
            if not decodes:
                break
        raise last

    def _reserve_both(self, work, need, choice, engine_id):
        decode = self._reserve_decode(work, need, choice, engine_id)
        try:
            prefill = self.reserve_prefill(work, choice, f"{engine_id}p1")
        except BaseException:
            self._cleaner.release(decode.grant)
            raise
        return Placed(need=need, choice=choice, decode=decode, prefill=prefill)

    def _reserve_decode(self, work, need, choice, engine_id):
        upstream = choice.decode
        return self._ask(
            upstream,
            ReservationRequest(
                request_id=engine_id,
                caller=work.caller,
                entry=self._instance,
                upstream_id=upstream.upstream_id,
                pieces=self._pieces(work, need, upstream),
                kv_bytes=work.prompt_tokens * upstream.kv_bytes_per_token,
                hold_s=need.hold_s,
                lead_s=choice.prefill_s + choice.transfer_s,
            ),
        )

    def _ask(self, upstream, wanted):
        grant = self._homes.reserve(wanted, timeout_s=RESERVE_TIMEOUT_S)
        return Reserved(
            upstream=upstream, grant=grant, request_id=wanted.request_id
        )

    def _pieces(self, work, need, upstream):
        return pieces_for(upstream, work.prompt_tokens + need.output_tokens)

    def _pause(self, request, wanted_s):
        if wanted_s >= self._time_left_s(request):
            raise _no_memory_in_time(max(wanted_s, 1.0))
        if request.gone():
            raise CallerGoneError("the caller hung up")
        self._clock.sleep(
            min(max(wanted_s, SHORTEST_PAUSE_S), LONGEST_PAUSE_S)
        )

    def _time_left_s(self, request):
        return request.work.deadline_s - self._clock.monotonic_s()


def pieces_for(upstream, tokens):
    """Return the pieces of an engine's memory that some tokens fill."""
    return -(-tokens // upstream.tokens_per_piece)


def _no_memory_in_time(retry_after_s):
    return not_run(
        "no engine has memory for the request before its deadline",
        reason=Reason.OVERLOADED,
        retry_after_s=retry_after_s,
    )
