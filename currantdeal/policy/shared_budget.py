"""One retry budget for a service, kept by many entries without talking.

The load pattern is a crash or a release of upstreams: for seconds, every
entry sees failures and retries, and the retries of all together overload
what is left.  A budget in each entry alone would grow with the number of
entries.

An entry may repeat a share of the requests that it received itself, which
adds up over all entries by itself, and has its part of the fixed allowance.
A part is kept back (``KEPT_BACK``), since an entry that restarts forgets
what it used and the windows of different entries do not begin together.
"""

from collections import deque

KEPT_BACK = 0.4
"""Share of the budget that is never used."""


class SharedBudget:
    """The part of one entry in the budget of one service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request received.
    allowance : float
        Repeats allowed in a window beyond that, over all entries.
    window_s : float
        Length of the sliding window.

    Examples
    --------
    >>> budget = SharedBudget(ratio=0.0, allowance=10.0, window_s=10.0)
    >>> [budget.take(now_s=0.0, entries=2) for _ in range(4)]
    [True, True, True, False]
    >>> budget.take(now_s=10.5, entries=2)
    True
    """

    def __init__(self, *, ratio, allowance, window_s):
        """Start with nothing used."""
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._requests = deque()
        self._repeats = deque()

    def note_request(self, *, now_s):
        """Note a request that a caller sent."""
        self._requests.append(now_s)
        self._drop_old(self._requests, now_s)

    def take(self, *, now_s, entries):
        """Use the budget for one repeat, if it allows one."""
        if self.left(now_s=now_s, entries=entries) < 1.0:
            return False
        self._repeats.append(now_s)
        return True

    def left(self, *, now_s, entries):
        """Return the repeats that the budget allows now."""
        self._drop_old(self._requests, now_s)
        self._drop_old(self._repeats, now_s)
        allowed = self._ratio * len(self._requests)
        allowed += self._allowance / max(1, entries)
        return (1.0 - KEPT_BACK) * allowed - len(self._repeats)

    def _drop_old(self, times, now_s):
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
