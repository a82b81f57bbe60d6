"""What a piece of work will probably take.

The load pattern is a queue whose length in requests says nothing: one prompt
costs as much as a hundred others.  Admission, fairness and reservations need
the cost of work before it runs, or they would count a catalogue like a
greeting.

Before anything is measured a decode step is taken as 20 ms and prefill as
8,000 tokens a second, the speed of a mid-sized model on one worker.  The time
from start to first output is corrected by the smoothed ratio of what it took,
a tenth of each new one, at most four times.  Memory is reserved for the length
within which 70% of a caller's answers end, and up to 90% for users who weigh
waste.  The margin before a start is explained in ``scheduler``.
"""

from currantdeal.policy.weights import EVEN_WEIGHTS

STEP_S = 0.02
PREFILL_TOKENS_PER_S = 8_000.0
PREFILL_BASE_S = 0.01
MIN_QUANTILE = 0.7
CAUTIOUS_QUANTILE = 0.2
MIN_START_MARGIN = 0.1
CAUTIOUS_START_MARGIN = 0.2
RATIO_SMOOTHING = 0.1
MAX_RATIO = 4.0


class Estimates:
    """Costs and times of work, learned as it runs.

    Parameters
    ----------
    lengths : OutputLengths
        How long answers were.
    weights : UserWeights
        More weight on waste reserves more and starts less late.

    Examples
    --------
    >>> from currantdeal.core import Work, WorkKind
    >>> from currantdeal.policy import Estimates, OutputLengths
    >>> estimates = Estimates(lengths=OutputLengths())
    >>> work = Work(request_id="r", caller="c", kind=WorkKind.CHAT,
    ...             target="m", region="r1", prompt_tokens=800,
    ...             max_output_tokens=100)
    >>> round(estimates.path_s(work), 2), estimates.cost_s(work)
    (0.12, 1.1)
    """

    def __init__(self, *, lengths, weights=EVEN_WEIGHTS):
        """Start with the usual speeds."""
        caution = weights.caution
        self._lengths = lengths
        self._quantile = MIN_QUANTILE + CAUTIOUS_QUANTILE * caution
        self._start_margin = (
            1.0 + MIN_START_MARGIN + CAUTIOUS_START_MARGIN * caution
        )
        self._path_ratio = 1.0

    def reserved_tokens(self, work):
        """Return the output tokens to reserve memory for."""
        return self._expected(work, self._quantile)

    def hold_s(self, work, step_s):
        """Return how long decode memory will be held, in seconds."""
        return self._expected(work, 0.5) * (step_s or STEP_S)

    def cost_s(self, work):
        """Return the time of prefill and decode together, in seconds."""
        prefill_s = work.prompt_tokens / PREFILL_TOKENS_PER_S
        return prefill_s + self.hold_s(work, STEP_S)

    def path_s(self, work):
        """Return the time from start to first output, in seconds."""
        return self._path_ratio * _ideal_path_s(work)

    def is_late(self, work, now_s):
        """Return whether work that starts now would miss its deadline."""
        return now_s + self.path_s(work) * self._start_margin > (
            work.deadline_s
        )

    def learn_path(self, work, path_s):
        """Learn from the time between start and first output, in seconds."""
        ratio = min(MAX_RATIO, path_s / _ideal_path_s(work))
        self._path_ratio += RATIO_SMOOTHING * (ratio - self._path_ratio)

    def learn_output(self, work, tokens):
        """Learn from the length of a whole answer."""
        self._lengths.observe(
            caller=work.caller, kind=work.kind, tokens=tokens
        )

    def _expected(self, work, quantile):
        return self._lengths.expected(
            caller=work.caller,
            kind=work.kind,
            max_output_tokens=work.max_output_tokens,
            quantile=quantile,
        )


def usual_prefill_s(tokens):
    """Return the time of a prefill that has a usual engine to itself."""
    return PREFILL_BASE_S + tokens / PREFILL_TOKENS_PER_S


def _ideal_path_s(work):
    return work.prompt_tokens / PREFILL_TOKENS_PER_S + STEP_S
