"""A small fake of engines and links under a manual clock.

It follows the rules of ``currantdeal.testing.engine_model`` and knows nothing
of networks, processes or membership.  Everything happens in one event loop,
so the same seed gives the same result.
"""

import heapq
from collections import deque
from itertools import count

from currantdeal.core import LoadReport
from currantdeal.testing.engine_model import PieceMemory, PrefixCache


class Loop:
    """Events in order of time; time passes only by running them."""

    def __init__(self):
        """Start at time 0 with nothing to do."""
        self.now_s = 0.0
        self._events = []
        self._order = count()

    def after(self, delay_s, action, *args):
        """Run an action some seconds from now."""
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
        """Keep the work and the length of its answer, unknown to routers."""
        self.work = work
        self.output_tokens = output_tokens
        self.tokens = 0
        self.first_s = None
        self.last_s = None
        self.done = False
        self.refused = False
        self.gone = False
        self.attempt = 0
        self.computed_tokens = 0
        self.useful_tokens = 0
        self.engines = ()


class Stream:
    """A request in the memory of a decode engine."""

    def __init__(self, *, request, pieces, grow, ended):
        """Keep what the engine calls back."""
        self.request = request
        self.key = (request.work.request_id, request.attempt)
        self.pieces = pieces
        self.grow = grow
        self.ended = ended
        self.started_tokens = 0


class FakeEngine:
    """One engine: a prefill queue, a decode batch, memory and a link.

    Parameters
    ----------
    loop : Loop
        Where its events run.
    upstream : Upstream
        What it announces.
    model : EngineModel
        How fast and large it is.
    preempts : bool
        True when a stream that finds no memory is thrown out; else it waits.
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
        """Return the load as it is now."""
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

    def prefill(self, request, ended):
        """Queue a prefill; ``ended(expires_s)`` is called when it is done."""
        self._prefills.append((request, ended))
        if not self._prefilling:
            self._next_prefill()

    def fetch(self, source, stream, expires_s, ended):
        """Import a KV cache; ``ended(True)`` when it is in memory.

        Without memory the import waits, and fails once the result expires.
        """
        self._fetches.append((source, stream, expires_s, ended))
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
        """Free what is held for a request."""
        self._streams.pop(stream_key, None)
        self.memory.release(stream_key)
        self._serve_fetches()

    def evict(self, request_id):
        """Cancel a stream and tell its router that it failed."""
        for stream in list(self._streams.values()):
            if stream.request.work.request_id == request_id:
                self.cancel(stream.key)
                self._loop.after(0.0, stream.ended, False)

    def _next_prefill(self):
        while self._prefills and self._prefills[0][0].gone:
            self._prefills.popleft()
        if not self._prefills:
            self._prefilling = False
            return
        self._prefilling = True
        request, ended = self._prefills.popleft()
        tokens = request.work.prompt_tokens
        cached = min(tokens, self.cache.match(request.work.prefix_keys))
        request.computed_tokens += tokens - cached
        took_s = self.model.prefill_s(tokens=tokens, cached_tokens=cached)
        self._loop.after(took_s, self._end_prefill, request, ended)

    def _end_prefill(self, request, ended):
        self.cache.add(request.work.prefix_keys)
        ended(self._loop.now_s + self.model.kv_expiry_s)
        self._next_prefill()

    def _serve_fetches(self):
        now_s = self._loop.now_s
        waiting = deque()
        for fetch in self._fetches:
            source, stream, expires_s, ended = fetch
            if expires_s <= now_s or stream.request.gone:
                self._loop.after(0.0, ended, False)
            elif self.memory.take(stream.key, stream.pieces):
                self._transfer(source, stream, ended)
            else:
                waiting.append(fetch)
        self._fetches = waiting

    def _transfer(self, source, stream, ended):
        now_s = self._loop.now_s
        start_s = max(now_s, source.link_free_s, self.link_free_s)
        moving_s = self.model.transfer_s(
            tokens=stream.request.work.prompt_tokens
        )
        source.link_free_s = self.link_free_s = start_s + moving_s
        self._loop.after(start_s + moving_s - now_s, ended, True)

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
        if request.gone:
            self.cancel(stream.key)
            stream.ended(False)
            return
        if not self._has_room(stream):
            if self._preempts:
                self.cancel(stream.key)
                stream.ended(False)
            return
        request.tokens += 1
        request.last_s = self._loop.now_s
        if request.first_s is None:
            request.first_s = self._loop.now_s
        if request.tokens >= request.output_tokens:
            self.cancel(stream.key)
            stream.ended(True)

    def _has_room(self, stream):
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
