"""Logs which requests are suspected of crashing upstreams."""

from enum import Enum

from currantdeal.node.fingerprint import fingerprint_prefix
from currantdeal.policy.crash_registry import EARLY_WEIGHT


class _Status(str, Enum):
    CLEAR = "suspect-cleared"
    SUSPECTED = "request-suspected"
    QUARANTINED = "request-quarantined"


class SuspectLog:
    """Logs a request whenever its suspicion status has changed.

    A single crash is not logged, because most upstreams end for reasons
    unrelated to the request.

    Parameters
    ----------
    log : structlog.stdlib.BoundLogger
        Logger of the module that keeps the records.
    crash_registry : currantdeal.policy.crash_registry.CrashRegistry
        The records from which the status is derived.
    """

    def __init__(self, *, log, crash_registry):
        """Start with every request clear."""
        self._log = log
        self._crash_registry = crash_registry
        self._statuses = {}

    def __len__(self):
        """Return the number of requests whose status is not clear."""
        return len(self._statuses)

    def log_changes(self, changed):
        """Log the requests whose status the changed records have changed.

        Parameters
        ----------
        changed : iterable of currantdeal.policy.crash_registry.SuspectRecord
            Present state of the records that have changed.
        """
        for record in changed:
            before = self._statuses.pop(record.fingerprint, _Status.CLEAR)
            after = self._current_status(record.fingerprint)
            if after is not _Status.CLEAR:
                self._statuses[record.fingerprint] = after
            if after is not before:
                self._write(after, record)
        if len(self._statuses) > 2 * len(self._crash_registry):
            self._remove_dropped()

    def _remove_dropped(self):
        """Remove requests whose records were dropped at the size limits."""
        self._statuses = {
            fingerprint: status
            for fingerprint, status in self._statuses.items()
            if self._crash_registry.is_suspect(fingerprint)
        }

    def _current_status(self, fingerprint):
        if self._crash_registry.is_quarantined(fingerprint):
            return _Status.QUARANTINED
        if self._crash_registry.score(fingerprint) > EARLY_WEIGHT:
            return _Status.SUSPECTED
        return _Status.CLEAR

    def _write(self, status, record):
        self._log.info(
            status.value,
            fingerprint=fingerprint_prefix(record.fingerprint),
            upstreams=[crash.upstream for crash in record.crashes],
            score=self._crash_registry.score(record.fingerprint),
        )
