"""Simulate prefill: a priority queue that computes one prompt at a time.

A result that is not fetched within a short time is discarded.
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
    """A prefill result that another engine can fetch."""

    kv_id: str
    request_id: str
    prompt: str
    tokens: int
    completed_at_s: float
    fence: int


@dataclass(frozen=True, kw_only=True)
class QueuedPrefill:
    """A prefill that waits or is computed; its memory is reserved."""

    kv_id: str
    request: PrefillRequest
    tokens: int
    queued_at_s: float


class PrefillPool:
    """Computes and keeps prefill results.

    Parameters
    ----------
    profile : EngineProfile
        Configuration of the engine.
    memory : SharedMemory
        Memory of the engine, shared with the decode batch.
    cache : ReportingCache
        Prompt prefixes that need not be computed again.
    journal : Journal
        Records the events of prefills and exports.
    fault_injector : FaultInjector
        Current fault settings.
    """

    def __init__(self, *, profile, memory, cache, journal, fault_injector):
        """Start with nothing queued."""
        self._model = profile.model
        self._memory = memory
        self._cache = cache
        self._journal = journal
        self._fault_injector = fault_injector
        self._changed = threading.Condition()
        self._tickets = itertools.count(1)
        self._ticket_heap = []
        self._queued = {}
        self._results = {}
        self._exporting = {}

    @property
    def queued(self):
        """Number of prefills that wait or are being computed."""
        return len(self._ticket_heap)

    @property
    def queued_tokens(self):
        """Prompt tokens that wait or are being computed."""
        with self._changed:
            return sum(queued.tokens for queued in self._queued.values())

    def run(self, request):
        """Wait in the queue, compute a KV cache and keep the result."""
        tokens = count_tokens(request.prompt)
        ticket = (-request.priority, next(self._tickets))
        queued = QueuedPrefill(
            kv_id=f"{request.request_id}.{ticket[1]}",
            request=request,
            tokens=tokens,
            queued_at_s=time.monotonic(),
        )
        self._memory.allocate(queued.kv_id, self._model.pieces(tokens))
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

    def start_export(self, kv_id):
        """Return a result for export and stop its expiry."""
        with self._changed:
            result = self._results.pop(kv_id, None)
            if result is None:
                raise RefusedError(410, "kv-expired")
            self._exporting[kv_id] = result
        return result

    def is_exporting(self, kv_id):
        """Return whether the export is still active; a cancel ends it."""
        return kv_id in self._exporting

    def end_export(self, result, *, sent):
        """Release a result whose fetch completed or was interrupted."""
        with self._changed:
            exported = self._exporting.pop(result.kv_id, None)
        if exported is not None:
            kind = EventKind.EXPORT if sent else EventKind.KV_EXPIRED
            self._release(result, kind)

    def expire(self):
        """Discard results older than ``kv_expiry_s``."""
        oldest_s = time.monotonic() - self._model.kv_expiry_s
        self._discard(lambda result: result.completed_at_s <= oldest_s)

    def cancel(self, request_id):
        """Remove queued prefills and results; return whether any existed."""
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
        discarded = self._discard(
            lambda result: result.request_id == request_id
        )
        return bool(tickets or exports) or discarded

    def held(self):
        """Return the memory held for prefills and their results."""
        with self._changed:
            queued = list(self._queued.values())
            results = [*self._results.values(), *self._exporting.values()]
        return [
            *(
                self._held(prefill.kv_id, prefill.request, prefill.queued_at_s)
                for prefill in queued
            ),
            *(
                self._held(result.kv_id, result, result.completed_at_s)
                for result in results
            ),
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
            self._fault_injector.crash_if_set(Stage.PREFILL)
            prompt = queued.request.prompt
            matched = self._cache.use(prompt, time.monotonic())
            cached = min(matched, queued.tokens - 1)
            self._compute(ticket, queued, cached)
        finally:
            self._dequeue(ticket)
        return cached

    def _compute(self, ticket, queued, cached):
        time_s = self._compute_time_s(queued.tokens, cached)
        started_s = time.monotonic()
        with self._changed:
            cancelled = self._changed.wait_for(
                lambda: ticket not in self._queued, timeout=time_s
            )
            if not cancelled:
                self._store_result(self._queued.pop(ticket))
        fraction = min(1.0, (time.monotonic() - started_s) / time_s)
        computed = round((queued.tokens - cached) * fraction)
        self._record(EventKind.PREFILL, queued.request, computed)
        if cancelled:
            self._record(EventKind.KV_EXPIRED, queued.request, computed)
            raise RefusedError(404, "unknown-request", "cancelled")

    def _store_result(self, queued):
        self._results[queued.kv_id] = KvResult(
            kv_id=queued.kv_id,
            request_id=queued.request.request_id,
            prompt=queued.request.prompt,
            tokens=queued.tokens,
            completed_at_s=time.monotonic(),
            fence=queued.request.fence,
        )

    def _compute_time_s(self, tokens, cached):
        unscaled_s = self._model.prefill_s(tokens=tokens, cached_tokens=cached)
        return unscaled_s * self._fault_injector.faults.slow_factor

    def _enqueue(self, ticket, queued):
        with self._changed:
            heapq.heappush(self._ticket_heap, ticket)
            self._queued[ticket] = queued

    def _await_turn(self, ticket):
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self._ticket_heap[0] == ticket
                    or ticket not in self._queued
                )
            )
            if ticket not in self._queued:
                raise RefusedError(404, "unknown-request", "cancelled")

    def _dequeue(self, ticket):
        with self._changed:
            self._queued.pop(ticket, None)
            self._ticket_heap.remove(ticket)
            heapq.heapify(self._ticket_heap)
            self._changed.notify_all()

    def _discard(self, matches):
        with self._changed:
            discarded = [
                result for result in self._results.values() if matches(result)
            ]
            for result in discarded:
                del self._results[result.kv_id]
        for result in discarded:
            self._release(result, EventKind.KV_EXPIRED)
        return bool(discarded)

    def _release(self, result, kind):
        self._memory.release(result.kv_id)
        self._record(kind, result, result.tokens)

    def _record(self, kind, request, tokens):
        self._journal.record(
            kind,
            request_id=request.request_id,
            tokens=tokens,
            fence=request.fence,
        )
