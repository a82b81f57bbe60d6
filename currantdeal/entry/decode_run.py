"""One run of a generation at a decode engine, from its memory to its end."""

from currantdeal.entry.arrivals import ArrivalKind
from currantdeal.entry.distance import Pool
from currantdeal.entry.events import EventSplitter
from currantdeal.entry.prefill_call import release_kv_cache
from currantdeal.entry.run_wait import gap_target_s
from currantdeal.entry.speeds import describe, speed_of
from currantdeal.entry.steps import StepKind
from currantdeal.node.errors import ConnectError, InvalidResponseError
from currantdeal.policy.answers.reset_outcome import ExchangePhase
from currantdeal.policy.speed.paces import Work
from currantdeal.registry import Stage


class DecodeRun:
    """Memory, KV cache and connection of one run, and what it has sent.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    reserver : MemoryReserver
        Releases its memory if it is not used.
    reservation : Reservation
        Memory that an engine has reserved for it.

    Attributes
    ----------
    record : UpstreamRecord
        The engine.
    prefill : Prefill or None
        The KV cache that the engine is to fetch; None for local prefill.
    connection : UpstreamConnection or None
        Connection on which it was sent.
    sent_s : float or None
        Loop time at which it was sent; None before.
    events_before : int
        Events of the answer that earlier runs have sent.
    """

    def __init__(self, *, context, active, reserver, reservation):
        """Count its memory as used from now on."""
        self.record = reservation.record
        self.reservation = reservation
        self.prefill = None
        self.connection = None
        self.sent_s = None
        self.events_before = 0
        self._context = context
        self._active = active
        self._reserver = reserver
        self._head = None
        self._ahead = []
        self._is_whole_ahead = False
        self._is_counted = False
        self._is_memory_used = False
        self._contact = None
        self._add_accounts()

    @property
    def is_counted(self):
        """Whether it counts as a run of the generation."""
        return self._is_counted

    @property
    def lost_grants(self):
        """Names of the upstreams that granted it something and have ended.

        Another process at the same address may have given a reservation or
        a KV cache of another caller the same identifier.
        """
        view = self._context.view
        return [
            held.record.upstream
            for held in (self.reservation, self.prefill)
            if held is not None and not view.is_current(held.record)
        ]

    async def connect(self, *, resume_after):
        """Open a connection; returns the call to send on it.

        Parameters
        ----------
        resume_after : str
            Id of the event after which the run is to begin.

        Raises
        ------
        ConnectError
            If the engine accepts none.
        """
        context = self._context
        call = context.encode(
            self._active,
            self.record,
            ArrivalKind.RUN,
            kv_source=self.prefill.source if self.prefill else "",
            reservation=self.reservation.number,
            resume_after=resume_after,
        )
        try:
            self.connection = await context.pool.acquire(
                self.record.address, call
            )
        except ConnectError:
            # Nobody is there to release it.
            self._is_memory_used = True
            raise
        return call

    def send(self, call):
        """Send the run.

        Raises
        ------
        ConnectError
            If the connection has ended.
        """
        self._is_memory_used = True
        self._context.health.request_started(self.record.upstream)
        self.sent_s = self._context.limits.now_s
        self.connection.send(call)
        self._contact = self._context.run_contacts.began(
            self.record,
            Stage.DECODE,
            gap_target_s=gap_target_s(self._active),
        )

    def take_prefill(self):
        """Return the KV cache, which this run does not use after all."""
        prefill, self.prefill = self.prefill, None
        return prefill

    def count(self):
        """Count this run, which may have begun, once."""
        if not self._is_counted:
            self._is_counted = True
            self._active.runs += 1

    async def head(self):
        """Return the head of its answer; may be called again."""
        if self._head is None:
            self._head = await self.connection.head()
        return self._head

    async def chunk(self):
        """Return the next bytes of its answer; None at its end."""
        if self._ahead:
            return self._ahead.pop(0)
        if self._is_whole_ahead:
            return None
        return await self._receive_chunk()

    async def read_ahead(self):
        """Read to the first event; returns False if the answer has none.

        What was read is returned by ``chunk`` later.  After a cancellation it
        may be called again.

        Raises
        ------
        ExchangeError
            If the run is lost.
        """
        splitter = EventSplitter()
        for data in self._ahead:
            splitter.feed(data)
        while not splitter.count and not self._is_whole_ahead:
            data = await self._receive_chunk()
            if data is None:
                self._is_whole_ahead = True
                break
            self._ahead.append(data)
            splitter.feed(data)
            if splitter.is_endless:
                raise InvalidResponseError(
                    "an event does not end",
                    phase=ExchangePhase.WITHIN_ANSWER,
                )
        return splitter.count > 0

    def end(self):
        """Release all that is still held; an answer in progress is cut."""
        if self.connection is not None:
            if self.sent_s is not None:
                self._context.health.request_ended(self.record.upstream)
            if self._contact is not None:
                self._contact.ended()
            self._context.pool.release(self.connection)
        if not self._is_memory_used:
            self._reserver.release(self.reservation)
            if self.prefill is not None:
                release_kv_cache(self._context, self.prefill)
        self._remove_accounts()

    async def _receive_chunk(self):
        self._contact.awaits()
        data = await self.connection.chunk()
        if data is not None:
            self._contact.received()
        return data

    def _add_accounts(self):
        context, active = self._context, self._active
        estimate = speed_of(context, self.record, Work.DECODE)
        active.add_step(
            StepKind.MEMORY, self.record.upstream, describe(estimate)
        )
        context.departures.record_sent(
            active, Pool.DECODE, self.record, now_s=context.now_s
        )
        tokens = self.reservation.tokens
        context.load.add(self.record.upstream, tokens)
        context.memory_turns.hold(active.organisation_name, tokens)

    def _remove_accounts(self):
        tokens = self.reservation.tokens
        self._context.load.remove(self.record.upstream, tokens)
        self._context.memory_turns.free(self._active.organisation_name, tokens)
