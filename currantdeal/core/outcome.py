"""What is known of a request that got no answer.

A caller decides from the outcome whether it may send a request again, so an
outcome is only ever as strong as what is proved.
"""

from enum import Enum


class Outcome(str, Enum):
    """What a refusal says about the work it refuses."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Ran(str, Enum):
    """Whether an attempt at an upstream ran there."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


def outcome_of(ran):
    """Return the outcome that a refusal may state for a last attempt.

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
