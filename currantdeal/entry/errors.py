"""Errors of the entries: why a request gets no complete answer."""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch

from currantdeal.core.errors import CurrantdealError
from currantdeal.node.errors import (
    SendExpiredError,
    UnchargedError,
    UnsendableRequestError,
)
from currantdeal.node.fingerprint import describe_verdict
from currantdeal.policy.retries.retry_after import RefusalReason


class BreakReason(str, Enum):
    """Why an answer that had begun was broken off, in one word.

    The value is a label of metrics.  Where several things were in the way,
    the last one counts.

    Attributes
    ----------
    NO_ENGINE
        No attempt was made; an answer that has begun never has it.
    NO_MEMORY
        No engine granted memory for the next run in its time.
    RETRY_BUDGET
        The retry budget allowed no further run.
    NO_PREFILL
        The prompt was not prefilled for the next run.
    UNREACHED
        The engine of the next run accepted no connection.
    RUN_LOST
        The run ended early, and its request may not be resumed.
    ATTEMPTS
        The run ended early, and was the last one that is allowed.
    ENGINE_LEFT
        The engine of the next run, or its process, left.
    NOT_ALLOWED
        The caller's key is withdrawn or not confirmed, or the request is
        suspected to crash upstreams.
    REFUSED
        The engine of the next run did not accept it.
    NOT_SIGNED
        Another program answered the next run.
    ERROR
        The engine of the next run answered with an error.
    UNKNOWN_END
        Nobody can tell whether the next run was whole.
    UNSENDABLE
        HTTP cannot express the request for the next run.
    SLOW_CALLER
        The caller took nothing while an engine waited for it.
    TIME_OVER
        The request's time was over, or too short for another run.
    """

    NO_ENGINE = "no-engine"
    NO_MEMORY = "no-memory"
    RETRY_BUDGET = "retry-budget"
    NO_PREFILL = "no-prefill"
    UNREACHED = "unreached"
    RUN_LOST = "run-lost"
    ATTEMPTS = "attempts"
    ENGINE_LEFT = "engine-left"
    NOT_ALLOWED = "not-allowed"
    REFUSED = "refused"
    NOT_SIGNED = "not-signed"
    ERROR = "error"
    UNKNOWN_END = "unknown-end"
    UNSENDABLE = "unsendable"
    SLOW_CALLER = "slow-caller"
    TIME_OVER = "time-over"

    @property
    def description(self):
        """Text for log lines, unless there is more to say.

        Examples
        --------
        >>> BreakReason.NO_MEMORY.description
        'no memory'
        """
        return _DESCRIPTIONS[self]


_DESCRIPTIONS = {
    BreakReason.NO_ENGINE: "no engine took it",
    BreakReason.NO_MEMORY: "no memory",
    BreakReason.RETRY_BUDGET: "the retry budget is used up",
    BreakReason.NO_PREFILL: "its prompt was not prefilled",
    BreakReason.UNREACHED: "the engine accepted no connection",
    BreakReason.RUN_LOST: "the run was lost",
    BreakReason.ATTEMPTS: "no attempt is left",
    BreakReason.ENGINE_LEFT: "the engine left meanwhile",
    BreakReason.NOT_ALLOWED: (
        "its key cannot be confirmed, or upstreams crashed"
    ),
    BreakReason.REFUSED: "the run was refused",
    BreakReason.NOT_SIGNED: "the answer is not signed",
    BreakReason.ERROR: "the resumed run failed",
    BreakReason.UNKNOWN_END: "the end of a resumed run is unknown",
    BreakReason.UNSENDABLE: "the request cannot be encoded",
    BreakReason.SLOW_CALLER: "the caller takes nothing",
    BreakReason.TIME_OVER: "too little time is left",
}


@dataclass(frozen=True, kw_only=True)
class Failure:
    """Why an attempt at a generation failed.

    Parameters
    ----------
    reason : BreakReason
        Word for it, should it break an answer off.
    text : str
        Text for logs and for the caller.

    Examples
    --------
    >>> lost = Failure(reason=BreakReason.RUN_LOST, text="ended early")
    >>> lost.followed_by(BreakReason.ATTEMPTS).text
    'ended early, and no attempt is left'
    """

    reason: BreakReason
    text: str

    def followed_by(self, reason):
        """Return the ``Failure`` if nothing else is tried, for a reason."""
        text = f"{self.text}, and {reason.description}"
        return Failure(reason=reason, text=text)


class EntryError(CurrantdealError):
    """Base of the errors of this package."""


class UnauthorisedError(EntryError):
    """The request has no key of an organisation, and has not run."""


