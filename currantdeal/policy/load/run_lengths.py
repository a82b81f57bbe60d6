"""Durations of the recent runs of each route."""

from collections import deque

MAX_RUNS = 32
"""Recent runs that are kept for each route."""

MIN_RUNS = 8
"""Runs from which on their durations say something of the next one."""

MAX_ROUTES = 1_024
"""Routes whose runs are kept; the one that was added first is dropped."""


class RunLengths:
    """Durations of the recent runs of each route.

    Examples
    --------
    >>> lengths = RunLengths()
    >>> for duration_s in (3.0, 2.5, 4.0, 3.5, 2.0, 6.0, 2.5, 3.0):
    ...     lengths.record("chat", duration_s)
    >>> lengths.shortest_s("chat"), lengths.shortest_s("draft")
    (2.0, 0.0)
    """

    def __init__(self):
        """Start without runs."""
        self._durations_s = {}

    def record(self, route, duration_s):
        """Record a run that has ended in order."""
        if route not in self._durations_s:
            if len(self._durations_s) >= MAX_ROUTES:
                del self._durations_s[next(iter(self._durations_s))]
            self._durations_s[route] = deque(maxlen=MAX_RUNS)
        self._durations_s[route].append(duration_s)

    def shortest_s(self, route):
        """Return the shortest recent duration; 0 if too few are known."""
        durations_s = self._durations_s.get(route, ())
        return min(durations_s) if len(durations_s) >= MIN_RUNS else 0.0
