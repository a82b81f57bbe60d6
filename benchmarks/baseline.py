"""Implements a plain router as the baseline of comparisons.

It picks a random matching engine, serves first come, first served, reserves
nothing, has no admission control and retries on error.
"""

from benchmarks.fake import Stream
from currantdeal.core import Role

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05


class Baseline:
    """Routes requests to random engines.

    Parameters
    ----------
    loop : EventLoop
        Loop that runs all events.
    engines : dict
        Fake engines by upstream id.
    rng : random.Random
        Draws the engines.
    """

    preempts = True

    def __init__(self, *, scenario, loop, engines, rng):
        """Group the engines by role."""
        self._loop = loop
        self._rng = rng
        self._prefills = _with_role(engines, Role.PREFILL)
        self._decodes = _with_role(engines, Role.DECODE)

    def receive(self, request):
        """Send a request to engines immediately."""
        self._attempt(request)

    def cancel(self, request):
        """Cancel a request whose caller has given up."""
        for engine in request.engines:
            engine.cancel((request.work.request_id, request.attempt))

    def _attempt(self, request):
        if request.cancelled:
            return
        request.attempt += 1
        request.tokens = 0
        source = self._rng.choice(self._prefills)
        target = self._rng.choice(self._decodes)
        request.engines = (source, target)
        computed_before = request.computed_tokens

        def prefilled(expires_s):
            self._fetch(request, source, target, expires_s, computed_before)

        source.prefill(request, prefilled)

    def _fetch(self, request, source, target, expires_s, computed_before):
        work = request.work
        stream = Stream(
            request=request,
            pieces=target.model.pieces(work.prompt_tokens + 1),
            grow=lambda: True,
            on_end=lambda whole: self._on_end(request, whole, computed_before),
        )

        def fetched(arrived):
            if arrived and not request.cancelled:
                target.decode(stream)
            else:
                target.cancel(stream.key)
                self._retry(request)

        target.fetch(source, stream, expires_s, fetched)

    def _on_end(self, request, whole, computed_before):
        if whole:
            request.done = True
            request.useful_tokens = request.computed_tokens - computed_before
        else:
            self._retry(request)

    def _retry(self, request):
        if request.cancelled:
            return
        if request.attempt >= MAX_ATTEMPTS:
            request.refused = True
            return
        self._loop.after(RETRY_DELAY_S, self._attempt, request)


def _with_role(engines, role):
    return [eng for eng in engines.values() if role in eng.upstream.roles]
