"""How many streams an engine may decode at a time.

The load pattern is many short requests: they need little memory, so memory
alone lets so many of them into one batch that every stream on the engine
misses its target between outputs.  Nothing is refused and nothing is in time.

A decode step takes a fixed time plus some for each stream.  Both are learned
from the engine's own reports by a straight line through (streams, step time),
where older reports count less: a twentieth less with each, so about twenty
reports or ten seconds count.  A tenth of the target is left for the scatter
of steps.  As long as reports tell no line, because the batch did not vary,
there is no limit unless the last step was over the target.
"""

MARGIN = 0.9
KEPT = 0.95
MIN_VARIANCE = 0.5


class BatchLimit:
    """Learns the greatest batch that keeps the target between outputs.

    Parameters
    ----------
    target_s : float
        Longest time between outputs, in seconds; 0 for no limit.

    Examples
    --------
    >>> from currantdeal.policy import BatchLimit
    >>> limit = BatchLimit(target_s=0.040)
    >>> for running in (4, 8, 12):
    ...     limit.observe(running=running, step_s=0.012 + 0.001 * running)
    >>> limit.streams
    24
    """

    def __init__(self, *, target_s):
        """Start without a limit."""
        self._target_s = target_s * MARGIN
        self._weight = 0.0
        self._sum_n = self._sum_s = 0.0
        self._sum_nn = self._sum_ns = 0.0
        self._last = (0, 0.0)

    def observe(self, *, running, step_s):
        """Take in a report: streams in the batch and time of one step."""
        if running <= 0 or step_s <= 0:
            return
        self._last = (running, step_s)
        self._weight = self._weight * KEPT + 1.0
        self._sum_n = self._sum_n * KEPT + running
        self._sum_s = self._sum_s * KEPT + step_s
        self._sum_nn = self._sum_nn * KEPT + running * running
        self._sum_ns = self._sum_ns * KEPT + running * step_s

    @property
    def streams(self):
        """Streams that keep the target, at least 1; infinite if unknown."""
        if self._target_s <= 0 or not self._weight:
            return float("inf")
        line = self._line()
        if line is None:
            return self._by_last_report()
        fixed_s, each_s = line
        return max(1, int((self._target_s - fixed_s) / each_s + 1e-9))

    def _line(self):
        mean_n = self._sum_n / self._weight
        mean_s = self._sum_s / self._weight
        variance = self._sum_nn / self._weight - mean_n**2
        if variance < MIN_VARIANCE:
            return None
        each_s = (self._sum_ns / self._weight - mean_n * mean_s) / variance
        if each_s <= 0:
            return None
        return mean_s - each_s * mean_n, each_s

    def _by_last_report(self):
        running, step_s = self._last
        if step_s <= self._target_s:
            return float("inf")
        return max(1, int(running * self._target_s / step_s))
