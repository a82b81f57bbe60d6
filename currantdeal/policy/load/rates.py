"""Rate of a quantity that decays exponentially.

Examples
--------
>>> rate = DecayingRate()
>>> rate.add(500, now_s=0.0)
>>> rate.per_s(now_s=0.0), round(rate.per_s(now_s=1.0))
(250.0, 152)
"""

import math

TIME_CONSTANT_S = 2.0
"""Time after which what was added counts for 1/e.

Long enough for a few requests of each rank, short enough to follow a burst.
"""


class DecayingRate:
    """Quantity per second, averaged over about ``TIME_CONSTANT_S``."""

    def __init__(self):
        """Start at zero."""
        self._per_s = 0.0
        self._updated_s = 0.0

    def add(self, quantity, *, now_s):
        """Add a quantity at the current time."""
        self._per_s = self.per_s(now_s=now_s) + quantity / TIME_CONSTANT_S
        self._updated_s = now_s

    def per_s(self, *, now_s):
        """Return the rate at a time."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._per_s * math.exp(-elapsed_s / TIME_CONSTANT_S)
