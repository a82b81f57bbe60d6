"""Steps of a request, as its log line lists them.

The command ``account`` parses the text of a step and relies on its format.
"""

from dataclasses import dataclass
from enum import Enum
from functools import singledispatch

from currantdeal.node.errors import (
    ConnectError,
    ExchangeError,
    ResponseTimeoutError,
)


class StepKind(str, Enum):
    """Kind of a step.

    Attributes
    ----------
    MEMORY
        A decode engine reserved memory.
    PREFILL
        A prefill engine prefilled the prompt.
    LOCAL_PREFILL
        The decode engine is to prefill the prompt itself.
    STREAM
        A decode engine began to send events.
    END
        The events of an engine ended; how, and where in them.
    ANSWER
        An upstream answered a call that is not a generation.
    UNREACHABLE
        An upstream accepted no connection.
    SILENT
        An upstream did not answer in time.
    LOST
        The connection to an upstream ended early.
    REFUSED
        An upstream did not run the request.
    ERROR
        An upstream failed.
    ENGINE_LOST
        The process that granted memory or kept the KV cache has ended.
    NO_BUDGET
        The retry budget did not allow another attempt.
    MOVE
        A move to another engine has ended; how, or why it was given up.
    LEFT
        It was sent to an upstream in another data centre; for what, and why.
    """

    MEMORY = "memory"
    PREFILL = "prompt"
    LOCAL_PREFILL = "own-prompt"
    STREAM = "stream"
    END = "end"
    ANSWER = "answer"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    LOST = "lost"
    REFUSED = "refused"
    ERROR = "error"
    ENGINE_LOST = "engine-lost"
    NO_BUDGET = "no-budget"
    MOVE = "move"
    LEFT = "left"


@dataclass(frozen=True, kw_only=True)
class Step:
    """One step of a request.

    Parameters
    ----------
    after_s : float
        Seconds since the request arrived.
    kind : StepKind
        What happened.
    upstream : str
        The upstream of the step, or empty.
    detail : str
        Further text for operators, or empty.

    Examples
    --------
    >>> step = Step(after_s=0.25, kind=StepKind.MEMORY, upstream="d1")
    >>> str(step)
    '0.250 memory d1'
    >>> parse_step("0.401 silent d2: no answer in 0.40 s").kind.value
    'silent'
    >>> parse_step("of another release") is None
    True
    """

    after_s: float
    kind: StepKind
    upstream: str = ""
    detail: str = ""

    def __str__(self):
        """Return the step as it is logged."""
        parts = (f"{self.after_s:.3f}", self.kind.value, self.upstream)
        text = " ".join(part for part in parts if part)
        return f"{text}: {self.detail}" if self.detail else text


def parse_step(text):
    """Parse the text of a logged step; returns None if it is not one."""
    head, _, detail = text.partition(": ")
    parts = head.split()
    try:
        after_s, kind = float(parts[0]), StepKind(parts[1])
    except (IndexError, ValueError):
        return None
    upstream = parts[2] if len(parts) > 2 else ""
    return Step(after_s=after_s, kind=kind, upstream=upstream, detail=detail)


@singledispatch
def kind_of_failure(exc):
    """Return the ``StepKind`` of a failed exchange."""
    raise TypeError(f"not a failed exchange: {exc!r}")


@kind_of_failure.register
def _(exc: ExchangeError):
    return StepKind.LOST


@kind_of_failure.register
def _(exc: ConnectError):
    return StepKind.UNREACHABLE


@kind_of_failure.register
def _(exc: ResponseTimeoutError):
    return StepKind.SILENT
