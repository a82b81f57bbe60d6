"""Cancels engine calls whose caller has disconnected.

The thread that serves a request is blocked in a call to an engine and can't
check its caller's connection.  Without the monitor the engine would finish a
prefill, or hold memory, for a caller that has disconnected; the symptom would
be held memory that no stream accounts for.  Cancelling at the engine also
ends the blocked call.
"""

import contextlib
import threading
from dataclasses import dataclass

from currantdeal.core import RequestId, Upstream
from currantdeal.serving.requests import GenerationRequest

CHECK_INTERVAL_S = 0.2


@dataclass(frozen=True, kw_only=True)
class WatchedCall:
    """A call to an engine, and the request that waits for it."""

    request: GenerationRequest
    upstream: Upstream
    engine_request_id: RequestId


class DisconnectMonitor:
    """Cancels watched calls whose callers have disconnected.

    Parameters
    ----------
    cleaner : Cleaner
        Sends the cancel requests.
    interval_s : float
        Time between checks, in seconds.
    """

    def __init__(self, *, cleaner, interval_s=CHECK_INTERVAL_S):
        """Start without calls; ``start`` starts the thread."""
        self._cleaner = cleaner
        self._interval_s = interval_s
        self._watched = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def start(self):
        """Start the thread that checks the watched calls."""
        threading.Thread(
            target=self._run, name="disconnects", daemon=True
        ).start()

    def stop(self):
        """Stop the thread."""
        self._stopping.set()

    @contextlib.contextmanager
    def watching(self, call):
        """Watch a ``WatchedCall`` while the block runs."""
        with self._lock:
            self._watched.add(call)
        try:
            yield
        finally:
            with self._lock:
                self._watched.discard(call)

    def check_callers(self):
        """Cancel the calls whose callers have disconnected, once each."""
        with self._lock:
            abandoned = [
                call
                for call in self._watched
                if call.request.is_disconnected()
            ]
            self._watched.difference_update(abandoned)
        for call in abandoned:
            self._cleaner.cancel(call.upstream, call.engine_request_id)

    def _run(self):
        while not self._stopping.wait(self._interval_s):
            self.check_callers()
