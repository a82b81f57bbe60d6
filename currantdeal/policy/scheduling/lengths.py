"""Predict output lengths from recent answers, by caller and kind of work.

Load pattern: full decode pool.  Decode memory must be reserved before the
length of an answer is known.  Reserving the allowed maximum leaves most of the
memory idle, because most answers are far shorter; reserving too little stalls
streams midway for lack of memory.  Lengths differ far more between callers
than between the answers of one caller, so a caller's recent answers are the
best predictor.

Lengths are counted in a histogram whose buckets grow by a quarter, so the
error of a quantile is at most a quarter, which is less than the variation of
answers.  Counts are halved whenever they total 64, so that a change in a
caller's answers shows within about a hundred answers.  A caller with fewer
than 8 answers is predicted from the answers of all callers of that kind of
work, and without enough of those from half the allowed maximum.
"""

import math
from collections import OrderedDict

FIRST_BUCKET_TOKENS = 8
BUCKET_GROWTH = 1.25
BUCKET_COUNT = 40
HALVE_AT_TOTAL = 64
MIN_SAMPLES = 8
DEFAULT_LENGTH_SHARE = 0.5
MAX_CALLERS = 20_000


class OutputLengths:
    """Histograms of output lengths.

    Parameters
    ----------
    max_callers : int
        Limit of the pairs of caller and kind that are kept; the least
        recently observed one is evicted first.

    Examples
    --------
    >>> from currantdeal.core import CallerId, WorkKind
    >>> from currantdeal.policy import OutputLengths
    >>> lengths = OutputLengths()
    >>> caller, kind = CallerId("oven"), WorkKind.CHAT
    >>> for _ in range(20):
    ...     lengths.observe(caller=caller, kind=kind, tokens=100)
    >>> 100 <= lengths.expected(
    ...     caller=caller, kind=kind, max_output_tokens=1000) <= 125
    True
    """

    def __init__(self, *, max_callers=MAX_CALLERS):
        """Start without observations."""
        self._max_callers = max_callers
        self._by_caller = OrderedDict()
        self._by_kind = {}

    def observe(self, *, caller, kind, tokens):
        """Record the length of one complete answer."""
        key = (caller, kind)
        histogram = self._by_caller.setdefault(key, _Histogram())
        self._by_caller.move_to_end(key)
        if len(self._by_caller) > self._max_callers:
            self._by_caller.popitem(last=False)
        histogram.add(tokens)
        self._by_kind.setdefault(kind, _Histogram()).add(tokens)

    def expected(self, *, caller, kind, max_output_tokens, quantile=0.5):
        """Return a quantile of the output length, in tokens.

        Parameters
        ----------
        quantile : float
            Share of answers that are at most as long as the result.
        """
        histogram = self._by_caller.get((caller, kind))
        if histogram is None or histogram.total < MIN_SAMPLES:
            histogram = self._by_kind.get(kind)
        if histogram is None or histogram.total < MIN_SAMPLES:
            return max(1, int(max_output_tokens * DEFAULT_LENGTH_SHARE))
        return max(1, min(max_output_tokens, histogram.quantile(quantile)))


class _Histogram:
    __slots__ = ("_counts", "total")

    def __init__(self):
        self._counts = [0.0] * BUCKET_COUNT
        self.total = 0.0

    def add(self, tokens):
        self._counts[_bucket(tokens)] += 1.0
        self.total += 1.0
        if self.total >= HALVE_AT_TOTAL:
            self._counts = [count / 2 for count in self._counts]
            self.total /= 2

    def quantile(self, share):
        target = share * self.total
        cumulative = 0.0
        for bucket, count in enumerate(self._counts):
            cumulative += count
            if cumulative >= target and cumulative > 0:
                return _upper_bound(bucket)
        return _upper_bound(BUCKET_COUNT - 1)


def _bucket(tokens):
    if tokens <= FIRST_BUCKET_TOKENS:
        return 0
    steps = math.log(tokens / FIRST_BUCKET_TOKENS, BUCKET_GROWTH)
    return min(BUCKET_COUNT - 1, math.ceil(steps - 1e-9))


def _upper_bound(bucket):
    return math.ceil(FIRST_BUCKET_TOKENS * BUCKET_GROWTH**bucket)
