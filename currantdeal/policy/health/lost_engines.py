"""Tells engines that are gone from engines that are only silent.

Load pattern: fail-silent nodes.  A host that lost power closes no
connection, so a stream waits there for as long as its caller does.  Silence
alone shows nothing: an engine that preempted a stream is silent, too, and
continues it.  So does one whose host or network stood still for a while, of
which each other observer loses sight as well.
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

MIN_DARK_S = 6.0
"""Time without any answer after which a silent engine may count as lost.

Processes, virtual machines and networks that only pause go on before.
"""

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
    could be opened.  ``DELAYED`` is a probe that shows nothing, as this
    process stood still meanwhile.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    REPLACED = "replaced"
    UNANSWERED = "unanswered"
    DELAYED = "delayed"


@dataclass(frozen=True, kw_only=True)
class Corroboration:
    """What else is observed of an engine.

    Parameters
    ----------
    contact_s : float
        Time of the last bytes of it on any connection of this entry.
    is_reported : bool
        Whether several entries report it as unreachable.
    heartbeats_stopped : bool
        Whether its heartbeats have stopped.
    """

    contact_s: float
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
    >>> engines.record_probe("d1", ProbeResult.UNANSWERED, now_s=1.0)
    >>> engines.record_probe("d1", ProbeResult.UNANSWERED, now_s=2.0)
    >>> seen = Corroboration(
    ...     contact_s=0.0, is_reported=True, heartbeats_stopped=True)
    >>> engines.is_lost("d1", seen, now_s=2.0)
    False
    >>> engines.is_lost("d1", seen, now_s=1.0 + MIN_DARK_S)
    True
    """

    def __init__(self):
        """Start without findings."""
        self._failed_probes = {}
        self._refusals = {}

    def record_probe(self, process, result, *, now_s):
        """Record a ``ProbeResult``."""
        if result is ProbeResult.ANSWERED:
            self.record_reached(process)
        elif result is ProbeResult.REPLACED:
            _keep(self._refusals, process, MIN_REFUSALS)
        elif result is ProbeResult.REFUSED:
            refusals = self._refusals.get(process, 0) + 1
            _keep(self._refusals, process, refusals)
        elif result is ProbeResult.UNANSWERED:
            failed, since_s = self._failed_probes.get(process, (0, now_s))
            _keep(self._failed_probes, process, (failed + 1, since_s))

    def record_reached(self, process):
        """Record that a process has answered: it has not ended."""
        self._failed_probes.pop(process, None)
        self._refusals.pop(process, None)

    def is_proved(self, process):
        """Return whether a probe proved that a process has ended."""
        return self._refusals.get(process, 0) >= MIN_REFUSALS

    def is_lost(self, process, corroboration, *, now_s):
        """Return whether a process has ended, by all that is known of it."""
        if self.is_proved(process):
            return True
        failed, since_s = self._failed_probes.get(process, (0, now_s))
        since_s = max(since_s, corroboration.contact_s)
        return (
            failed >= MIN_FAILED_PROBES
            and now_s - since_s >= MIN_DARK_S
            and corroboration.is_reported
            and corroboration.heartbeats_stopped
        )


def _keep(findings, process, value):
    """Store a finding as the latest; drops the oldest of too many."""
    findings.pop(process, None)
    findings[process] = value
    while len(findings) > MAX_KNOWN:
        del findings[next(iter(findings))]
