"""Fakes at the ports of upstreams, and a clock that tests set.

They run in the test's own process and do what a test scripted.
"""

import threading
from dataclasses import dataclass

from currantdeal.core import Ran, UpstreamRefusedError
from currantdeal.ports import OutputChunk, PrefillResult, ServiceAnswer


class ManualClock:
    """Clock that only moves when it is told to, or slept on."""

    def __init__(self, *, now_s=100.0):
        """Start at a time."""
        self._now_s = now_s
        self._lock = threading.Lock()

    def monotonic_s(self):
        """Return the time set."""
        return self._now_s

    def wall_s(self):
        """Return the time set, as if since the epoch."""
        return self._now_s

    def sleep(self, seconds):
        """Move on by the time slept."""
        with self._lock:
            self._now_s += seconds


@dataclass(frozen=True, kw_only=True)
class Sent:
    """One call that reached a fake."""

    name: str
    upstream_id: str
    request_id: str = ""
    offset: int = 0


class FakeEngines:
    """Implements ``ports.EnginePort`` by scripts.

    Parameters
    ----------
    tokens : int
        Length of every output, unless a script says otherwise.
    """

    def __init__(self, *, tokens=3):
        """Do everything right and at once."""
        self.tokens = tokens
        self.sent = []
        self.cancelled = []
        self.on_prefill = []
        self.on_import = []
        self.decodes = []

    def names(self):
        """Return the names of the calls so far, in order."""
        return [each.name for each in self.sent]

    def prefill(self, upstream, request, *, timeout_s):
        """Do the next scripted thing, or succeed."""
        self._note("prefill", upstream, request)
        _play(self.on_prefill)
        return PrefillResult(
            kv_id=f"kv-{request.request_id}",
            prompt_tokens=4,
            cached_tokens=0,
            expires_in_s=0.6,
        )

    def import_kv(self, upstream, request, *, timeout_s):
        """Do the next scripted thing, or succeed."""
        self._note("import", upstream, request)
        _play(self.on_import)

    def decode(self, upstream, request, *, silence_s):
        """Yield the next scripted output, or a whole one."""
        self._note("decode", upstream, request)
        if self.decodes:
            script = self.decodes.pop(0)
        else:
            script = output(request.offset, self.tokens)
        for step in script:
            if isinstance(step, OutputChunk):
                yield step
            else:
                _play([step])

    def cancel(self, upstream, request_id):
        """Write it down."""
        self.cancelled.append((upstream.upstream_id, request_id))

    def held(self, upstream):
        """Hold nothing."""
        return ()

    def order(self, upstream, order, fence):
        """Refuse."""
        raise UpstreamRefusedError("no orders here", ran=Ran.NO)

    def _note(self, name, upstream, request):
        self.sent.append(
            Sent(
                name=name,
                upstream_id=upstream.upstream_id,
                request_id=request.request_id,
                offset=getattr(request, "offset", 0),
            )
        )


class FakeServices:
    """Implements ``ports.ServicePort``; scripted answers, then 201."""

    def __init__(self):
        """Run nothing yet."""
        self.sent = []
        self.script = []

    def call(self, upstream, call, *, timeout_s):
        """Do the next scripted thing, or answer with a count."""
        self.sent.append(
            Sent(name=call.method, upstream_id=upstream.upstream_id)
        )
        number = len(self.sent)
        _play(self.script)
        return ServiceAnswer(status=201, body=f"run {number}".encode())


def output(start, end):
    """Return the chunks of an output from one offset, and its end."""
    chunks = [
        OutputChunk(offset=at, text=f"t{at} ") for at in range(start, end)
    ]
    return [*chunks, OutputChunk(offset=end, finish_reason="stop")]


def _play(script):
    """Raise the next error, or call the next function, of a script."""
    if not script:
        return
    step = script.pop(0)
    if isinstance(step, Exception):
        raise step
    if step is not None:
        step()
