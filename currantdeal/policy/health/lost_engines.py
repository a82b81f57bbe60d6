"""Tells engines that are gone from engines that are only silent.

Load pattern: fail-silent nodes.  A host that lost power closes no
connection, so a stream waits there for as long as its caller does.  Silence
alone shows nothing: an engine that preempted a stream is silent, too, and
continues it.
"""

from dataclasses import dataclass
from enum import Enum

REPORTED_SILENCE_GAPS = 1
"""Gap targets of silence after which an engine that other entries report as
unreachable is probed."""

SILENCE_GAPS = 4
"""Gap targets of silence after which any engine is probed, and again each time
that as many have passed."""

MIN_FAILED_PROBES = 2
"""Failed probes in a row of an engine that is lost; one may be delayed."""

MIN_REFUSALS = 2
"""Refused connections in a row that prove the end of a process.

A proxy or a rule on the way may refuse a single one.
"""

MAX_KNOWN = 256
"""Processes about which findings are kept."""


class ProbeResult(str, Enum):
    """What a probe of an engine found.

    ``REFUSED`` means that nothing listens at its address, ``REPLACED`` that
    another process answers there.  ``UNANSWERED`` covers that no connection
    could be opened.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    REPLACED = "replaced"
    UNANSWERED = "unanswered"


@dataclass(frozen=True, kw_only=True)
class Corroboration:
    """What others observe of an engine.

    Parameters
    ----------
    is_reported : bool
        Whether several entries report it as unreachable.
    heartbeats_stopped : bool
        Whether its heartbeats have stopped.
    """

    is_reported: bool
    heartbeats_stopped: bool


def should_probe(silent_gaps, *, is_reported):
    """Return whether to probe the engine of a silent stream.

    Examples
    --------
    >>> should_probe(1, is_reported=False), should_probe(1, is_reported=True)
    (False, True)
    """
    if is_reported:
        return silent_gaps >= REPORTED_SILENCE_GAPS
    return silent_gaps > 0 and silent_gaps % SILENCE_GAPS == 0


class LostEngines:
    """Findings of one entry about processes of engines.

    A process is given by a key of the engine and its start, so that nothing
    that is found of one applies to the next.

    Examples
    --------
    >>> engines = LostEngines()
    >>> engines.record_probe("d1", ProbeResult.UNANSWERED)
    >>> engines.record_probe("d1", ProbeResult.UNANSWERED)
    >>> engines.is_lost("d1", Corroboration(
    ...     is_reported=True, heartbeats_stopped=False))
    False
    >>> engines.is_lost("d1", Corroboration(
    ...     is_reported=True, heartbeats_stopped=True))
    True
    """

    def __init__(self):
        """Start without findings."""
        self._failed_probes = {}
        self._refusals = {}

    def record_probe(self, process, result):
        """Record a ``ProbeResult``."""
        if result is ProbeResult.ANSWERED:
            self.record_reached(process)
        elif result is ProbeResult.REPLACED:
            _keep(self._refusals, process, MIN_REFUSALS)
        elif result is ProbeResult.REFUSED:
            refusals = self._refusals.get(process, 0) + 1
            _keep(self._refusals, process, refusals)
        else:
            failed = self._failed_probes.get(process, 0) + 1
            _keep(self._failed_probes, process, failed)

    def record_reached(self, process):
        """Record that a process has answered: it has not ended."""
        self._failed_probes.pop(process, None)
        self._refusals.pop(process, None)

    def is_proved(self, process):
        """Return whether a probe proved that a process has ended."""
        return self._refusals.get(process, 0) >= MIN_REFUSALS

    def is_lost(self, process, corroboration):
        """Return whether a process has ended, by all that is known of it."""
        if self.is_proved(process):
            return True
        failed = self._failed_probes.get(process, 0)
        return (
            failed >= MIN_FAILED_PROBES
            and corroboration.is_reported
            and corroboration.heartbeats_stopped
        )


def _keep(findings, process, value):
    """Store a finding as the latest; drops the oldest of too many."""
    findings.pop(process, None)
    findings[process] = value
    while len(findings) > MAX_KNOWN:
        del findings[next(iter(findings))]
