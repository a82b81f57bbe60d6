"""Detection of retrying callers, and limits on the memory that they use.

Load pattern: retry storm.  Some of the callers of a burst are refused and
retry into the same burst.  A retrying caller has missed its latency target in
any case; a new one can still meet it.  With equal priority, each retry makes a
new caller late or refused, and the overload lasts for as long as there are
retries.

So retrying callers are given only memory that new ones will not need
(``RETRY_MAX_FILL``), and wait for it much longer, since a caller that is
refused a second time usually gives up.

A retry is detected by its timeout: callers of a route set about the same
timeout, and a retry sets what is left of it.
"""

import math

RETRY_TIMEOUT_SHARE = 0.8
"""Share of a route's longest caller timeout below which a caller is a
retry."""

DECAY = 0.999
"""Factor by which the longest caller timeout decays with each caller.

So it follows callers that are changed to set a shorter timeout.
"""

RETRY_MAX_FILL = 0.85
"""Memory use of an engine, as a share, up to which retries are admitted."""

RETRY_WAIT_TARGETS = 3.0
"""Longest wait of a retrying caller for memory, in latency targets of its
route."""


class RetryDetector:
    """Detects retrying callers by their timeouts.

    Examples
    --------
    >>> detector = RetryDetector()
    >>> [detector.is_retry("drafts", s) for s in (14.0, 13.0, 10.5, 12.5)]
    [False, False, True, False]
    >>> detector.is_retry("other", 10.5), detector.is_retry("drafts", None)
    (False, False)
    """

    def __init__(self):
        """Start without routes."""
        self._own_s = {}
        self._shared_s = {}

    @property
    def longest_timeouts_s(self):
        """Longest caller timeout seen at this entry by route, in seconds."""
        return dict(self._own_s)

    def set_shared_timeouts(self, longest_timeouts_s):
        """Set the longest caller timeout of each route over all entries.

        One of many entries sees too few callers of a route to estimate it.
        """
        self._shared_s = longest_timeouts_s

    def is_retry(self, route, caller_timeout_s, *, limit_s=math.inf):
        """Record a caller and return whether it is retrying.

        Parameters
        ----------
        caller_timeout_s : float or None
            Timeout of the caller; None if it sets none.
        limit_s : float
            Timeout of the route; a longer caller timeout is cut to it.
        """
        if caller_timeout_s is None:
            return False
        decayed_s = self._own_s.get(route, 0.0) * DECAY
        own_s = max(decayed_s, min(caller_timeout_s, limit_s))
        self._own_s[route] = own_s
        longest_timeout_s = max(own_s, self._shared_s.get(route, 0.0))
        return caller_timeout_s < RETRY_TIMEOUT_SHARE * min(
            longest_timeout_s, limit_s
        )
