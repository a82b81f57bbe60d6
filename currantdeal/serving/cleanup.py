"""Frees the resources of ended requests in the background.

A caller's final answer never waits for a cancel request to an engine.
"""

import threading
from collections import deque
from dataclasses import dataclass

from currantdeal.core import CurrantdealError, RequestId, Upstream

MAX_WORKERS = 8
"""Number of threads; several prevent head-of-line blocking by a few
unresponsive engines."""

MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
"""Five attempts take a second or more.  After that the home, which lists what
the engine holds, cancels whatever no instance claims."""


@dataclass(frozen=True, kw_only=True)
class _CleanupJob:
    upstream: Upstream
    request_id: RequestId
    grant: object
    attempts: int = MAX_ATTEMPTS


class Cleaner:
    """Cancels requests at engines and releases grants, in its own threads.

    Parameters
    ----------
    engines : EnginePort
        Where requests are cancelled.
    homes : HomesPort
        Where grants are released.
    clock : Clock
        Delays retries.
    metrics : MetricsPort
        Counts successful and failed cancels.
    """

    def __init__(self, *, engines, homes, clock, metrics):
        """Start without threads; the first job starts one."""
        self._engines = engines
        self._homes = homes
        self._clock = clock
        self._metrics = metrics
        self._jobs = deque()
        self._ready = threading.Condition()
        self._idle_workers = 0
        self._started_workers = 0
        self._busy_workers = 0

    def cancel(self, upstream, request_id, grant=None):
        """Cancel a request at its engine, then release its grant."""
        job = _CleanupJob(
            upstream=upstream, request_id=request_id, grant=grant
        )
        self._enqueue(job)

    def release(self, grant):
        """Release a grant under which no call was sent."""
        self._enqueue(_CleanupJob(upstream=None, request_id="", grant=grant))

    def wait_idle(self, *, timeout_s):
        """Return whether all jobs ended within the timeout."""
        with self._ready:
            return self._ready.wait_for(self._is_idle, timeout=timeout_s)

    def _is_idle(self):
        return not self._jobs and not self._busy_workers

    def _enqueue(self, job):
        with self._ready:
            self._jobs.append(job)
            if (
                len(self._jobs) > self._idle_workers
                and self._started_workers < MAX_WORKERS
            ):
                self._started_workers += 1
                threading.Thread(
                    target=self._run_worker, name="cleaner", daemon=True
                ).start()
            self._ready.notify_all()

    def _run_worker(self):
        while True:
            with self._ready:
                self._idle_workers += 1
                self._ready.wait_for(lambda: self._jobs)
                self._idle_workers -= 1
                job = self._jobs.popleft()
                self._busy_workers += 1
            try:
                self._run_job(job)
            finally:
                with self._ready:
                    self._busy_workers -= 1
                    self._ready.notify_all()

    def _run_job(self, job):
        if job.upstream is not None:
            self._cancel(job)
        if job.grant is not None:
            self._homes.release(job.grant)

    def _cancel(self, job):
        for _ in range(job.attempts):
            try:
                self._engines.cancel(job.upstream, job.request_id)
            except CurrantdealError:
                self._clock.sleep(RETRY_DELAY_S)
            else:
                self._metrics.add("engine_cancels_total")
                return
        self._metrics.add("engine_cancels_failed_total")
