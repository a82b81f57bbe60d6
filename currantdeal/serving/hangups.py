"""Notices callers that hung up while a thread waits for an engine.

The thread that serves a request is blocked in a call to an engine and can't
look.  Without the monitor the engine would compute a prefill to its end, or
hold memory, for a caller who is gone; one would notice by held memory that
no stream explains.  Cancelling at the engine ends the blocked call too.
"""

import contextlib
import threading
from dataclasses import dataclass

from currantdeal.core import RequestId, Upstream
from currantdeal.serving.requests import GenerationRequest

INTERVAL_S = 0.2


@dataclass(frozen=True, kw_only=True)
class Watched:
    """A call to an engine that somebody waits for."""

    request: GenerationRequest
    upstream: Upstream
    engine_request_id: RequestId


class HangUpMonitor:
    """Cancels watched calls whose callers are gone.

    Parameters
    ----------
    cleaner : Cleaner
        Carries the cancels out.
    interval_s : float
        Time between looks, in seconds.
    """

    def __init__(self, *, cleaner, interval_s=INTERVAL_S):
        """Watch nothing; ``start`` starts the thread."""
        self._cleaner = cleaner
        self._interval_s = interval_s
        self._watched = set()
        self._lock = threading.Lock()
        self._stopping = threading.Event()

    def start(self):
        """Look at the watched calls from now on."""
        threading.Thread(
            target=self._run, name="hang-ups", daemon=True
        ).start()

    def stop(self):
        """Look no more."""
        self._stopping.set()

    @contextlib.contextmanager
    def watching(self, watched):
        """Watch a call while the block runs."""
        with self._lock:
            self._watched.add(watched)
        try:
            yield
        finally:
            with self._lock:
                self._watched.discard(watched)

    def look(self):
        """Cancel the calls whose callers are gone, once each."""
        with self._lock:
            gone = [each for each in self._watched if each.request.gone()]
            self._watched.difference_update(gone)
        for each in gone:
            self._cleaner.cancel(each.upstream, each.engine_request_id)

    def _run(self):
        while not self._stopping.wait(self._interval_s):
            self.look()
