"""A plain router to compare with.

Random among the matching engines, first come, first served, no reservation,
no admission, retry on error.
"""

from benchmarks.fake import Stream
from currantdeal.core import Role

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 0.05


class Baseline:
    """Routes as described above.

    Parameters
    ----------
    loop : Loop
        Where events run.
    engines : dict
        Fake engines by upstream id.
    rng : random.Random
        Draws the engines.
    """

    preempts = True

    def __init__(self, *, scenario, loop, engines, rng):
        """Sort the engines by role."""
        self._loop = loop
        self._rng = rng
        self._prefills = _with_role(engines, Role.PREFILL)
        self._decodes = _with_role(engines, Role.DECODE)

    def arrive(self, request):
        """Send a request on at once."""
        self._attempt(request)

    def hang_up(self, request):
        """Cancel what runs for a caller that is gone."""
        for engine in request.engines:
            engine.cancel((request.work.request_id, request.attempt))

    def _attempt(self, request):
        if request.gone:
            return
        request.attempt += 1
        request.tokens = 0
        source = self._rng.choice(self._prefills)
        target = self._rng.choice(self._decodes)
        request.engines = (source, target)
        before = request.computed_tokens

        def prefilled(expires_s):
            self._fetch(request, source, target, expires_s, before)

        source.prefill(request, prefilled)

    def _fetch(self, request, source, target, expires_s, before):
        work = request.work
        stream = Stream(
            request=request,
            pieces=target.model.pieces(work.prompt_tokens + 1),
            grow=lambda: True,
            ended=lambda whole: self._ended(request, whole, before),
        )

        def fetched(arrived):
            if arrived and not request.gone:
                target.decode(stream)
            else:
                target.cancel(stream.key)
                self._retry(request)

        target.fetch(source, stream, expires_s, fetched)

    def _ended(self, request, whole, before):
        if whole:
            request.done = True
            request.useful_tokens = request.computed_tokens - before
        else:
            self._retry(request)

    def _retry(self, request):
        if request.gone:
            return
        if request.attempt >= MAX_ATTEMPTS:
            request.refused = True
            return
        self._loop.after(RETRY_DELAY_S, self._attempt, request)


def _with_role(engines, role):
    return [eng for eng in engines.values() if role in eng.upstream.roles]
