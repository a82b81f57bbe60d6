"""Reports of entries about upstreams that they could not reach.

Load pattern: correlated failure.  Several engines crash at once, and each
entry tries each of them before one that serves.  The sums of loads are too old
to prevent that, so an entry reports at once.  A report is only a hint: the
reporter may be cut off itself.
"""

import math

MIN_UNREACHABLE_REPORTS = 2
"""Entries that must have failed to reach an engine before others avoid it.

A single one may be partitioned from the network itself.
"""

REPORT_HOLD_S = 1.0
"""Time for which a report counts; the sums of loads are newer after that."""


class UnreachableReports:
    """Recent reports, by upstream, as one process has received them.

    Examples
    --------
    >>> reports = UnreachableReports()
    >>> reports.add("d1", 7, "entry-1", now_s=0.0)
    True
    >>> reports.add("d1", 7, "entry-1", now_s=0.1)
    False
    >>> reports.is_unreachable("d1", now_s=0.1)
    False
    >>> reports.add("d1", 7, "entry-2", now_s=0.2)
    True
    >>> reports.is_unreachable("d1", now_s=0.3)
    True
    >>> reports.add("d1", 7, "entry-3", now_s=0.3)
    False
    >>> reports.is_unreachable("d1", now_s=1.1)
    False
    """

    def __init__(self):
        """Start without reports."""
        self._reports = {}

    def add(self, upstream, started_ms, reporter, *, now_s):
        """Add a report; returns whether others need it.

        They don't if it repeats a report that still counts, if enough other
        entries report the upstream, or if the report is about an earlier
        process of it.

        Parameters
        ----------
        started_ms : int
            Start of the process that could not be reached.
        """
        known_ms, reported_s = self._reports.get(upstream, (-math.inf, {}))
        if started_ms < known_ms:
            return False
        if started_ms > known_ms:
            reported_s = {}
        fresh = _fresh(reported_s, now_s)
        if reporter in fresh or len(fresh) >= MIN_UNREACHABLE_REPORTS:
            return False
        self._reports[upstream] = (started_ms, {**fresh, reporter: now_s})
        self._drop_old(now_s)
        return True

    def is_unreachable(self, upstream, *, now_s):
        """Return whether enough entries report an upstream."""
        if upstream not in self._reports:
            return False
        _, reported_s = self._reports[upstream]
        return len(_fresh(reported_s, now_s)) >= MIN_UNREACHABLE_REPORTS

    def clear(self, upstream):
        """Drop the reports of an upstream that has answered."""
        self._reports.pop(upstream, None)

    def _drop_old(self, now_s):
        self._reports = {
            name: (started_ms, reported_s)
            for name, (started_ms, reported_s) in self._reports.items()
            if _fresh(reported_s, now_s)
        }


def _fresh(reported_s, now_s):
    return {
        reporter: at_s
        for reporter, at_s in reported_s.items()
        if now_s - at_s <= REPORT_HOLD_S
    }
