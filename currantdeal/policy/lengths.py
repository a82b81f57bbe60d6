"""Output lengths, learned by caller and kind of work.

The load pattern is a full decode pool, whose memory must be reserved before
anyone knows how long an answer gets.  Reserving the allowed maximum leaves
most of the memory idle, because answers are mostly far shorter; reserving too
little makes streams stall in the middle for want of memory.  Callers differ
far more from each other than one caller's answers among themselves, so each
caller's recent answers predict the next one best.

Lengths are counted in buckets that grow by a quarter, so a quantile is off by
at most that much, which is less than answers scatter.  Counts are halved
every 64 answers, so that a caller's change of habit shows within about a
hundred answers.  Below 8 answers of a caller the answers of all callers of
that kind are used, and before any of those half the allowed maximum.
"""

import math
from collections import OrderedDict

FIRST_BUCKET_TOKENS = 8
BUCKET_GROWTH = 1.25
BUCKETS = 40
HALVE_AT = 64
ENOUGH = 8
UNKNOWN_SHARE = 0.5
MAX_CALLERS = 20_000


class OutputLengths:
    """Remembers how long answers were.

    Parameters
    ----------
    max_callers : int
        Pairs of caller and kind that are remembered; the least recently
        seen is forgotten first.

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
        """Start without any knowledge."""
        self._max_callers = max_callers
        self._by_caller = OrderedDict()
        self._by_kind = {}

    def observe(self, *, caller, kind, tokens):
        """Take in the length of one whole answer."""
        key = (caller, kind)
        counts = self._by_caller.setdefault(key, _Counts())
        self._by_caller.move_to_end(key)
        if len(self._by_caller) > self._max_callers:
            self._by_caller.popitem(last=False)
        counts.add(tokens)
        self._by_kind.setdefault(kind, _Counts()).add(tokens)

    def expected(self, *, caller, kind, max_output_tokens, quantile=0.5):
        """Return the tokens within which an answer ends this often.

        Parameters
        ----------
        quantile : float
            Share of answers that are no longer than the result.
        """
        counts = self._by_caller.get((caller, kind))
        if counts is None or counts.total < ENOUGH:
            counts = self._by_kind.get(kind)
        if counts is None or counts.total < ENOUGH:
            return max(1, int(max_output_tokens * UNKNOWN_SHARE))
        return max(1, min(max_output_tokens, counts.quantile(quantile)))


class _Counts:
    __slots__ = ("_counts", "total")

    def __init__(self):
        self._counts = [0.0] * BUCKETS
        self.total = 0.0

    def add(self, tokens):
        self._counts[_bucket(tokens)] += 1.0
        self.total += 1.0
        if self.total >= HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self.total /= 2

    def quantile(self, share):
        wanted = share * self.total
        seen = 0.0
        for bucket, count in enumerate(self._counts):
            seen += count
            if seen >= wanted and seen > 0:
                return _upper_bound(bucket)
        return _upper_bound(BUCKETS - 1)


def _bucket(tokens):
    if tokens <= FIRST_BUCKET_TOKENS:
        return 0
    steps = math.log(tokens / FIRST_BUCKET_TOKENS, BUCKET_GROWTH)
    return min(BUCKETS - 1, math.ceil(steps - 1e-9))


def _upper_bound(bucket):
    return math.ceil(FIRST_BUCKET_TOKENS * BUCKET_GROWTH**bucket)
