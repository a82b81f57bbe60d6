"""Retries: at one layer, within a budget, and only where they do no harm.

The load pattern is an outage: many requests fail at once, and each retry is
one more request for what is left.  Without a budget the retries multiply the
load just when capacity is missing and keep it up after the outage is over.

Each first try earns a tenth of a retry, so retries add at most a tenth to the
load; ten may be saved up, so that a single failure in quiet times is always
retried.  Work that is not idempotent is tried again only where it is proved
that it did not run.  A stream that has begun is resumed, not retried; that is
no retry and takes nothing from the budget.
"""

from dataclasses import dataclass

from currantdeal.core import Ran

EARNED_PER_TRY = 0.1
MAX_SAVED = 10.0
MAX_ATTEMPTS = 3
FIRST_DELAY_S = 0.02


@dataclass(frozen=True, kw_only=True)
class RetryDecision:
    """Whether and when to try again.

    Parameters
    ----------
    allowed : bool
        False means that the caller gets its refusal now.
    delay_s : float
        Seconds to wait before the next try; jittered.
    """

    allowed: bool
    delay_s: float = 0.0


class RetryBudget:
    """Decides on retries of one instance.

    Examples
    --------
    >>> from random import Random
    >>> from currantdeal.core import Ran
    >>> from currantdeal.policy import RetryBudget
    >>> budget = RetryBudget(rng=Random(1))
    >>> budget.decide(ran=Ran.MAYBE, idempotent=False, attempts=1).allowed
    False
    >>> budget.decide(ran=Ran.NO, idempotent=False, attempts=1).allowed
    True
    """

    def __init__(self, *, rng, saved=MAX_SAVED):
        """Start with some saved retries."""
        self._rng = rng
        self._saved = saved

    def record_try(self):
        """Earn for one first try."""
        self._saved = min(MAX_SAVED, self._saved + EARNED_PER_TRY)

    def decide(self, *, ran, idempotent, attempts, time_left_s=float("inf")):
        """Return whether to try again after a failed attempt.

        Parameters
        ----------
        ran : Ran
            Whether the failed attempt ran.
        idempotent : bool
            Whether running the work twice does no harm.
        attempts : int
            Attempts so far, the failed one included.
        time_left_s : float
            Seconds until the work's deadline.
        """
        harmless = idempotent or ran is Ran.NO
        delay_s = FIRST_DELAY_S * 2**attempts * self._rng.uniform(0.5, 1.0)
        in_time = delay_s < time_left_s
        if not harmless or attempts >= MAX_ATTEMPTS or not in_time:
            return RetryDecision(allowed=False)
        if self._saved < 1.0:
            return RetryDecision(allowed=False)
        self._saved -= 1.0
        return RetryDecision(allowed=True, delay_s=delay_s)
