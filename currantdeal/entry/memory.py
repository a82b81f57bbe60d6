"""Reserves KV cache memory at a decode engine for one generation.

Engines are asked in the order of
``currantdeal.policy.memory.decode_memory``.  One that does not answer soon is
hedged with the next one, see ``Hedge``.
"""

import math
from dataclasses import dataclass

import structlog

from currantdeal.core.errors import DialectError
from currantdeal.entry.errors import RefusedError
from currantdeal.entry.hedging import Hedge
from currantdeal.entry.memory_turn import MemoryTurn
from currantdeal.entry.prefill import expects_local_prefill
from currantdeal.entry.releases import release
from currantdeal.entry.speeds import is_too_slow, slowdowns
from currantdeal.node.errors import ExchangeError
from currantdeal.node.exchange import exchange
from currantdeal.policy.memory.decode_memory import (
    MAX_FILL,
    GenerationSize,
    tokens_to_reserve,
)
from currantdeal.policy.speed.paces import Work
from currantdeal.registry import Stage, UpstreamRecord

RESERVE_PAUSE_S = 0.05
"""Pause between two rounds of reservation requests to all engines."""

RESERVE_TIMEOUT_S = 0.4
"""Time in which an engine must answer a reservation request."""

LATE_GRANT_S = 6.0
"""Time after that in which a grant is received and released.

Engines that stood still for some seconds grant all that they were asked for.
"""

HEDGE_S = 0.1
"""Delay after which the next engine is asked while a slow one is pending."""

RETRYING_CALLER_PAUSE_S = 0.1
"""Pause between two such rounds for a retrying caller."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Memory that a decode engine has reserved for a generation.

    Parameters
    ----------
    record : UpstreamRecord
        The engine.
    tokens : int
        Size of the reservation, in tokens.
    number : str
        Identifies the reservation at the engine.
    """

    record: UpstreamRecord
    tokens: int
    number: str


