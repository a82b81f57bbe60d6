"""Refuse requests on arrival that could not be answered before their deadline.

Load pattern: sustained overload.  Without admission control the queue grows
until every request in it misses its deadline: engines stay busy while hardly
any answer arrives in time.  A late answer is worth nothing to its caller, so
the request is refused before it costs anything, and the refusal says when to
retry.

The time to first output is predicted as the time to work off the queue ahead,
at the rate at which this instance recently started work, plus the time of the
request's own prefill, transfer and first decode step.  The rate is smoothed
over about two seconds, which is several prefills.  A margin of a tenth of the
time left covers the variation of step times; it grows to a quarter for users
who give all weight to wasted prefill.  The queue is limited in seconds of
engine time instead of requests, because prompt lengths differ by three orders
of magnitude.
"""

from dataclasses import dataclass

from currantdeal.policy.scheduling.weights import EVEN_WEIGHTS

SMOOTHING_S = 2.0
MIN_MARGIN = 0.10
EXTRA_MARGIN = 0.15
"""Added in proportion to the weight of wasted prefill."""

MAX_QUEUED_S = 60.0
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, kw_only=True)
class Admitted:
    """The work is queued.

    Parameters
    ----------
    predicted_s : float
        Predicted time to first output, in seconds.
    """

    predicted_s: float


@dataclass(frozen=True, kw_only=True)
class Refused:
    """The work is refused before it ran (``not-run``).

    Parameters
    ----------
    reason : str
        Reason, for the text of the refusal.
    retry_after_s : float
        Seconds after which a retry may be accepted.
    """

    reason: str
    retry_after_s: float


class StartRate:
    """Engine time of the work that an instance starts in a second, smoothed.

    Examples
    --------
    >>> from currantdeal.policy import StartRate
    >>> rate = StartRate(initial=4.0)
    >>> rate.per_s
    4.0
    """

    def __init__(self, *, initial=1.0):
        """Start with an estimate, such as the number of matching engines."""
        self._per_s = initial
        self._since_s = None
        self._cost_s = 0.0

    @property
    def per_s(self):
        """Engine time started per second, smoothed."""
        return self._per_s

    def record(self, *, cost_s, now_s, waiting):
        """Record that work was started.

        Parameters
        ----------
        waiting : bool
            Whether other work was queued.  A start with an empty queue gives
            no information on the maximum rate.
        """
        if self._since_s is None or not waiting:
            self._since_s = now_s
            self._cost_s = 0.0
            return
        self._cost_s += cost_s
        elapsed_s = now_s - self._since_s
        if elapsed_s < SMOOTHING_S / 8:
            return
        smoothing = min(1.0, elapsed_s / SMOOTHING_S)
        self._per_s += smoothing * (self._cost_s / elapsed_s - self._per_s)
        self._since_s = now_s
        self._cost_s = 0.0


class Admission:
    """Admission control of one instance.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of retry times.
    weights : UserWeights
        More weight on wasted prefill widens the margin.
    max_queued_s : float
        Limit of the queue, in seconds of engine time.

    Examples
    --------
    >>> from random import Random
    >>> from currantdeal.policy import Admission
    >>> admission = Admission(rng=Random(1))
    >>> admission.decide(time_left_s=2.0, cost_ahead_s=1.0, cost_s=0.5,
    ...                  queued_s=1.0, rate_per_s=1.0, first_output_s=0.5)
    Admitted(predicted_s=1.5)
    """

    def __init__(
        self, *, rng, weights=EVEN_WEIGHTS, max_queued_s=MAX_QUEUED_S
    ):
        """Store the settings."""
        self._rng = rng
        self._margin = MIN_MARGIN + EXTRA_MARGIN * weights.waste_weight_share
        self._max_queued_s = max_queued_s

    def decide(
        self,
        *,
        time_left_s,
        cost_ahead_s,
        cost_s,
        queued_s,
        rate_per_s,
        first_output_s,
    ):
        """Return ``Admitted`` or ``Refused``.

        Parameters
        ----------
        time_left_s : float
            Seconds until the deadline.
        cost_ahead_s : float
            Engine time of the work that is served before it, in seconds.
        cost_s : float
            Engine time of the work, in seconds.
        queued_s : float
            Engine time of all queued work, in seconds.
        rate_per_s : float
            Engine time started per second.
        first_output_s : float
            Time from start to first output (prefill, transfer and first
            step), in seconds.
        """
        wait_s = cost_ahead_s / max(rate_per_s, 1e-6)
        predicted_s = wait_s + first_output_s
        if queued_s + cost_s > self._max_queued_s:
            excess_s = queued_s + cost_s - self._max_queued_s
            return self._refuse("the queue is full", excess_s / rate_per_s)
        if predicted_s > time_left_s * (1.0 - self._margin):
            return self._refuse(
                "the deadline cannot be met", predicted_s - time_left_s
            )
        return Admitted(predicted_s=predicted_s)

    def refuse_expired(self, *, wait_s):
        """Return ``Refused`` for queued work that will miss its deadline."""
        return self._refuse("the deadline can no longer be met", wait_s)

    def _refuse(self, reason, retry_after_s):
        bounded_s = min(
            MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)
        )
        # Jitter: callers that are refused together would retry together, so
        # that the end of an overload would cause the next burst.
        jittered_s = bounded_s * self._rng.uniform(1.0, 1.5)
        return Refused(reason=reason, retry_after_s=jittered_s)
