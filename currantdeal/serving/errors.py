"""Errors of the serving layer.

A refusal states the outcome of the work as far as it is certain.
"""

from enum import Enum

from currantdeal.core import CurrantdealError, Outcome


class ServingError(CurrantdealError):
    """Base class of the serving layer's errors."""


class CallerDisconnectedError(ServingError):
    """The caller has disconnected, so that no answer is sent."""


class Reason(str, Enum):
    """Why a request was refused; a stable part of the API for callers."""

    UNKNOWN_TARGET = "unknown-target"
    NO_MATCHING_UPSTREAM = "no-matching-upstream"
    NO_LEASE = "no-lease"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    UPSTREAM_FAILED = "upstream-failed"
    STILL_RUNNING = "still-running"
    OUTCOME_UNKNOWN = "outcome-unknown"
    KEY_REUSED = "key-reused"
    CLAIMS_FULL = "claims-full"
    STATE_UNAVAILABLE = "state-unavailable"
    ANSWER_TOO_LARGE = "answer-too-large"
    QUARANTINED = "quarantined"


class RefusedError(ServingError):
    """A request failed or was not admitted; returned to its caller at once.

    Parameters
    ----------
    message : str
        Human-readable reason.
    reason : Reason
        Machine-readable reason.
    outcome : Outcome
        Whether the work ran, as far as that is certain.
    retry_after_s : float or None
        Seconds after which a retry may succeed; None if no retry will.
    """

    def __init__(self, message, *, reason, outcome, retry_after_s=None):
        """Store the fields of the answer."""
        super().__init__(message)
        self.reason = reason
        self.outcome = outcome
        self.retry_after_s = retry_after_s


def not_run(message, *, reason, retry_after_s=None):
    """Return a refusal of work that has certainly not run."""
    return RefusedError(
        message,
        reason=reason,
        outcome=Outcome.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def late_answer():
    """Return a refusal of work whose first output missed the deadline."""
    return RefusedError(
        "the first output arrived after the deadline",
        reason=Reason.DEADLINE,
        outcome=Outcome.FAILED,
        retry_after_s=1.0,
    )
