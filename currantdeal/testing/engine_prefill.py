"""Prefill half of the stand-in engine.

Prefills are computed one at a time, by priority; a result waits a short time
to be fetched and is then thrown away.
"""

import heapq
import itertools
import threading
import time
from dataclasses import dataclass

from currantdeal.ports import HeldMemory, PrefillResult
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
            return sum(count_tokens(req.prompt) for req in self._in_order())

    def run(self, request):
        """Compute a KV cache when its turn comes, and keep the result."""
        tokens = count_tokens(request.prompt)
        ticket = (-request.priority, next(self._tickets))
        kv_id = f"{request.request_id}.{ticket[1]}"
        self._memory.take(kv_id, self._model.pieces(tokens))
        try:
            cached = self._wait_and_compute(ticket, request, tokens)
        except RefusedError:
            self._memory.release(kv_id)
            raise
        result = KvResult(
            kv_id=kv_id,
            request_id=request.request_id,
            prompt=request.prompt,
            tokens=tokens,
            done_s=time.monotonic(),
            fence=request.fence,
        )
        with self._changed:
            self._results[kv_id] = result
        return PrefillResult(
            kv_id=kv_id,
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
                for ticket, req in self._queued.items()
                if req.request_id == request_id
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
        """Return what is held for results."""
        now_s = time.monotonic()
        with self._changed:
            results = [*self._results.values(), *self._exporting.values()]
        return [
            HeldMemory(
                request_id=result.request_id,
                pieces=self._memory.held_by(result.kv_id),
                age_s=now_s - result.done_s,
                fence=result.fence,
            )
            for result in results
        ]

    def _wait_and_compute(self, ticket, request, tokens):
        self._enqueue(ticket, request)
        try:
            self._await_turn(ticket)
            self._switch.maybe_die(Stage.PREFILL)
            found = self._cache.use(request.prompt, time.monotonic())
            cached = min(found, tokens - 1)
            time.sleep(self._time_s(tokens, cached))
            self._journal.note(
                EventKind.PREFILL,
                request_id=request.request_id,
                tokens=tokens - cached,
                fence=request.fence,
            )
            self._refuse_if_cancelled(ticket, tokens - cached)
        finally:
            self._leave(ticket)
        return cached

    def _time_s(self, tokens, cached):
        plain_s = self._model.prefill_s(tokens=tokens, cached_tokens=cached)
        return plain_s * self._switch.faults.slow_factor

    def _enqueue(self, ticket, request):
        with self._changed:
            heapq.heappush(self._turns, ticket)
            self._queued[ticket] = request

    def _await_turn(self, ticket):
        with self._changed:
            self._changed.wait_for(
                lambda: self._turns[0] == ticket or ticket not in self._queued
            )
            if ticket not in self._queued:
                raise RefusedError(404, "unknown-request", "cancelled")

    def _refuse_if_cancelled(self, ticket, computed):
        with self._changed:
            request = self._queued.get(ticket)
        if request is None:
            self._journal.note(EventKind.KV_EXPIRED, tokens=computed)
            raise RefusedError(404, "unknown-request", "cancelled")

    def _leave(self, ticket):
        with self._changed:
            self._queued.pop(ticket, None)
            self._turns.remove(ticket)
            heapq.heapify(self._turns)
            self._changed.notify_all()

    def _in_order(self):
        return [self._queued[t] for t in self._turns if t in self._queued]

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
        self._journal.note(
            kind,
            request_id=result.request_id,
            tokens=result.tokens,
            fence=result.fence,
        )