class MemoryReserver:
    """Reserves memory for one generation.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    """

    def __init__(self, *, context, active):
        """Compute the size of the reservation; sends no request."""
        self._context = context
        self._active = active
        self._excluded = set()
        self._unreached = 0
        self._turn = None
        self._tokens = _tokens(active)

    @property
    def _now_s(self):
        return self._context.now_s

    @property
    def return_after_s(self):
        """Time after which a refused request finds memory; None if unknown."""
        return self._turn and self._turn.return_after_s

    def exclude(self, record):
        """Exclude an engine whose connection to this generation was lost."""
        self._excluded.add(record.upstream)

    async def reserve(self, until_s, *, max_fill=MAX_FILL, in_turn=True):
        """Reserve memory; returns None if none is free until a time.

        Parameters
        ----------
        until_s : float
            Loop time at which to stop trying.
        max_fill : float
            Share of an engine's memory that may be claimed in all; lower
            for retrying callers.
        in_turn : bool
            Whether it comes after more urgent requests, and is refused once
            its turn is predicted to come too late.
        """
        pause_s = (
            RESERVE_PAUSE_S
            if max_fill >= MAX_FILL
            else RETRYING_CALLER_PAUSE_S
        )
        hedge = Hedge(delay_s=HEDGE_S, release_grant=self.release)
        turn = MemoryTurn(
            context=self._context,
            active=self._active,
            tokens=self._tokens,
            until_s=until_s if in_turn else math.inf,
        )
        self._turn, granted = turn, None
        try:
            while granted is None:
                granted = await self._reserve_at_any(
                    hedge, self._engines_in_turn(turn, max_fill)
                )
                if granted is None:
                    turn.record_wait()
                    if turn.is_too_late or self._now_s + pause_s > until_s:
                        break
                    granted = await hedge.wait(pause_s)
            return granted
        finally:
            turn.end(granted=granted is not None)
            self._context.in_background(hedge.drain())

    async def reserve_once(self, *, excluding):
        """Request memory once from each engine except one.

        Returns a ``Reservation`` or None.
        """
        records = [
            r for r in self._engines() if r.upstream != excluding.upstream
        ]
        hedge = Hedge(delay_s=HEDGE_S, release_grant=self.release)
        try:
            return await self._reserve_at_any(hedge, records)
        finally:
            self._context.in_background(hedge.drain())

    async def _reserve_at_any(self, hedge, records):
        if not records:
            self._active.search.rounds_without_room += 1
            return None
        unlimited, limited = self._context.limits.split(records)
        granted = await self._reserve_in_turn(hedge, unlimited)
        limited = [r for r in limited if not hedge.is_pending(r.upstream)]
        if granted is not None or not limited:
            return granted
        admitted = await self._admitted(limited, optional=bool(unlimited))
        return await self._reserve_in_turn(hedge, admitted)

    async def _admitted(self, limited, *, optional):
        """Return the engine in whose limit there is room, as a list.

        Raises
        ------
        RefusedError
            If there is none, and nothing was sent to an engine yet.
        """
        context, active = self._context, self._active
        try:
            record = (
                await context.limits.admit_if_free(limited)
                if optional or active.runs
                else await context.limits.admit(
                    limited, context.limit_patience(active)
                )
            )
        except RefusedError:
            if active.runs:
                return []
            raise
        return [] if record is None else [record]

    async def _reserve_in_turn(self, hedge, records):
        """Request memory until an engine grants it.

        Once an engine could not be reached, others may have crashed with it:
        two are asked at a time.
        """
        left = [r for r in records if not hedge.is_pending(r.upstream)]
        while left:
            if self._unreached:
                left.sort(key=self._is_out_of_touch)
            count = 2 if self._unreached else 1
            batch, left = left[:count], left[count:]
            for record in batch[:-1]:
                hedge.start(record.upstream, self._reserve_at(record))
            granted = await hedge.request(
                batch[-1].upstream, self._reserve_at(batch[-1])
            )
            if granted is not None:
                return granted
            if hedge.is_pending(batch[-1].upstream):
                # It is slow.  For a while, other requests of this entry ask
                # it last.
                self._context.decode_engine_order.record_refusal(
                    batch[-1].upstream, now_s=self._now_s
                )
        return None

    def _is_out_of_touch(self, record):
        """Return whether an engine is expected to be unreachable, too."""
        context = self._context
        now_s = self._now_s
        return (
            context.load.is_suspect(record.upstream, now_s=now_s),
            not context.health.was_reached(record.upstream, now_s=now_s),
        )

    def release(self, reservation):
        """Release an unused reservation."""
        if not self._context.view.is_current(reservation.record):
            return
        call = self._context.dialect.release_reservation(
            reservation.record.address, reservation.number
        )
        release(self._context, reservation.record.address, call)

    def record_unreachable(self, record, exc):
        """Eject an engine that is unreachable or lost its connection."""
        context = self._context
        self._unreached += 1
        context.eject(record, context.health, exc)
        context.pool.close_idle(record.address)
        self._active.add_failure_step(record.upstream, exc)

    async def _reserve_at(self, record):
        context = self._context
        engine = self._active.service.engine
        self._active.search.requested += 1
        call = context.dialect.reserve(
            record.address,
            tokens=self._tokens,
            hold_s=engine.hold_s,
            upstream=record.upstream,
        )
        was_connected = context.pool.is_connected(record.address)
        began_s = self._now_s
        try:
            head, body = await exchange(
                context.pool,
                record.address,
                call,
                timeout_s=RESERVE_TIMEOUT_S,
                retryable=True,
                on_late=lambda late: context.in_background(
                    self._release_late(record, late)
                ),
            )
        except ExchangeError as exc:
            self.record_unreachable(record, exc)
            return None
        context.record_reached(record)
        if was_connected:
            context.departures.costs.record_round_trip(
                record.data_center, self._now_s - began_s, now_s=self._now_s
            )
        if head.is_identified:
            # Load and limits of a repeated answer are out of date.
            context.read_response(record, head)
        accepts_work = context.view.accepts_work(record.upstream)
        if head.status != 200:
            self._active.search.refused += 1
            if accepts_work:
                context.decode_engine_order.record_refusal(
                    record.upstream, now_s=self._now_s
                )
            return None
        reservation = self._read_grant(record, body)
        if reservation is not None and not accepts_work:
            # The engine was withdrawn while it answered; its remaining
            # streams need the memory.
            self.release(reservation)
            return None
        return reservation

    def _read_grant(self, record, body):
        """Return the ``Reservation`` of a grant; None if it is unreadable."""
        try:
            number = self._context.dialect.read_reservation(body)
        except DialectError as exc:
            _log.warning("reservation-unreadable", why=str(exc))
            return None
        return Reservation(record=record, tokens=self._tokens, number=number)

    async def _release_late(self, record, late):
        """Release what an engine grants after its time to answer."""
        try:
            head, body = await late.receive(
                timeout_s=LATE_GRANT_S, rest_s=RESERVE_TIMEOUT_S
            )
        except ExchangeError:
            # It was recorded as unreachable, and probes find it again.
            return
        if head.status != 200:
            return
        reservation = self._read_grant(record, body)
        if reservation is not None:
            self._context.metrics.add("late_grants_released_total")
            self.release(reservation)

    def _prefilling_engines(self, names):
        """Return the engines whose current prefill would delay this prompt.

        There is no delay if a prefill engine can take the prompt.
        """
        context = self._context
        now_s = self._now_s
        prefilling = {
            n
            for n in names
            if context.local_prefills.is_prefilling(n, now_s=now_s)
        }
        if prefilling and expects_local_prefill(context, self._active):
            return prefilling
        return frozenset()

    def _engines_in_turn(self, turn, max_fill):
        """Return the engines to ask now; none if others come first."""
        records = self._engines(max_fill)
        free = self._context.decode_engine_order.free_tokens(
            [record.upstream for record in records],
            tokens=self._tokens,
            capacity=self._active.service.engine.kv_tokens,
            now_s=self._now_s,
            max_fill=max_fill,
        )
        return records if turn.may_ask(free) else []

    def _engines(self, max_fill=MAX_FILL):
        view, context = self._context.view, self._context
        records = {
            record.upstream: record
            for record in view.engines(self._active.service.name, Stage.DECODE)
            if record.upstream not in self._excluded
            and not context.health.is_ejected(
                record.upstream, now_s=self._now_s
            )
        }
        service = self._active.service.name
        slowdown = slowdowns(context, service, Work.DECODE, records)
        ordered = context.decode_engine_order.order(
            list(records),
            tokens=self._tokens,
            capacity=self._active.service.engine.kv_tokens,
            **context.departures.memory_options(
                self._active, records, now_s=self._now_s
            ),
            random=context.random,
            now_s=self._now_s,
            max_fill=max_fill,
            prefilling=self._prefilling_engines(records).__contains__,
            connected=lambda name: context.pool.is_connected(
                records[name].address
            ),
            slowdown=slowdown,
            is_too_slow=is_too_slow(
                context, service, self._active.route.gap_target_s, slowdown
            ),
        )
        return [records[name] for name in ordered]


def _tokens(active):
    call = active.call
    size = GenerationSize(
        prompt_tokens=call.prompt_tokens,
        max_output_tokens=call.max_output_tokens,
        expected_output_tokens=call.expected_output_tokens,
    )
    return tokens_to_reserve(size, active.service.engine.kv_tokens)
