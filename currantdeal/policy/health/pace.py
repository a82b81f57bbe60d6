"""How long work takes at an upstream, by its own word.

Load pattern: noisy neighbour.  An upstream shares its host, so its work
takes longer at one moment than at the next, while its load looks the same.
It states a figure with each answer, which is out of date soon.
"""

FADE_S = 0.25
"""Age at which a figure says nothing of the present any more.

Upstreams change it several times a second.
"""

SMOOTHING = 0.1
"""Weight of the newest figure in the mean, to which it fades."""

FORGET_S = 30.0
"""Age of the newest figure at which the mean is forgotten."""

MIN_PACE, MAX_PACE = 0.1, 10.0
"""Bounds of a figure; beyond them it would decide alone."""


class Pace:
    """Times that work takes at one upstream, as a multiple of the usual.

    Examples
    --------
    >>> pace = Pace()
    >>> pace.value(now_s=0.0)
    1.0
    >>> pace.record(2.0, now_s=1.0)
    >>> pace.value(now_s=1.0), round(pace.value(now_s=1.2), 2)
    (2.0, 1.28)
    >>> round(pace.value(now_s=2.0), 2), pace.value(now_s=60.0)
    (1.1, 1.0)
    """

    def __init__(self):
        """Start as usual."""
        self._latest = 1.0
        self._mean = 1.0
        self._recorded_s = None

    def record(self, value, *, now_s):
        """Record a figure."""
        value = min(MAX_PACE, max(MIN_PACE, value))
        self._mean = self._mean_at(now_s) + SMOOTHING * (
            value - self._mean_at(now_s)
        )
        self._latest = value
        self._recorded_s = now_s

    def value(self, *, now_s):
        """Return the estimate: the newest figure, faded to the mean."""
        if self._recorded_s is None:
            return 1.0
        mean = self._mean_at(now_s)
        weight = max(0.0, 1.0 - (now_s - self._recorded_s) / FADE_S)
        return mean + weight * (self._latest - mean)

    def _mean_at(self, now_s):
        if self._recorded_s is None:
            return 1.0
        kept = max(0.0, 1.0 - (now_s - self._recorded_s) / FORGET_S)
        return 1.0 + kept * (self._mean - 1.0)
