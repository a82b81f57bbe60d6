"""Outcome of a call whose connection was reset, and who may retry it.

Load pattern: connection resets in bursts.  A node or a network path drops a
share of its connections at once, each in a different phase of its call.
Whether the call may have run determines what is reported to the caller and who
may retry the call; a single wrong "not run" can charge a customer twice.

The decision depends only on the kind of the call and on the phase at the
reset, so it is the same wherever a connection is lost.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.core import Ran


class CallKind(str, Enum):
    """Kind of a call, by the effect of a second run.

    ``AUXILIARY`` is an internal call that may be retried: a reservation, a
    prefill, a release or a health check.  ``ORDER`` changes the stage of an
    engine.  ``PEER`` is a message between instances, which is idempotent, and
    ``CONTROL`` a call of an upstream or operator to a control instance.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable-stream"
    AUXILIARY = "auxiliary"
    ORDER = "order"
    PEER = "peer"
    CONTROL = "control"


class ExchangePhase(str, Enum):
    """Progress of a call at the reset of its connection.

    ``BETWEEN_EVENTS`` and ``WITHIN_EVENT`` are phases of a stream that the
    caller has already received in part.
    """

    CONNECTING = "connecting"
    SENDING = "sending"
    AWAITING_ANSWER = "awaiting-answer"
    WITHIN_ANSWER = "within-answer"
    BETWEEN_EVENTS = "between-events"
    WITHIN_EVENT = "within-event"


class SenderResult(str, Enum):
    """Result that the sender of a call receives if the call is not retried.

    ``NOT_RUN`` is a refusal with a retry-after time, ``UNKNOWN`` a failure
    after which the call may or may not have run, ``CUT`` the end of the
    connection in the middle of an answer, which cannot look complete.
    ``NOTHING`` is for internal calls, for which no caller waits directly.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    NOTHING = "nothing"


class RetryBy(str, Enum):
    """Who retries a call, and how.

    With ``ENTRY`` the entry sends it to another upstream, with ``RESUMED`` the
    entry has another upstream resume the stream after the last complete event.
    ``SENDER`` is the client that made the call, and ``NOBODY`` means that a
    retry could run the call twice.
    """

    ENTRY = "entry"
    RESUMED = "resumed"
    SENDER = "sender"
    NOBODY = "nobody"


@dataclass(frozen=True, kw_only=True)
class ResetOutcome:
    """Outcome of a call whose connection was reset.

    Parameters
    ----------
    ran : Ran
        Whether the call certainly did not run, or may have run.
    sender_result : SenderResult
        Result that the sender receives if the call is not retried here.
    retry_by : RetryBy
        Who may retry it.
    """

    ran: Ran
    sender_result: SenderResult
    retry_by: RetryBy

    @property
    def retryable_by_entry(self):
        """Whether the entry itself may retry or resume the call."""
        return self.retry_by in (RetryBy.ENTRY, RetryBy.RESUMED)


def reset_outcome(kind, phase):
    """Return the ``ResetOutcome`` of a call whose connection was reset.

    Raises
    ------
    ValueError
        If a call of that kind cannot be reset in that phase.

    Examples
    --------
    >>> kind = CallKind.NON_IDEMPOTENT
    >>> found = reset_outcome(kind, ExchangePhase.CONNECTING)
    >>> found.ran.value, found.sender_result.value, found.retry_by.value
    ('no', 'not-run', 'entry')
    >>> found = reset_outcome(kind, ExchangePhase.SENDING)
    >>> found.ran.value, found.sender_result.value, found.retry_by.value
    ('maybe', 'unknown', 'nobody')
    """
    if not has_phase(kind, phase):
        raise ValueError(
            f'call of kind "{kind.value}" cannot be reset at "{phase.value}"'
        )
    return ResetOutcome(
        ran=Ran.NO if phase is ExchangePhase.CONNECTING else Ran.MAYBE,
        sender_result=_sender_result(kind, phase),
        retry_by=_retry_by(kind, phase),
    )


def has_phase(kind, phase):
    """Return whether a call of a kind can be reset in a phase."""
    return phase not in _STREAM_PHASES or kind in _STREAMS


_STREAMS = frozenset({CallKind.STREAM, CallKind.RESUMABLE_STREAM})
_INTERNAL = frozenset({CallKind.AUXILIARY, CallKind.ORDER, CallKind.PEER})
_RETRYABLE = frozenset(
    {
        CallKind.IDEMPOTENT,
        CallKind.RESUMABLE_STREAM,
        CallKind.AUXILIARY,
        CallKind.PEER,
    }
)
_STREAM_PHASES = frozenset(
    {ExchangePhase.BETWEEN_EVENTS, ExchangePhase.WITHIN_EVENT}
)


def _sender_result(kind, phase):
    if kind in _INTERNAL:
        return SenderResult.NOTHING
    if phase in _STREAM_PHASES:
        return SenderResult.CUT
    return (
        SenderResult.NOT_RUN
        if phase is ExchangePhase.CONNECTING
        else SenderResult.UNKNOWN
    )


def _retry_by(kind, phase):
    if kind is CallKind.CONTROL:
        return RetryBy.SENDER
    if phase is ExchangePhase.CONNECTING:
        return RetryBy.ENTRY
    if kind not in _RETRYABLE:
        return RetryBy.NOBODY
    if phase in _STREAM_PHASES:
        return RetryBy.RESUMED
    return RetryBy.ENTRY
