"""Credit for retries that the requests at one entry give to their service.

Load pattern: retry storm.  Operators allow retries as a share of a service's
requests in a window of time: the one in which they are sent, or the one
before it.  An entry knows its own requests only, and may end at any time.  So
each request gives half of its share as credit, which lapses with the window.
All retries in a window then come from requests of two windows at most, over
all entries and whatever becomes of them, and one of the two windows has half
of these requests or more.

Credit is the requests that gave it.  What is given back lapses as it would
have without being taken, so that this bound holds for it too.
"""

import math
from collections import deque

HELD_CREDIT_S = 1.0
"""Time for which credit that was taken may be held before it is used."""


class RequestCredit:
    """Credit of one service at one entry.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    window_s : float
        Length of the window in which they are counted.

    Examples
    --------
    >>> credit = RequestCredit(ratio=0.5, window_s=10.0)
    >>> for now_s in range(4):
    ...     credit.record_request(now_s=float(now_s))
    >>> taken = credit.take(1, now_s=4.0)
    >>> taken, credit.take(1, now_s=4.0)
    ((0.0, 1.0, 2.0, 3.0), ())
    >>> credit.give_back(taken)
    >>> credit.left(now_s=4.0)
    1
    """

    def __init__(self, *, ratio, window_s):
        """Start without requests."""
        self._requests_per_retry = math.ceil(2.0 / ratio) if ratio else None
        self._lapse_s = window_s - HELD_CREDIT_S
        self._requests = deque()

    def record_request(self, *, now_s):
        """Record a request of a caller."""
        if self._requests_per_retry is not None:
            self._requests.append(now_s)
            self._drop_lapsed(now_s)

    def take(self, count, *, now_s):
        """Take the credit for some retries, or nothing.

        Returns the times of the requests that gave it; empty if there is too
        little.
        """
        if self.left(now_s=now_s) < count:
            return ()
        requests = count * self._requests_per_retry
        return tuple(self._requests.popleft() for _ in range(requests))

    def give_back(self, requests):
        """Put back credit that was taken and that no retry will use."""
        self._requests = deque(sorted((*requests, *self._requests)))

    def left(self, *, now_s):
        """Return the number of retries for which there is credit."""
        self._drop_lapsed(now_s)
        if self._requests_per_retry is None:
            return 0
        return len(self._requests) // self._requests_per_retry

    def _drop_lapsed(self, now_s):
        while self._requests and self._requests[0] <= now_s - self._lapse_s:
            self._requests.popleft()
