"""Freeing what a request held, off the path of its answer.

A caller's final answer never waits for a cancel to reach an engine.
"""

import threading
from collections import deque
from dataclasses import dataclass

from currantdeal.core import CurrantdealError, RequestId, Upstream

WORKERS = 8
"""Threads, so that a few silent engines do not hold up the others."""

TRIES = 5
PAUSE_S = 0.2
"""Five tries over a second and more; after that the home, which sees what
the engine holds, cancels what no instance claims."""


@dataclass(frozen=True, kw_only=True)
class _Cancel:
    upstream: Upstream
    request_id: RequestId
    grant: object
    tries_left: int = TRIES


class Cleaner:
    """Cancels at engines and gives grants back, on threads of its own.

    Parameters
    ----------
    engines : EnginePort
        Where to cancel.
    homes : HomesPort
        Where grants are given back.
    clock : Clock
        Paces repeated tries.
    metrics : MetricsPort
        Counts cancels and those that failed.
    """

    def __init__(self, *, engines, homes, clock, metrics):
        """Start no thread before there is something to do."""
        self._engines = engines
        self._homes = homes
        self._clock = clock
        self._metrics = metrics
        self._jobs = deque()
        self._ready = threading.Condition()
        self._idle = 0
        self._started = 0
        self._busy = 0

    def cancel(self, upstream, request_id, grant=None):
        """Free what an engine holds for a request, then its grant."""
        job = _Cancel(upstream=upstream, request_id=request_id, grant=grant)
        self._put(job)

    def release(self, grant):
        """Give back a grant under which nothing was sent."""
        self._put(_Cancel(upstream=None, request_id="", grant=grant))

    def wait_idle(self, *, timeout_s):
        """Return whether everything was freed within the timeout."""
        with self._ready:
            return self._ready.wait_for(self._is_idle, timeout=timeout_s)

    def _is_idle(self):
        return not self._jobs and not self._busy

    def _put(self, job):
        with self._ready:
            self._jobs.append(job)
            if len(self._jobs) > self._idle and self._started < WORKERS:
                self._started += 1
                threading.Thread(
                    target=self._work, name="cleaner", daemon=True
                ).start()
            self._ready.notify_all()

    def _work(self):
        while True:
            with self._ready:
                self._idle += 1
                self._ready.wait_for(lambda: self._jobs)
                self._idle -= 1
                job = self._jobs.popleft()
                self._busy += 1
            try:
                self._do(job)
            finally:
                with self._ready:
                    self._busy -= 1
                    self._ready.notify_all()

    def _do(self, job):
        if job.upstream is not None:
            self._cancel(job)
        if job.grant is not None:
            self._homes.release(job.grant)

    def _cancel(self, job):
        for _ in range(job.tries_left):
            try:
                self._engines.cancel(job.upstream, job.request_id)
            except CurrantdealError:
                self._clock.sleep(PAUSE_S)
            else:
                self._metrics.add("engine_cancels_total")
                return
        self._metrics.add("engine_cancels_failed_total")
