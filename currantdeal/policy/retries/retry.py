"""Decide on retries: at one layer, within a budget, only where they are safe.

Load pattern: retry storm.  In an outage many requests fail at once, and each
retry is one more request for the capacity that is left.  Without a budget the
retries multiply the load just when capacity is missing, and sustain the
overload after the outage is over.

Each first attempt adds a tenth of a retry to the budget, so retries add at
most a tenth to the load.  The budget holds up to ten retries, so that a single
failure under low load is always retried.  Work that is not idempotent is
retried only if it provably did not run.  A stream that has begun is resumed
instead of retried, which takes nothing from the budget.
"""

from dataclasses import dataclass

from currantdeal.core import Ran

RETRIES_PER_FIRST_ATTEMPT = 0.1
MAX_BALANCE = 10.0
MAX_ATTEMPTS = 3
BASE_DELAY_S = 0.02


@dataclass(frozen=True, kw_only=True)
class RetryDecision:
    """Whether and when to retry.

    Parameters
    ----------
    allowed : bool
        False means that the failure is returned to the caller now.
    delay_s : float
        Backoff before the next attempt, in seconds, with jitter.
    """

    allowed: bool
    delay_s: float = 0.0


class RetryBudget:
    """Retry budget of one instance.

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

    def __init__(self, *, rng, balance=MAX_BALANCE):
        """Start with a balance of retries."""
        self._rng = rng
        self._balance = balance

    def record_first_attempt(self):
        """Credit the budget for one first attempt."""
        self._balance = min(
            MAX_BALANCE, self._balance + RETRIES_PER_FIRST_ATTEMPT
        )

    def decide(self, *, ran, idempotent, attempts, time_left_s=float("inf")):
        """Return the ``RetryDecision`` after a failed attempt.

        Parameters
        ----------
        ran : Ran
            Whether the failed attempt ran.
        idempotent : bool
            Whether the work may safely run twice.
        attempts : int
            Attempts so far, including the failed one.
        time_left_s : float
            Seconds until the deadline of the work.
        """
        safe = idempotent or ran is Ran.NO
        delay_s = BASE_DELAY_S * 2**attempts * self._rng.uniform(0.5, 1.0)
        in_time = delay_s < time_left_s
        if not safe or attempts >= MAX_ATTEMPTS or not in_time:
            return RetryDecision(allowed=False)
        if self._balance < 1.0:
            return RetryDecision(allowed=False)
        self._balance -= 1.0
        return RetryDecision(allowed=True, delay_s=delay_s)
