"""How a move of a silent stream to another engine ends, for logs and metrics.

A move is begun once, and has one further outcome.
"""

from enum import Enum


class MoveOutcome(str, Enum):
    """Stage or end of a move; the value is a label of metrics.

    Attributes
    ----------
    BEGUN
        A successor of the present run is sought.
    KEPT
        The present run spoke first and goes on.
    WON
        The successor goes on.
    GIVEN_UP
        No successor can be had; ``MoveFailure`` tells why.

    Examples
    --------
    >>> MoveOutcome.GIVEN_UP.value
    'given-up'
    """

    BEGUN = "begun"
    KEPT = "kept"
    WON = "won"
    GIVEN_UP = "given-up"


class MoveFailure(str, Enum):
    """Why a move was given up; the value is a label of metrics.

    Attributes
    ----------
    NO_MEMORY
        No other engine granted memory.
    RETRY_BUDGET
        The retry budget is used up.
    PREFILL
        The prompt was not prefilled for the successor.
    REFUSED
        The successor was not accepted, or was answered with an error.
    LOST
        The connection of the successor ended early.
    UNANSWERED
        The successor sent no event in its time.
    STOPPED
        The request ended for another reason.
    """

    NO_MEMORY = "no-memory"
    RETRY_BUDGET = "retry-budget"
    PREFILL = "prefill"
    REFUSED = "refused"
    LOST = "lost"
    UNANSWERED = "unanswered"
    STOPPED = "stopped"
