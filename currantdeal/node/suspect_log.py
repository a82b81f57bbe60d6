"""Shows what is suspected of crashing upstreams, in logs and metrics."""

from collections import Counter
from enum import Enum

from currantdeal.node.fingerprint import fingerprint_prefix
from currantdeal.policy.crashes.evidence import EARLY_WEIGHT
from currantdeal.policy.crashes.identity import IdentityKind, kind_of


def set_crash_gauges(metrics, crash_registry):
    """Set the numbers of suspects and quarantines, by their kind.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort
        Receives the gauges.
    crash_registry : currantdeal.policy.crashes.registry.CrashRegistry
        The records that are counted.
    """
    quarantined = Counter(map(kind_of, crash_registry.quarantined))
    suspects = Counter(map(kind_of, crash_registry.identities))
    metrics.set("quarantined_requests", quarantined[IdentityKind.REQUEST])
    for kind in IdentityKind:
        name = kind.name.lower()
        metrics.set("crash_quarantines", quarantined[kind], kind=name)
        metrics.set("crash_suspects", suspects[kind], kind=name)


class _Status(str, Enum):
    CLEAR = "cleared"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


class SuspectLog:
    """Logs an identity whenever its suspicion status has changed.

    A single crash is not logged, because most upstreams end for reasons
    unrelated to the request.

    Parameters
    ----------
    log : structlog.stdlib.BoundLogger
        Logger of the module that keeps the records.
    crash_registry : currantdeal.policy.crashes.registry.CrashRegistry
        The records from which the status is derived.
    """

    def __init__(self, *, log, crash_registry):
        """Start with every identity clear."""
        self._log = log
        self._crash_registry = crash_registry
        self._statuses = {}

    def __len__(self):
        """Return the number of identities whose status is not clear."""
        return len(self._statuses)

    def log_changes(self, changed):
        """Log the identities whose status the changed records have changed.

        Parameters
        ----------
        changed : iterable of currantdeal.policy.crashes.registry.SuspectRecord
            Records of what has changed.
        """
        for record in changed:
            before = self._statuses.pop(record.fingerprint, _Status.CLEAR)
            after = self._current_status(record.fingerprint)
            if after is not _Status.CLEAR:
                self._statuses[record.fingerprint] = after
            if after is not before:
                self._write(after, record.fingerprint)
        if len(self._statuses) > 2 * len(self._crash_registry):
            self._remove_dropped()

    def _remove_dropped(self):
        """Remove identities whose records were dropped at the size limits."""
        self._statuses = {
            fingerprint: status
            for fingerprint, status in self._statuses.items()
            if self._crash_registry.is_suspect(fingerprint)
        }

    def _current_status(self, identity):
        registry = self._crash_registry
        if identity in registry.quarantined:
            return _Status.QUARANTINED
        if registry.score(identity) > EARLY_WEIGHT:
            return _Status.SUSPECTED
        return _Status.CLEAR

    def _write(self, status, identity):
        crashes = self._crash_registry.crashes(identity)
        kind = kind_of(identity).name.lower()
        noun = "suspect" if status is _Status.CLEAR else kind
        self._log.info(
            f"{noun.replace('_', '-')}-{status.value}",
            fingerprint=fingerprint_prefix(identity),
            kind=kind,
            upstreams=[crash.upstream for crash in crashes],
            requests=[crash.request_id for crash in crashes],
            score=self._crash_registry.score(identity),
        )
