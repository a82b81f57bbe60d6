"""Detection of retrying callers, and limits on the memory that they use.

Load pattern: retry storm.  Some of the callers of a burst are refused and
retry into the same burst.  A retrying caller has missed its latency target in
any case; a new one can still meet it.  With equal priority, each retry makes a
new caller late or refused, and the overload lasts for as long as there are
retries.

So retrying callers are given only memory that new ones will not need
(``LATE_FULL``), and wait for it much longer, since a caller that is refused a
second time usually gives up.

A retry is detected by its timeout: callers of a route set about the same
timeout, and a retry sets what is left of it.  The timeout of a caller is
called its patience here.
"""

import math

RETRY_TIMEOUT_SHARE = 0.8
"""Share of a route's longest patience below which a caller is a retry."""

DECAY = 0.999
"""Factor by which the longest patience decays with each caller.

So it follows callers that are changed to set a shorter timeout.
"""

LATE_FULL = 0.85
"""Memory use of an engine, as a share, up to which retries are admitted."""

LATE_WAIT_TARGETS = 3.0
"""Longest wait of a retrying caller for memory, in latency targets of its
route."""


class PatienceBook:
    """Detects retrying callers by their patience.

    Examples
    --------
    >>> book = PatienceBook()
    >>> [book.has_returned("drafts", s) for s in (14.0, 13.0, 10.5, 12.5)]
    [False, False, True, False]
    >>> book.has_returned("other", 10.5), book.has_returned("drafts", None)
    (False, False)
    """

    def __init__(self):
        """Start without routes."""
        self._own_s = {}
        self._shared_s = {}

    @property
    def longest_s(self):
        """Longest patience seen at this entry by route, in seconds."""
        return dict(self._own_s)

    def learn(self, longest_s):
        """Set the longest patience of each route over all entries.

        One of many entries sees too few callers of a route to estimate it.
        """
        self._shared_s = longest_s

    def has_returned(self, route, patience_s, *, limit_s=math.inf):
        """Record a caller and return whether it is retrying.

        Parameters
        ----------
        patience_s : float or None
            Timeout of the caller; None if it sets none.
        limit_s : float
            Timeout of the route; a longer patience is cut to it.
        """
        if patience_s is None:
            return False
        decayed_s = self._own_s.get(route, 0.0) * DECAY
        own_s = max(decayed_s, min(patience_s, limit_s))
        self._own_s[route] = own_s
        longest_s = max(own_s, self._shared_s.get(route, 0.0))
        return patience_s < RETRY_TIMEOUT_SHARE * min(longest_s, limit_s)
