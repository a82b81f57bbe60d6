"""Quarantines requests and leading blocks of prompts that crash upstreams.

Load pattern: query of death, see
``currantdeal.policy.crashes.registry``.  Each instance keeps its own
``CrashRegistry``.
"""

import threading

import structlog

from currantdeal.policy.crashes.evidence import EARLY_WEIGHT, Crash
from currantdeal.policy.crashes.recent_completions import RecentCompletions
from currantdeal.policy.crashes.registry import CrashRegistry
from currantdeal.serving.errors import Reason, not_run

RETRY_AFTER_S = 60.0
"""Retry delay of a quarantined request, in seconds.

It is so long that callers don't retry before their deadline.
"""

SOFTWARE = ""
"""Version of the software of upstreams, which they do not announce here."""

_log = structlog.get_logger(__name__)


class CrashGuard:
    """Records crashes and refuses the requests that cause them.

    One instance has one guard, shared by all its threads.
    """

    def __init__(self):
        """Start without recorded crashes."""
        self._crash_registry = CrashRegistry()
        self._completions = RecentCompletions()
        self._lock = threading.Lock()

    def check(self, request):
        """Refuse a request that is in quarantine.

        Raises
        ------
        RefusedError
            With ``Reason.QUARANTINED``; it has not run.
        """
        with self._lock:
            if not self._crash_registry.has_verdicts:
                return
            verdict = self._crash_registry.find_verdict(
                request.crash_identities
            )
        if verdict is not None:
            raise not_run(
                "the request, or a part of its prompt, is quarantined, since "
                "upstreams that ran it crashed",
                reason=Reason.QUARANTINED,
                retry_after_s=RETRY_AFTER_S,
            )

    def record_crash(self, request, upstream, *, early=True):
        """Record the crash of an upstream that was running a request.

        Parameters
        ----------
        early : bool
            True if the upstream had sent no output for the request.
        """
        crash = Crash(
            upstream=str(upstream.upstream_id),
            started_ms=upstream.incarnation,
            early=early,
            software=SOFTWARE,
            request_id=str(request.work.request_id),
        )
        identities = request.crash_identities
        with self._lock:
            for identity in identities:
                known = self._completions.has(identity, SOFTWARE)
                self._crash_registry.add_crash(
                    identity, crash, sound_on=(SOFTWARE,) if known else ()
                )
            score = self._crash_registry.score(request.fingerprint)
            verdict = self._crash_registry.find_verdict(identities)
        _log.warning(
            "upstream-crashed",
            request=str(request.work.request_id),
            upstream=crash.upstream,
            incarnation=upstream.incarnation,
            score=score,
            quarantined=verdict is not None,
        )

    def record_completion(self, request):
        """Clear a request that an upstream has answered completely."""
        identities = request.crash_identities
        with self._lock:
            self._completions.add(identities[1:], SOFTWARE)
            if not self._crash_registry:
                return
            self._crash_registry.add_completion(request.fingerprint)
            for identity in identities[1:]:
                self._crash_registry.add_completion(
                    identity, software=SOFTWARE
                )

    def may_retry(self, request):
        """Return whether a failed attempt may be retried.

        A single crash may have a cause other than the request, so that it
        does not prevent a retry.
        """
        with self._lock:
            if not self._crash_registry:
                return True
            return all(
                self._crash_registry.score(identity) <= EARLY_WEIGHT
                or self._crash_registry.is_sound(identity, SOFTWARE)
                for identity in request.crash_identities
            )
