"""Limit how many streams an engine decodes at a time.

Load pattern: many short requests.  They need little memory, so memory alone
admits so many of them into one batch that every stream on the engine misses
its target for the time between outputs, while nothing is refused.

A decode step takes a fixed time plus some time for each stream.  Both are
fitted to the engine's reports by linear regression of step time on streams.
The weight of a report decreases by a twentieth with each newer one, so about
the last twenty reports, or ten seconds, count.  A tenth of the target is left
for the variation of step times.  As long as there is no fit, because the batch
size did not vary, there is no limit unless the last step was over the
target.
"""

TARGET_SHARE = 0.9
REPORT_DECAY = 0.95
MIN_VARIANCE = 0.5


class BatchLimit:
    """Estimates the largest batch that meets the target between outputs.

    Parameters
    ----------
    target_s : float
        Target for the time between outputs, in seconds; 0 for no limit.

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
        self._target_s = target_s * TARGET_SHARE
        self._weight = 0.0
        self._sum_n = self._sum_s = 0.0
        self._sum_nn = self._sum_ns = 0.0
        self._last = (0, 0.0)

    def observe(self, *, running, step_s):
        """Record a report: streams in the batch and time of one step."""
        if running <= 0 or step_s <= 0:
            return
        self._last = (running, step_s)
        self._weight = self._weight * REPORT_DECAY + 1.0
        self._sum_n = self._sum_n * REPORT_DECAY + running
        self._sum_s = self._sum_s * REPORT_DECAY + step_s
        self._sum_nn = self._sum_nn * REPORT_DECAY + running * running
        self._sum_ns = self._sum_ns * REPORT_DECAY + running * step_s

    @property
    def streams(self):
        """Limit of streams, at least 1; infinite if unknown."""
        if self._target_s <= 0 or not self._weight:
            return float("inf")
        fit = self._fit()
        if fit is None:
            return self._limit_by_last_report()
        fixed_s, per_stream_s = fit
        return max(1, int((self._target_s - fixed_s) / per_stream_s + 1e-9))

    def _fit(self):
        mean_n = self._sum_n / self._weight
        mean_s = self._sum_s / self._weight
        variance = self._sum_nn / self._weight - mean_n**2
        if variance < MIN_VARIANCE:
            return None
        per_stream_s = (
            self._sum_ns / self._weight - mean_n * mean_s
        ) / variance
        if per_stream_s <= 0:
            return None
        return mean_s - per_stream_s * mean_n, per_stream_s

    def _limit_by_last_report(self):
        running, step_s = self._last
        if step_s <= self._target_s:
            return float("inf")
        return max(1, int(running * self._target_s / step_s))
