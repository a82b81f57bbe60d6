"""Finds why a request was late, refused or failed, from its last log line.

The cause is the first step that took the request past its target.  Later
steps are often consequences: once a caller has waited for a silent engine,
the memory of the other engines is taken.
"""

from dataclasses import dataclass
from enum import Enum

from currantdeal.entry.steps import StepKind, parse_step
from currantdeal.node.connection_end import ConnectionEnd

LONG_WAIT_SHARE = 0.3
"""Share of the target from which on the wait for one step is a cause."""

RETRY_TIMEOUT_SHARE = 0.8
"""Share of the route's longest timeout below which a caller is retrying.

A retrying caller has spent the rest of its timeout on an earlier attempt.
"""

PREEMPTION_PAUSE_RATIO = 3.0
"""Multiple of the gap target above which a pause is a preemption.

The prefill of another prompt between two events makes a shorter pause.
"""

_FAILURE_STEPS = frozenset(
    {StepKind.UNREACHABLE, StepKind.SILENT, StepKind.LOST}
)


class Cause(str, Enum):
    """First cause of a loss; the values are printed by ``account``."""

    NONE = "in time"
    LEFT = "the caller left"
    UNTAKEN = "the caller did not take the answer"
    STOPPING = "this instance stopped"
    NO_VIEW = "no routes or upstreams known"
    RETRIED = "had been refused before"
    REFUSED_AGAIN = "refused once more"
    LIMIT = "held back by limits of upstreams"
    ENGINE_SILENT = "asked an engine that did not answer"
    ENGINE_REFUSED = "an engine refused after the prompt was read"
    ENGINE_LOST = "the engine broke the stream off or fell silent"
    MEMORY = "waited for memory"
    PROMPT = "the prompt waited or was slow"
    FIRST_EVENT = "the first event was slow after the prompt"
    PREEMPTED = "long pause, preempted"
    PAUSE = "pause, another prompt or a crowded engine"
    UPSTREAM_ERROR = "the upstream answered with an error"
    UPSTREAM_LOST = "the upstream was lost or silent"
    UPSTREAM_SLOW = "the upstream took long"
    OTHER = "other"


_CAUSE_OF_WAIT = {
    StepKind.MEMORY: Cause.MEMORY,
    StepKind.PREFILL: Cause.PROMPT,
    StepKind.STREAM: Cause.FIRST_EVENT,
} | dict.fromkeys(_FAILURE_STEPS, Cause.ENGINE_SILENT)
"""Cause of a long wait, by the kind of the step that ended it."""


_CAUSE_OF_END = {
    f"cancelled: {end.description}": cause
    for end, cause in (
        (ConnectionEnd.SLOW, Cause.UNTAKEN),
        (ConnectionEnd.IDLE, Cause.UNTAKEN),
        (ConnectionEnd.STOPPED, Cause.STOPPING),
        (ConnectionEnd.LOCAL, Cause.OTHER),
    )
}
"""Cause of a cancelled request, unless its caller left."""


@dataclass(frozen=True, kw_only=True)
class RequestEnd:
    """The end of a request, parsed from its log line.

    Parameters
    ----------
    kind : str
        "generation" or "call".
    first_s : float or None
        Time to the first output; None if there was none.
    pause_s : float
        Longest pause between two outputs.
    caller_timeout_s : float
        Time for which the caller would have waited for the answer.
    """

    at: float
    route: str
    kind: str
    outcome: str
    took_s: float
    first_s: float | None
    pause_s: float
    target_s: float
    gap_target_s: float
    caller_timeout_s: float
    prompt_tokens: int
    steps: tuple

    @property
    def is_answered(self):
        """True if the caller received the whole answer."""
        return self.outcome == "answered"

    @property
    def is_late(self):
        """True if the answer or one of its pauses exceeded its target."""
        first_s = self.took_s if self.first_s is None else self.first_s
        if first_s > self.target_s:
            return True
        return bool(self.gap_target_s) and self.pause_s > self.gap_target_s


def parse_request_end(line):
    """Return the ``RequestEnd`` of a log line; None for any other event."""
    fields = line.fields
    if line.event != "request-ended" or "target" not in fields:
        return None
    steps = (parse_step(text) for text in fields["steps"])
    return RequestEnd(
        at=line.at,
        route=fields["route"],
        kind="generation" if fields["prompt_tokens"] else "call",
        outcome=fields["outcome"],
        took_s=fields["took"],
        first_s=fields["first"],
        pause_s=fields["longest_pause"],
        target_s=fields["target"],
        gap_target_s=fields["pause_target"],
        caller_timeout_s=fields["patience"] or 0.0,
        prompt_tokens=fields["prompt_tokens"],
        steps=tuple(step for step in steps if step is not None),
    )


def find_cause(end, *, longest_caller_timeout_s):
    """Return the ``Cause`` of a request's loss; ``Cause.NONE`` without one.

    Parameters
    ----------
    longest_caller_timeout_s : float
        Longest timeout of the callers of this route, in seconds.
    """
    retrying = (
        end.caller_timeout_s < RETRY_TIMEOUT_SHARE * longest_caller_timeout_s
    )
    if end.outcome.startswith("cancelled"):
        return _CAUSE_OF_END.get(end.outcome, Cause.LEFT)
    if end.is_answered and retrying:
        return Cause.RETRIED
    if end.is_answered and not end.is_late:
        return Cause.NONE
    if "stops" in end.outcome:
        return Cause.STOPPING
    if "no configuration" in end.outcome:
        return Cause.NO_VIEW
    if "limits" in end.outcome:
        return Cause.LIMIT
    if retrying and end.outcome.startswith("refused"):
        return Cause.REFUSED_AGAIN
    return _generation_cause(end) if end.prompt_tokens else _call_cause(end)


def _generation_cause(end):
    has_output = end.first_s is not None
    if has_output and (end.first_s <= end.target_s or not end.is_answered):
        return _pause_cause(end)
    return _first_long_wait(end)


def _pause_cause(end):
    kinds = {step.kind for step in end.steps}
    if kinds.intersection(_FAILURE_STEPS) or not end.is_answered:
        return Cause.ENGINE_LOST
    if end.pause_s > PREEMPTION_PAUSE_RATIO * end.gap_target_s:
        return Cause.PREEMPTED
    return Cause.PAUSE


def _first_long_wait(end):
    """Return the cause of the first wait that took too much of the target."""
    long_wait_s = LONG_WAIT_SHARE * end.target_s
    previous_s = 0.0
    for step in end.steps:
        if step.kind is StepKind.LEFT:
            continue
        wait_s = step.after_s - previous_s
        previous_s = step.after_s
        if step.kind is StepKind.REFUSED:
            return Cause.ENGINE_REFUSED
        if wait_s >= long_wait_s and step.kind in _CAUSE_OF_WAIT:
            return _CAUSE_OF_WAIT[step.kind]
    if "no memory" in end.outcome:
        return Cause.MEMORY
    kinds = [step.kind for step in end.steps]
    if any(kind in _FAILURE_STEPS for kind in kinds):
        return Cause.ENGINE_LOST
    return Cause.FIRST_EVENT if end.first_s is not None else Cause.OTHER


def _call_cause(end):
    kinds = [step.kind for step in end.steps]
    if any(kind in _FAILURE_STEPS for kind in kinds):
        return Cause.UPSTREAM_LOST
    if StepKind.ERROR in kinds:
        return Cause.UPSTREAM_ERROR
    if "no upstream" in end.outcome:
        return Cause.NO_VIEW
    if end.is_answered:
        return Cause.UPSTREAM_SLOW
    return Cause.OTHER