class RefusedError(EntryError):
    """The request has not run and will not run.

    Parameters
    ----------
    reason : str
        Text for logs and for the caller.
    refusal_reason : RefusalReason
        What is missing; determines the retry-after.
    """

    def __init__(self, reason, *, refusal_reason):
        """Store the text and the ``RefusalReason``."""
        super().__init__(reason)
        self.refusal_reason = refusal_reason


class QuotaExceededError(RefusedError):
    """The quota of an organisation is used up.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    retry_after_s : float
        Time after which the quota allows the request.
    kept_units : int
        Units that are kept for requests of another urgency.
    """

    def __init__(self, organisation, *, retry_after_s, kept_units=0):
        """Compose the reason; the request has not run."""
        kept = f" but for {kept_units} kept units" if kept_units else ""
        super().__init__(
            f"the quota of organisation {organisation!r} is used up{kept}",
            refusal_reason=RefusalReason.QUOTA,
        )
        self.retry_after_s = retry_after_s


class LimitReachedError(RefusedError):
    """All upstreams that could run the request are at their limits.

    Parameters
    ----------
    retry_after_s : float
        Time after which one of them takes the request.
    """

    def __init__(self, *, retry_after_s):
        """Compose the reason; the request has not run."""
        super().__init__(
            "all upstreams are at the limits that they have named",
            refusal_reason=RefusalReason.LIMIT,
        )
        self.retry_after_s = retry_after_s


class MemoryShortError(RefusedError):
    """No engine has memory for the request in its time.

    Parameters
    ----------
    retry_after_s : float or None
        Predicted time after which its turn comes; None if unknown.
    """

    def __init__(self, reason, *, retry_after_s):
        """Store the prediction; the request has not run."""
        super().__init__(reason, refusal_reason=RefusalReason.MEMORY)
        self.retry_after_s = retry_after_s


class QuarantinedError(RefusedError):
    """The request, or a part of its prompt, crashes upstreams.

    Parameters
    ----------
    verdict : Verdict
        What is quarantined.
    """

    def __init__(self, verdict):
        """Compose the reason; the request has not run."""
        super().__init__(
            f"{describe_verdict(verdict)}: upstreams that ran it crashed",
            refusal_reason=RefusalReason.QUARANTINE,
        )
        self.kind = verdict.kind


class FailedError(EntryError):
    """The request may have run, and its outcome is unknown."""


class IncompleteAnswerError(EntryError):
    """The answer ended early, after a part of it was forwarded.

    Parameters
    ----------
    text : str
        Text for logs.
    reason : BreakReason
        Word for logs and metrics.
    """

    def __init__(self, text, *, reason):
        """Store the text and the ``BreakReason``."""
        super().__init__(text)
        self.reason = reason


class SupersededError(EntryError):
    """Another run has sent the next event in the place of a silent one."""


class PrefillFailedError(EntryError):
    """A prefill engine did not confirm the prefill of a prompt.

    Parameters
    ----------
    reason : str
        Text for logs.
    maybe_running : bool
        Whether the engine may run the prefill nevertheless.
    """

    def __init__(self, reason, *, maybe_running):
        """Store the reason and whether the prefill may be running."""
        super().__init__(reason)
        self.maybe_running = maybe_running


@singledispatch
def break_reason_of(exc):
    """Return the ``BreakReason`` for a run that was not sent.

    Examples
    --------
    >>> break_reason_of(UnchargedError("the charge has lapsed")).value
    'retry-budget'
    """
    raise TypeError(f"does not keep a run from being sent: {exc!r}")


@break_reason_of.register
def _(exc: SendExpiredError):
    return BreakReason.NOT_ALLOWED


@break_reason_of.register
def _(exc: UnchargedError):
    return BreakReason.RETRY_BUDGET


@break_reason_of.register
def _(exc: UnsendableRequestError):
    return BreakReason.UNSENDABLE


def error_of(failure, *, has_begun, may_have_run, verdict, retry_after_s):
    """Return the ``EntryError`` for a generation that has failed.

    Parameters
    ----------
    failure : Failure
        Why its last attempt failed.
    has_begun : bool
        Whether a part of its answer was forwarded.
    may_have_run : bool
        Whether an engine may have run it.
    verdict : Verdict or None
        What of it is quarantined.
    retry_after_s : float or None
        See ``MemoryShortError``.
    """
    if has_begun:
        return IncompleteAnswerError(failure.text, reason=failure.reason)
    if may_have_run:
        return FailedError(failure.text)
    if verdict is not None:
        return QuarantinedError(verdict)
    if failure.reason is BreakReason.RETRY_BUDGET:
        return RefusedError(
            failure.text, refusal_reason=RefusalReason.RETRY_BUDGET
        )
    return MemoryShortError(failure.text, retry_after_s=retry_after_s)
