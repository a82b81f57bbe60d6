"""Simulates engines and links under a manual clock.

The simulation follows the rules of ``currantdeal.testing.engine_model`` and
has no networks, processes or membership.  All events run in one loop, so the
same seed gives the same result.
"""

import heapq
from collections import deque
from itertools import count

from currantdeal.core import LoadReport
from currantdeal.testing.engine_model import PieceMemory, PrefixCache


class EventLoop:
    """Runs events in order of time; time advances only from event to event."""

    def __init__(self):
        """Start at time 0 without events."""
        self.now_s = 0.0
        self._events = []
        self._order = count()

    def after(self, delay_s, action, *args):
        """Schedule an action some seconds from now."""
        due_s = self.now_s + max(0.0, delay_s)
        heapq.heappush(self._events, (due_s, next(self._order), action, args))

    def run(self, until_s):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now_s = until_s


class Request:
    """One request as its caller and the engines see it."""

    def __init__(self, *, work, output_tokens):
        """Store the work and the length of its answer, hidden from routers."""
        self.work = work
        self.output_tokens = output_tokens
        self.tokens = 0
        self.first_s = None
        self.last_s = None
        self.done = False
        self.refused = False
        self.cancelled = False
        self.attempt = 0
        self.computed_tokens = 0
        self.useful_tokens = 0
        self.engines = ()


class Stream:
    """A request in the memory of a decode engine."""

    def __init__(self, *, request, pieces, grow, on_end):
        """Store the request and the callbacks of the router."""
        self.request = request
        self.key = (request.work.request_id, request.attempt)
        self.pieces = pieces
        self.grow = grow
        self.on_end = on_end
        self.started_tokens = 0


class FakeEngine:
    """One engine: a prefill queue, a decode batch, memory and a link.

    Parameters
    ----------
    loop : EventLoop
        Loop that runs its events.
    upstream : Upstream
        Its announcement.
    model : EngineModel
        Its speed and memory.
    preempts : bool
        True to end a stream for which no memory is left; else it waits.
    """

    def __init__(self, *, loop, upstream, model, preempts=False):
        """Start idle."""
        self.upstream = upstream
        self.model = model
        self.memory = PieceMemory(pieces_total=model.pieces_total)
        self.cache = PrefixCache(blocks=model.cache_blocks)
        self.link_free_s = 0.0
        self.wasted_s = 0.0
        self._loop = loop
        self._preempts = preempts
        self._prefills = deque()
        self._prefilling = False
        self._streams = {}
        self._stepping = False
        self._fetches = deque()

    def report(self):
        """Return a report of the current load."""
        return LoadReport(
            upstream_id=self.upstream.upstream_id,
            incarnation=1,
            running=len(self._streams),
            queued=len(self._prefills),
            queued_tokens=sum(
                request.work.prompt_tokens for request, _ in self._prefills
            ),
            pieces_free=self.memory.free,
            step_s=self.model.step_s(batch=max(1, len(self._streams))),
            prefill_tokens_per_s=self.model.prefill_tokens_per_s
            / self.model.slowdown,
            cached_prefixes=self.cache.keys,
        )

    def prefill(self, request, on_end):
        """Queue a prefill; ``on_end(expires_s)`` is called when it is done."""
        self._prefills.append((request, on_end))
        if not self._prefilling:
            self._next_prefill()

    def fetch(self, source, stream, expires_s, on_end):
        """Import a KV cache; ``on_end(True)`` is called once it is in memory.

        Without free memory the import waits.  It fails with ``on_end(False)``
        when the prefill result expires.
        """
        self._fetches.append((source, stream, expires_s, on_end))
        self._loop.after(
            expires_s - self._loop.now_s + 1e-6, self._serve_fetches
        )
        self._serve_fetches()

    def decode(self, stream):
        """Start to generate from an imported KV cache."""
        stream.started_tokens = stream.request.tokens
        self._streams[stream.key] = stream
        if not self._stepping:
            self._begin_step()

    def cancel(self, stream_key):
        """Free the memory of a request."""
        self._streams.pop(stream_key, None)
        self.memory.release(stream_key)
        self._serve_fetches()

    def evict(self, request_id):
        """Cancel a stream and report its failure to the router."""
        for stream in list(self._streams.values()):
            if stream.request.work.request_id == request_id:
                self.cancel(stream.key)
                self._loop.after(0.0, stream.on_end, False)

    def _next_prefill(self):
        while self._prefills and self._prefills[0][0].cancelled:
            self._prefills.popleft()
        if not self._prefills:
            self._prefilling = False
            return
        self._prefilling = True
        request, on_end = self._prefills.popleft()
        tokens = request.work.prompt_tokens
        cached = min(tokens, self.cache.match(request.work.prefix_keys))
        request.computed_tokens += tokens - cached
        took_s = self.model.prefill_s(tokens=tokens, cached_tokens=cached)
        self._loop.after(took_s, self._end_prefill, request, on_end)

    def _end_prefill(self, request, on_end):
        self.cache.add(request.work.prefix_keys)
        on_end(self._loop.now_s + self.model.kv_expiry_s)
        self._next_prefill()

    def _serve_fetches(self):
        now_s = self._loop.now_s
        waiting = deque()
        for fetch in self._fetches:
            source, stream, expires_s, on_end = fetch
            if expires_s <= now_s or stream.request.cancelled:
                self._loop.after(0.0, on_end, False)
            elif self.memory.take(stream.key, stream.pieces):
                self._transfer(source, stream, on_end)
            else:
                waiting.append(fetch)
        self._fetches = waiting

    def _transfer(self, source, stream, on_end):
        now_s = self._loop.now_s
        start_s = max(now_s, source.link_free_s, self.link_free_s)
        transfer_s = self.model.transfer_s(
            tokens=stream.request.work.prompt_tokens
        )
        source.link_free_s = self.link_free_s = start_s + transfer_s
        self._loop.after(start_s + transfer_s - now_s, on_end, True)

    def _begin_step(self):
        self._stepping = bool(self._streams)
        if self._stepping:
            took_s = self.model.step_s(batch=len(self._streams))
            self._loop.after(took_s, self._end_step)

    def _end_step(self):
        for stream in list(self._streams.values()):
            self._advance(stream)
        self._begin_step()

    def _advance(self, stream):
        request = stream.request
        if stream.key not in self._streams:
            return
        if request.cancelled:
            self.cancel(stream.key)
            stream.on_end(False)
            return
        if not self._has_memory(stream):
            if self._preempts:
                self.cancel(stream.key)
                stream.on_end(False)
            return
        request.tokens += 1
        request.last_s = self._loop.now_s
        if request.first_s is None:
            request.first_s = self._loop.now_s
        if request.tokens >= request.output_tokens:
            self.cancel(stream.key)
            stream.on_end(True)

    def _has_memory(self, stream):
        request = stream.request
        needed = self.model.pieces(
            request.work.prompt_tokens + request.tokens + 1
        )
        if needed <= stream.pieces:
            return True
        if not stream.grow() or not self.memory.take(stream.key, 1):
            return False
        stream.pieces += 1
        return True
