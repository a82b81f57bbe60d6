"""Errors of the serving layer: refusals, each with its proved outcome."""

from enum import Enum

from currantdeal.core import CurrantdealError, Outcome


class ServingError(CurrantdealError):
    """Base of the serving layer's errors."""


class CallerGoneError(ServingError):
    """The caller hung up; nobody waits for an answer."""


class Reason(str, Enum):
    """Why a request got no answer; stable names that callers may test."""

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
    """A request is given up; becomes the caller's final answer at once.

    Parameters
    ----------
    message : str
        What went wrong, for people.
    reason : Reason
        What went wrong, for programs.
    outcome : Outcome
        What is proved of the work.
    retry_after_s : float or None
        Seconds after which a new try may succeed; None if none will.
    """

    def __init__(self, message, *, reason, outcome, retry_after_s=None):
        """Keep what the answer tells."""
        super().__init__(message)
        self.reason = reason
        self.outcome = outcome
        self.retry_after_s = retry_after_s


def not_run(message, *, reason, retry_after_s=None):
    """Return a refusal of work that is proved not to have run."""
    return RefusedError(
        message,
        reason=reason,
        outcome=Outcome.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def late_answer():
    """Return the refusal of work whose first output came too late."""
    return RefusedError(
        "the first output came too late",
        reason=Reason.DEADLINE,
        outcome=Outcome.FAILED,
        retry_after_s=1.0,
    )
