"""Keeping requests that crash upstreams from being sent again.

Load pattern: query of death, see ``currantdeal.policy.crash_book``.  Each
instance has a book of its own.
"""

import threading

import structlog

from currantdeal.policy.crash_book import EARLY_WEIGHT, Crash, CrashBook
from currantdeal.serving.errors import Reason, not_run

RETRY_AFTER_S = 60.0
"""When to come back with a request in quarantine: not within a deadline."""

_log = structlog.get_logger(__name__)


class CrashGuard:
    """What one instance knows of requests that crash upstreams."""

    def __init__(self):
        """Suspect nobody."""
        self._book = CrashBook()
        self._lock = threading.Lock()

    def check(self, request):
        """Refuse a request that is in quarantine.

        Raises
        ------
        RefusedError
            With ``Reason.QUARANTINED``; it has not run.
        """
        with self._lock:
            refused = bool(self._book) and self._book.is_quarantined(
                request.fingerprint
            )
        if refused:
            raise not_run(
                "it is in quarantine, since upstreams that ran it crashed",
                reason=Reason.QUARANTINED,
                retry_after_s=RETRY_AFTER_S,
            )

    def crashed(self, request, upstream, *, early=True):
        """Count an upstream that ended while it ran a request.

        Parameters
        ----------
        early : bool
            True if it had sent no output for the request.
        """
        crash = Crash(
            upstream=str(upstream.upstream_id),
            started_ms=upstream.incarnation,
            early=early,
        )
        with self._lock:
            self._book.add_crash(request.fingerprint, crash)
            score = self._book.score(request.fingerprint)
            quarantined = self._book.is_quarantined(request.fingerprint)
        _log.warning(
            "upstream-crashed",
            request=str(request.work.request_id),
            upstream=crash.upstream,
            incarnation=upstream.incarnation,
            score=score,
            quarantined=quarantined,
        )

    def completed(self, request):
        """Clear a request that an upstream has answered in full."""
        with self._lock:
            if self._book:
                self._book.add_completion(request.fingerprint)

    def may_send_again(self, request):
        """Return whether a failed attempt may be followed by another one.

        A first crash may have another reason than the request.
        """
        with self._lock:
            if not self._book:
                return True
            return self._book.score(request.fingerprint) <= EARLY_WEIGHT
