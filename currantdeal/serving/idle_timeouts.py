"""Adapts the idle timeout of output streams to each upstream.

A stream without output for longer than the timeout is presumed to have a
dead connection.
"""

IDLE_TIMEOUT_FACTOR = 20.0
"""Idle timeout as a multiple of the mean time between outputs.

A prefill between decode steps, or a growing batch, makes a gap a few times
longer than the mean, but not 20 times.  At 37 ms between outputs a dead
connection is detected in 0.74 s.
"""

MIN_LIMIT_S = 0.25
"""Shorter limits would mistake a pause of this process for a dead peer."""

_EWMA_WEIGHT = 0.2


class IdleTimeouts:
    """Idle timeouts per upstream, estimated from the streams that ended.

    Parameters
    ----------
    max_s : float
        Upper bound; also used for upstreams without observations.
    """

    def __init__(self, *, max_s):
        """Start without observations."""
        self._max_s = max_s
        self._mean_gaps_s = {}

    def limit_s(self, upstream_id):
        """Return the idle timeout of a stream of an upstream, in seconds."""
        gap_s = self._mean_gaps_s.get(upstream_id)
        if gap_s is None:
            return self._max_s
        adapted_s = max(MIN_LIMIT_S, gap_s * IDLE_TIMEOUT_FACTOR)
        return min(self._max_s, adapted_s)

    def observe(self, upstream_id, gap_s):
        """Record the mean time between outputs of one stream."""
        mean_s = self._mean_gaps_s.get(upstream_id, gap_s)
        # Two threads may both read the old mean; one observation is then
        # lost, which is negligible in a mean over many streams.
        self._mean_gaps_s[upstream_id] = mean_s + _EWMA_WEIGHT * (
            gap_s - mean_s
        )
