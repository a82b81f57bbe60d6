"""Prefill half of the stand-in engine.

Prefills are computed one at a time, by priority; a result waits a short time
to be fetched and is then thrown away.
"""

import heapq
import itertools
import threading
import time
from dataclasses import dataclass

from currantdeal.ports import HeldMemory, PrefillRequest, PrefillResult
from currantdeal.testing.engine_messages import EventKind, Stage
from currantdeal.testing.errors import RefusedError
from currantdeal.testing.output import count_tokens


@dataclass(frozen=True, kw_only=True)
class KvResult:
    """A prefill result that waits to be fetched."""

    kv_id: str
    request_id: str
    prompt: str
    tokens: int
    done_s: float
    fence: int


@dataclass(frozen=True, kw_only=True)
class QueuedPrefill:
    """A prefill that waits or is computed; its memory is taken already."""

    kv_id: str
    request: PrefillRequest
    tokens: int
    since_s: float


class PrefillPool:
    """Computes and keeps prefill results.

    Parameters
    ----------
    profile : EngineProfile
        What the engine is built like.
    memory : SharedMemory
        Shared with the decodes.
    cache : ReportingCache
        Prompt prefixes that need no computing.
    journal : Journal
        Takes what happens.
    switch : FaultSwitch
        Faults that are set.
    """

    def __init__(self, *, profile, memory, cache, journal, switch):
        """Start with nothing queued."""
        self._model = profile.model
        self._memory = memory
        self._cache = cache
        self._journal = journal
        self._switch = switch
        self._changed = threading.Condition()
        self._tickets = itertools.count(1)
        self._turns = []
        self._queued = {}
        self._results = {}
        self._exporting = {}

    @property
    def queued(self):
        """Number of prefills that wait or are computed."""
        return len(self._turns)

    @property
    def queued_tokens(self):
        """Prompt tokens that wait or are computed."""
        with self._changed:
            return sum(queued.tokens for queued in self._queued.values())

    def run(self, request):
        """Compute a KV cache when its turn comes, and keep the result."""
        tokens = count_tokens(request.prompt)
        ticket = (-request.priority, next(self._tickets))
        queued = QueuedPrefill(
            kv_id=f"{request.request_id}.{ticket[1]}",
            request=request,
            tokens=tokens,
            since_s=time.monotonic(),
        )
        self._memory.take(queued.kv_id, self._model.pieces(tokens))
        try:
            cached = self._wait_and_compute(ticket, queued)
        except RefusedError:
            self._memory.release(queued.kv_id)
            raise
        return PrefillResult(
            kv_id=queued.kv_id,
            prompt_tokens=tokens,
            cached_tokens=cached,
            expires_in_s=self._model.kv_expiry_s,
        )

    def take(self, kv_id):
        """Return a result for export; it no longer expires."""
        with self._changed:
            result = self._results.pop(kv_id, None)
            if result is None:
                raise RefusedError(410, "kv-expired")
            self._exporting[kv_id] = result
        return result

    def is_exporting(self, kv_id):
        """Return whether the export goes on; a cancel ends it."""
        return kv_id in self._exporting

    def end_export(self, result, *, sent):
        """Free a result that was fetched, or whose fetch was cut off."""
        with self._changed:
            known = self._exporting.pop(result.kv_id, None)
        if known is not None:
            kind = EventKind.EXPORT if sent else EventKind.KV_EXPIRED
            self._free(result, kind)

    def expire(self):
        """Throw away results that waited too long."""
        oldest_s = time.monotonic() - self._model.kv_expiry_s
        self._drop(lambda result: result.done_s <= oldest_s)

    def cancel(self, request_id):
        """Drop queued prefills and results; return whether there were any."""
        with self._changed:
            tickets = [
                ticket
                for ticket, queued in self._queued.items()
                if queued.request.request_id == request_id
            ]
            for ticket in tickets:
                del self._queued[ticket]
            self._changed.notify_all()
            exports = [
                result
                for result in self._exporting.values()
                if result.request_id == request_id
            ]
        for result in exports:
            self.end_export(result, sent=False)
        dropped = self._drop(lambda result: result.request_id == request_id)
        return bool(tickets or exports) or dropped

    def held(self):
        """Return what is held for prefills and for their results."""
        with self._changed:
            queued = list(self._queued.values())
            results = [*self._results.values(), *self._exporting.values()]
        return [
            *(
                self._held(one.kv_id, one.request, one.since_s)
                for one in queued
            ),
            *(self._held(one.kv_id, one, one.done_s) for one in results),
        ]

    def _held(self, kv_id, request, since_s):
        return HeldMemory(
            request_id=request.request_id,
            pieces=self._memory.held_by(kv_id),
            age_s=time.monotonic() - since_s,
            fence=request.fence,
        )

    def _wait_and_compute(self, ticket, queued):
        self._enqueue(ticket, queued)
        try:
            self._await_turn(ticket)
            self._switch.maybe_die(Stage.PREFILL)
            prompt = queued.request.prompt
            found = self._cache.use(prompt, time.monotonic())
            cached = min(found, queued.tokens - 1)
            self._compute(ticket, queued, cached)
        finally:
            self._leave(ticket)
        return cached

    def _compute(self, ticket, queued, cached):
        time_s = self._time_s(queued.tokens, cached)
        started_s = time.monotonic()
        with self._changed:
            cancelled = self._changed.wait_for(
                lambda: ticket not in self._queued, timeout=time_s
            )
            if not cancelled:
                self._keep(self._queued.pop(ticket))
        share = min(1.0, (time.monotonic() - started_s) / time_s)
        computed = round((queued.tokens - cached) * share)
        self._note(EventKind.PREFILL, queued.request, computed)
        if cancelled:
            self._note(EventKind.KV_EXPIRED, queued.request, computed)
            raise RefusedError(404, "unknown-request", "cancelled")

    def _keep(self, queued):
        self._results[queued.kv_id] = KvResult(
            kv_id=queued.kv_id,
            request_id=queued.request.request_id,
            prompt=queued.request.prompt,
            tokens=queued.tokens,
            done_s=time.monotonic(),
            fence=queued.request.fence,
        )

    def _time_s(self, tokens, cached):
        plain_s = self._model.prefill_s(tokens=tokens, cached_tokens=cached)
        return plain_s * self._switch.faults.slow_factor

    def _enqueue(self, ticket, queued):
        with self._changed:
            heapq.heappush(self._turns, ticket)
            self._queued[ticket] = queued

    def _await_turn(self, ticket):
        with self._changed:
            self._changed.wait_for(
                lambda: self._turns[0] == ticket or ticket not in self._queued
            )
            if ticket not in self._queued:
                raise RefusedError(404, "unknown-request", "cancelled")

    def _leave(self, ticket):
        with self._changed:
            self._queued.pop(ticket, None)
            self._turns.remove(ticket)
            heapq.heapify(self._turns)
            self._changed.notify_all()

    def _drop(self, matches):
        with self._changed:
            dropped = [res for res in self._results.values() if matches(res)]
            for result in dropped:
                del self._results[result.kv_id]
        for result in dropped:
            self._free(result, EventKind.KV_EXPIRED)
        return bool(dropped)

    def _free(self, result, kind):
        self._memory.release(result.kv_id)
        self._note(kind, result, result.tokens)

    def _note(self, kind, request, tokens):
        self._journal.note(
            kind,
            request_id=request.request_id,
            tokens=tokens,
            fence=request.fence,
        )
