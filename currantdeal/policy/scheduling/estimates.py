"""Estimate the cost and duration of work before it runs.

Load pattern: requests of very different cost.  One prompt costs as much as a
hundred others, so the number of queued requests says nothing about load.
Admission, fair queueing and reservations therefore need the cost of work in
advance; without it a whole catalogue would count as much as a greeting.

Without measurements a decode step is assumed to take 20 ms and prefill to
process 8,000 tokens a second, the speeds of a mid-sized model on one worker.
The time from start to first output is corrected by the smoothed ratio of
actual to estimated time; an observation is capped at a ratio of four and has a
weight of a tenth.  Memory is reserved for the output length that 70% of a
caller's answers do not exceed, or up to 90% for users who give more weight to
wasted prefill.  The safety margin before a start is explained in
``scheduler``.
"""

from currantdeal.policy.scheduling.weights import EVEN_WEIGHTS

DEFAULT_STEP_S = 0.02
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
PREFILL_BASE_S = 0.01
MIN_QUANTILE = 0.7
EXTRA_QUANTILE = 0.2
"""Added in proportion to the weight of wasted prefill."""

MIN_START_MARGIN = 0.1
EXTRA_START_MARGIN = 0.2
"""Added in proportion to the weight of wasted prefill."""

RATIO_SMOOTHING = 0.1
MAX_RATIO = 4.0


class Estimates:
    """Estimates of cost and duration, updated as work runs.

    Parameters
    ----------
    lengths : OutputLengths
        Distribution of output lengths.
    weights : UserWeights
        More weight on wasted prefill reserves more memory and widens the
        margin before a start.

    Examples
    --------
    >>> from currantdeal.core import Work, WorkKind
    >>> from currantdeal.policy import Estimates, OutputLengths
    >>> estimates = Estimates(lengths=OutputLengths())
    >>> work = Work(request_id="r", caller="c", kind=WorkKind.CHAT,
    ...             target="m", region="r1", prompt_tokens=800,
    ...             max_output_tokens=100)
    >>> round(estimates.first_output_s(work), 2), estimates.cost_s(work)
    (0.12, 1.1)
    """

    def __init__(self, *, lengths, weights=EVEN_WEIGHTS):
        """Start with the default speeds."""
        waste_share = weights.waste_weight_share
        self._lengths = lengths
        self._quantile = MIN_QUANTILE + EXTRA_QUANTILE * waste_share
        self._start_factor = (
            1.0 + MIN_START_MARGIN + EXTRA_START_MARGIN * waste_share
        )
        self._first_output_ratio = 1.0

    def reserved_tokens(self, work):
        """Return the output tokens to reserve memory for."""
        return self._expected_tokens(work, self._quantile)

    def hold_s(self, work, step_s):
        """Return the expected time that decode memory is held, in seconds."""
        return self._expected_tokens(work, 0.5) * (step_s or DEFAULT_STEP_S)

    def cost_s(self, work):
        """Return the engine time of prefill and decode, in seconds."""
        prefill_s = work.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_S
        return prefill_s + self.hold_s(work, DEFAULT_STEP_S)

    def first_output_s(self, work):
        """Return the expected time from start to first output, in seconds."""
        return self._first_output_ratio * _unloaded_first_output_s(work)

    def would_miss_deadline(self, work, now_s):
        """Return whether work that starts now would miss its deadline."""
        return now_s + self.first_output_s(work) * self._start_factor > (
            work.deadline_s
        )

    def observe_first_output(self, work, first_output_s):
        """Record the time between start and first output, in seconds."""
        ratio = min(MAX_RATIO, first_output_s / _unloaded_first_output_s(work))
        self._first_output_ratio += RATIO_SMOOTHING * (
            ratio - self._first_output_ratio
        )

    def observe_output(self, work, tokens):
        """Record the length of a complete answer."""
        self._lengths.observe(
            caller=work.caller, kind=work.kind, tokens=tokens
        )

    def _expected_tokens(self, work, quantile):
        return self._lengths.expected(
            caller=work.caller,
            kind=work.kind,
            max_output_tokens=work.max_output_tokens,
            quantile=quantile,
        )


def unloaded_prefill_s(tokens):
    """Return the time of a prefill on an unloaded engine of default speed."""
    return PREFILL_BASE_S + tokens / DEFAULT_PREFILL_TOKENS_PER_S


def _unloaded_first_output_s(work):
    return work.prompt_tokens / DEFAULT_PREFILL_TOKENS_PER_S + DEFAULT_STEP_S
