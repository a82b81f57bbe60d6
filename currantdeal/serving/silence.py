"""How long a stream may be silent before its connection is presumed dead."""

SILENCE_FACTOR = 20.0
"""Silence allowed, in measured times between outputs.

A prefill between decode steps, or a batch that grows, delays outputs a few
times over; twenty times has no such cause, and at 37 ms between outputs it
finds a dead connection in 0.74 s.
"""

SHORTEST_S = 0.25
"""Shorter limits would take a pause of this process for a dead peer."""

_WEIGHT = 0.2


class SilenceLimits:
    """Limits by upstream, learned from the streams that ended.

    Parameters
    ----------
    longest_s : float
        Upper bound, used for upstreams that nothing is known of.
    """

    def __init__(self, *, longest_s):
        """Start with nothing learned."""
        self._longest_s = longest_s
        self._gaps = {}

    def limit_s(self, upstream_id):
        """Return the silence allowed on a stream of an upstream."""
        gap_s = self._gaps.get(upstream_id)
        if gap_s is None:
            return self._longest_s
        wanted_s = max(SHORTEST_S, gap_s * SILENCE_FACTOR)
        return min(self._longest_s, wanted_s)

    def observe(self, upstream_id, gap_s):
        """Learn the mean time between outputs of one stream."""
        known_s = self._gaps.get(upstream_id, gap_s)
        # Two threads may both read the old mean; one observation is then
        # lost, which a mean over many streams does not show.
        self._gaps[upstream_id] = known_s + _WEIGHT * (gap_s - known_s)
