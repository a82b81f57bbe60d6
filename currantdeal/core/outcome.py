"""Outcomes of requests that failed: whether their work ran.

A caller decides from the outcome whether it may retry a request, so an outcome
never states more than is certain.
"""

from enum import Enum


class Outcome(str, Enum):
    """What an error response states about the work of its request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Ran(str, Enum):
    """Whether an attempt ran on its upstream."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


def outcome_of(ran):
    """Return the outcome to state when the last attempt failed.

    Examples
    --------
    >>> from currantdeal.core import Ran, outcome_of
    >>> outcome_of(Ran.MAYBE).value
    'unknown'
    """
    return _OUTCOMES[ran]


_OUTCOMES = {
    Ran.NO: Outcome.NOT_RUN,
    Ran.MAYBE: Outcome.UNKNOWN,
    Ran.YES: Outcome.FAILED,
}
