"""Reserving memory at decode engines for one generation."""

from dataclasses import dataclass

import structlog

from currantdeal.core.errors import DialectError
from currantdeal.entry.hedging import Hedge
from currantdeal.entry.prefill import expects_own_prompt
from currantdeal.entry.releases import release
from currantdeal.node.connection_pool import exchange
from currantdeal.node.errors import ExchangeError
from currantdeal.policy.decode_memory import (
    FULL,
    GenerationSize,
    tokens_to_reserve,
)
from currantdeal.registry import Stage, UpstreamRecord

RESERVE_PAUSE_S = 0.05
"""Pause between two rounds of asking all engines for memory."""

RESERVE_TIMEOUT_S = 0.4

HEDGE_S = 0.1
"""Delay after which the next engine is asked beside one that is slow."""

LATE_PAUSE_S = 0.1
"""The same pause for a retrying caller."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Memory that an engine keeps for a generation."""

    record: UpstreamRecord
    tokens: int
    number: str


class MemorySeeker:
    """Finds an engine with room for one generation.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    """

    def __init__(self, *, context, active):
        """Ask nobody yet."""
        self._context = context
        self._active = active
        self._avoid = set()
        self._tokens = _tokens(active)

    @property
    def _now_s(self):
        return self._context.now_s

    def avoid(self, record):
        """Never ask an engine again that broke this generation off."""
        self._avoid.add(record.upstream)

    async def find(self, until_s, *, full=FULL):
        """Return a reservation, or None if there is no room until a time.

        Parameters
        ----------
        full : float
            Share of an engine's memory up to which it counts as having room.
        """
        pause_s = RESERVE_PAUSE_S if full >= FULL else LATE_PAUSE_S
        hedge = Hedge(delay_s=HEDGE_S, give_back=self.release)
        try:
            while True:
                granted = await self._ask_all(hedge, self._engines(full))
                if granted is None and self._now_s + pause_s <= until_s:
                    granted = await hedge.wait(pause_s)
                elif granted is None:
                    return None
                if granted is not None:
                    return granted
        finally:
            self._context.in_background(hedge.drain())

    async def find_now(self, *, but):
        """Ask each engine once, all but one; returns a reservation or None."""
        records = [r for r in self._engines() if r.upstream != but.upstream]
        hedge = Hedge(delay_s=HEDGE_S, give_back=self.release)
        try:
            return await self._ask_all(hedge, records)
        finally:
            self._context.in_background(hedge.drain())

    async def _ask_all(self, hedge, records):
        if not records:
            self._active.search.without_room += 1
        for record in records:
            if hedge.is_asking(record.upstream):
                continue
            granted = await hedge.ask(record.upstream, self._ask(record))
            if granted is not None:
                return granted
            if hedge.is_asking(record.upstream):
                # Other requests of this entry ask it last for a while.
                self._context.memory.refused(
                    record.upstream, now_s=self._now_s
                )
        return None

    def release(self, reservation):
        """Give a reservation back that is not used."""
        call = self._context.dialect.release_reservation(
            reservation.record.address, reservation.number
        )
        release(self._context, reservation.record.address, call)

    def note_unreachable(self, record, exc):
        """Leave an engine alone that cannot be reached or broke off."""
        context = self._context
        context.eject(record, context.standings)
        context.pool.forget(record.address)
        self._active.note_failure(record.upstream, exc)

    async def _ask(self, record):
        context = self._context
        engine = self._active.service.engine
        self._active.search.asked += 1
        call = context.dialect.reserve(
            record.address,
            tokens=self._tokens,
            hold_s=engine.hold_s,
            upstream=record.upstream,
        )
        try:
            head, body = await exchange(
                context.pool,
                record.address,
                call,
                timeout_s=RESERVE_TIMEOUT_S,
                harmless=True,
            )
        except ExchangeError as exc:
            self.note_unreachable(record, exc)
            return None
        traits = context.dialect.read_reply(head)
        context.view.note_answer(record, traits.answered_by)
        takes_work = context.view.takes_work(record.upstream)
        if head.status != 200:
            self._active.search.refused += 1
            if takes_work:
                context.memory.refused(record.upstream, now_s=self._now_s)
            return None
        try:
            number = context.dialect.read_reservation(body)
        except DialectError as exc:
            _log.warning("reservation-unreadable", why=str(exc))
            return None
        reservation = Reservation(
            record=record, tokens=self._tokens, number=number
        )
        if not takes_work:
            # Withdrawn while it answered; its last streams need the memory.
            self.release(reservation)
            return None
        return reservation

    def _delaying_engines(self, names):
        """Return the engines that prefill a prompt which delays this one."""
        context = self._context
        now_s = self._now_s
        found = {n for n in names if context.turns.is_reading(n, now_s=now_s)}
        if found and expects_own_prompt(context, self._active):
            return found
        return frozenset()

    def _engines(self, full=FULL):
        view, context = self._context.view, self._context
        records = {
            record.upstream: record
            for record in view.engines(self._active.service.name, Stage.DECODE)
            if record.upstream not in self._avoid
            and not context.standings.is_out(
                record.upstream, now_s=self._now_s
            )
        }
        ordered = context.memory.order(
            list(records),
            tokens=self._tokens,
            capacity=self._active.service.engine.kv_tokens,
            distance=lambda name: view.distance(records[name]),
            random=context.random,
            now_s=self._now_s,
            full=full,
            reading=self._delaying_engines(records).__contains__,
            connected=lambda name: context.pool.is_connected(
                records[name].address
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
