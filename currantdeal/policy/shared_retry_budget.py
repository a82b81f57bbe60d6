"""Retry budget of a service, divided among entries without coordination.

Load pattern: retry storm.  During a crash or a release of upstreams, every
entry sees failures for seconds and retries, and all retries together overload
the remaining upstreams.  With a whole budget in each entry, the total would
grow with the number of entries.

An entry may retry a share of the requests that it received itself; these
shares add up to that of the service.  It also has its part of the fixed
allowance.  Some of the budget stays unused (``HEADROOM``), since an entry that
restarts loses its counts, and the windows of different entries are not
aligned.
"""

from collections import deque

HEADROOM = 0.4
"""Share of the budget that is never used."""


class SharedRetryBudget:
    """Part of one entry in the retry budget of one service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request received.
    allowance : float
        Further retries allowed in a window, over all entries.
    window_s : float
        Length of the sliding window.

    Examples
    --------
    >>> budget = SharedRetryBudget(ratio=0.0, allowance=10.0, window_s=10.0)
    >>> [budget.try_use(now_s=0.0, entries=2) for _ in range(4)]
    [True, True, True, False]
    >>> budget.try_use(now_s=10.5, entries=2)
    True
    """

    def __init__(self, *, ratio, allowance, window_s):
        """Start with an unused budget."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests = deque()
        self._retries = deque()

    def record_request(self, *, now_s):
        """Record a request of a caller."""
        self._requests.append(now_s)
        self._expire(self._requests, now_s)

    def try_use(self, *, now_s, entries):
        """Use the budget for one retry; returns False if it is exhausted."""
        if self.left(now_s=now_s, entries=entries) < 1.0:
            return False
        self._retries.append(now_s)
        return True

    def left(self, *, now_s, entries):
        """Return the number of retries that the budget allows now."""
        self._expire(self._requests, now_s)
        self._expire(self._retries, now_s)
        allowed = self._ratio * len(self._requests)
        allowed += self._allowance / max(1, entries)
        return (1.0 - HEADROOM) * allowed - len(self._retries)

    def _expire(self, times, now_s):
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
