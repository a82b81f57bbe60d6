"""Provide fake implementations of the upstream ports and a manual clock.

They run in the test process and follow a script that the test sets.
"""

import threading
from dataclasses import dataclass

from currantdeal.core import Ran, UpstreamRefusedError
from currantdeal.ports import OutputChunk, PrefillResult, ServiceAnswer


class ManualClock:
    """Clock that advances only when ``sleep`` is called."""

    def __init__(self, *, now_s=100.0):
        """Set the start time."""
        self._now_s = now_s
        self._lock = threading.Lock()

    def monotonic_s(self):
        """Return the current time of this clock."""
        return self._now_s

    def wall_s(self):
        """Return the time of this clock as if it were since the epoch."""
        return self._now_s

    def sleep(self, seconds):
        """Advance the clock without waiting."""
        with self._lock:
            self._now_s += seconds


@dataclass(frozen=True, kw_only=True)
class RecordedCall:
    """One call that a fake received."""

    name: str
    upstream_id: str
    request_id: str = ""
    offset: int = 0


class FakeEngines:
    """Fake ``ports.EnginePort`` that follows scripts.

    Parameters
    ----------
    tokens : int
        Length of every output that is not scripted.
    """

    def __init__(self, *, tokens=3):
        """Create a fake on which every call succeeds at once."""
        self.tokens = tokens
        self.sent = []
        self.cancelled = []
        self.prefill_steps = []
        self.import_steps = []
        self.decode_scripts = []

    def names(self):
        """Return the names of the received calls, in order."""
        return [call.name for call in self.sent]

    def prefill(self, upstream, request, *, timeout_s):
        """Run the next scripted step, or succeed."""
        self._record("prefill", upstream, request)
        _run_next_step(self.prefill_steps)
        return PrefillResult(
            kv_id=f"kv-{request.request_id}",
            prompt_tokens=4,
            cached_tokens=0,
            expires_in_s=0.6,
        )

    def import_kv(self, upstream, request, *, timeout_s):
        """Run the next scripted step, or succeed."""
        self._record("import", upstream, request)
        _run_next_step(self.import_steps)

    def decode(self, upstream, request, *, silence_s):
        """Yield the next scripted output, or a complete one."""
        self._record("decode", upstream, request)
        if self.decode_scripts:
            script = self.decode_scripts.pop(0)
        else:
            script = output(request.offset, self.tokens)
        for step in script:
            if isinstance(step, OutputChunk):
                yield step
            else:
                _run_next_step([step])

    def cancel(self, upstream, request_id):
        """Record the cancellation."""
        self.cancelled.append((upstream.upstream_id, request_id))

    def held(self, upstream):
        """Return that nothing is held."""
        return ()

    def order(self, upstream, order, fence):
        """Raise ``UpstreamRefusedError``, as orders are not implemented."""
        raise UpstreamRefusedError("the fake accepts no orders", ran=Ran.NO)

    def _record(self, name, upstream, request):
        self.sent.append(
            RecordedCall(
                name=name,
                upstream_id=upstream.upstream_id,
                request_id=request.request_id,
                offset=getattr(request, "offset", 0),
            )
        )


class FakeServices:
    """Fake ``ports.ServicePort`` that returns 201 after its script."""

    def __init__(self):
        """Create a fake without received calls or script."""
        self.sent = []
        self.script = []

    def call(self, upstream, call, *, timeout_s):
        """Run the next scripted step; return the number of calls so far."""
        self.sent.append(
            RecordedCall(name=call.method, upstream_id=upstream.upstream_id)
        )
        number = len(self.sent)
        _run_next_step(self.script)
        return ServiceAnswer(status=201, body=f"run {number}".encode())


def output(start, end):
    """Return the chunks from ``start`` to ``end``, and the last chunk."""
    chunks = [
        OutputChunk(offset=at, text=f"t{at} ") for at in range(start, end)
    ]
    return [*chunks, OutputChunk(offset=end, finish_reason="stop")]


def _run_next_step(script):
    """Raise the next error, or call the next function, of a script."""
    if not script:
        return
    step = script.pop(0)
    if isinstance(step, Exception):
        raise step
    if step is not None:
        step()
