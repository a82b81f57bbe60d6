"""Admission: refuse at once what could not be answered in time.

The load pattern is overload that lasts.  Without admission the queue grows
until everything in it is late: engines stay busy, and hardly an answer is
within its target.  A request that will be late is worth nothing, so it is
refused before it costs anything, and the refusal says when to come back.

The time to first output is predicted as the wait for what stands ahead, at
the rate at which this instance lately got work started, plus the time of the
request's own prefill, transfer and first step.  The rate is smoothed over
about two seconds, which is several prefills.  A margin of a tenth covers the
spread of step times; with more caution the margin grows to a quarter.  The
queue is bounded in seconds of engine time, not in requests, because prompts
differ by three orders of magnitude.
"""

from dataclasses import dataclass

from currantdeal.policy.weights import EVEN_WEIGHTS

SMOOTHING_S = 2.0
MIN_MARGIN = 0.10
CAUTIOUS_MARGIN = 0.15
MAX_QUEUED_S = 60.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """The work may wait; its first output is predicted after some seconds."""

    predicted_s: float


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The work is refused, ``not-run``.

    Parameters
    ----------
    reason : str
        Why, for the refusal's text.
    retry_after_s : float
        Seconds after which it could be accepted.
    """

    reason: str
    retry_after_s: float


class StartRate:
    """Engine time of work that an instance gets started each second.

    Examples
    --------
    >>> from currantdeal.policy import StartRate
    >>> rate = StartRate(initial=4.0)
    >>> rate.per_s
    4.0
    """

    def __init__(self, *, initial=1.0):
        """Start from a guess, such as the number of matching engines."""
        self._per_s = initial
        self._since_s = None
        self._cost_s = 0.0

    @property
    def per_s(self):
        """Engine time started a second, smoothed."""
        return self._per_s

    def record(self, *, cost_s, now_s, waiting):
        """Take in a start.

        Parameters
        ----------
        waiting : bool
            Whether other work waited; a start without a queue says nothing
            of the greatest rate.
        """
        if self._since_s is None or not waiting:
            self._since_s = now_s
            self._cost_s = 0.0
            return
        self._cost_s += cost_s
        elapsed_s = now_s - self._since_s
        if elapsed_s < SMOOTHING_S / 8:
            return
        share = min(1.0, elapsed_s / SMOOTHING_S)
        self._per_s += share * (self._cost_s / elapsed_s - self._per_s)
        self._since_s = now_s
        self._cost_s = 0.0


class Admission:
    """Admits or refuses work at one instance.

    Parameters
    ----------
    rng : random.Random
        Spreads the times at which refused callers come back.
    weights : UserWeights
        More weight on waste widens the margin.
    max_queued_s : float
        Engine time that may wait, in seconds.

    Examples
    --------
    >>> from random import Random
    >>> from currantdeal.policy import Admission
    >>> admission = Admission(rng=Random(1))
    >>> admission.decide(time_left_s=2.0, cost_ahead_s=1.0, cost_s=0.5,
    ...                  queued_s=1.0, rate_per_s=1.0, path_s=0.5)
    Admitted(predicted_s=1.5)
    """

    def __init__(
        self, *, rng, weights=EVEN_WEIGHTS, max_queued_s=MAX_QUEUED_S
    ):
        """Keep the settings."""
        self._rng = rng
        self._margin = MIN_MARGIN + CAUTIOUS_MARGIN * weights.caution
        self._max_queued_s = max_queued_s

    def decide(
        self,
        *,
        time_left_s,
        cost_ahead_s,
        cost_s,
        queued_s,
        rate_per_s,
        path_s,
    ):
        """Return ``Admitted`` or ``Refused``.

        Parameters
        ----------
        time_left_s : float
            Seconds until the deadline.
        cost_ahead_s : float
            Engine time that is served before, in seconds.
        cost_s : float
            Engine time of the work itself, in seconds.
        queued_s : float
            Engine time of all that waits, in seconds.
        rate_per_s : float
            Engine time started a second.
        path_s : float
            Time of prefill, transfer and first step once started, seconds.
        """
        wait_s = cost_ahead_s / max(rate_per_s, 1e-6)
        predicted_s = wait_s + path_s
        if queued_s + cost_s > self._max_queued_s:
            over_s = queued_s + cost_s - self._max_queued_s
            return self._refuse("the queue is full", over_s / rate_per_s)
        if predicted_s > time_left_s * (1.0 - self._margin):
            return self._refuse(
                "the deadline cannot be met", predicted_s - time_left_s
            )
        return Admitted(predicted_s=predicted_s)

    def give_up(self, *, wait_s):
        """Return ``Refused`` for work that waited and cannot be in time."""
        return self._refuse("the deadline can no longer be met", wait_s)

    def _refuse(self, reason, after_s):
        bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, after_s))
        # Callers refused together would come back together; the spread keeps
        # the end of an overload from becoming the next burst.
        spread_s = bounded_s * self._rng.uniform(1.0, 1.5)
        return Refused(reason=reason, retry_after_s=spread_s)
