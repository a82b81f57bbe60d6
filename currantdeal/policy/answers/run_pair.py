"""Decides between two runs of one answer while both may still go on.

Load pattern: correlated failure.  A pause that engines share looks to each
of their streams like an engine that is gone.  A run is therefore given up
only for another one that has sent the next event.
"""

from dataclasses import dataclass, replace
from enum import Enum


class RunState(str, Enum):
    """What is known of one of two runs.

    Attributes
    ----------
    ABSENT
        It is not sent yet, and its memory, charge and KV cache may fail.
    SILENT
        It was sent, and nothing is here of it that was not forwarded.
    SPOKE
        An event of it is here that its caller does not have.
    ENDED
        It was refused or lost, or can't be had.
    """

    ABSENT = "absent"
    SILENT = "silent"
    SPOKE = "spoke"
    ENDED = "ended"


class Decision(str, Enum):
    """What becomes of two runs.

    Attributes
    ----------
    WAIT
        Both go on.
    KEEP
        The present run goes on; its successor is cancelled.
    SWITCH
        The successor goes on; the present run is cancelled.
    FAIL
        Neither is left.
    """

    WAIT = "wait"
    KEEP = "keep"
    SWITCH = "switch"
    FAIL = "fail"


@dataclass(frozen=True, kw_only=True)
class RunPair:
    """Two runs of one answer, of which one is to go on.

    Parameters
    ----------
    present, successor : RunState
        The run that the caller has events of, and the one that is to follow.
    is_overlap_over : bool
        Whether both may no longer be at work.
    is_present_reached : bool
        Whether the engine of the present run has been heard of since the
        successor was wanted.

    Examples
    --------
    >>> both = RunPair(present=RunState.SILENT, successor=RunState.SILENT)
    >>> both.decide().value
    'wait'
    >>> both.after(is_overlap_over=True).decide().value
    'keep'
    >>> both.after(successor=RunState.SPOKE).decide().value
    'switch'
    """

    present: RunState = RunState.SILENT
    successor: RunState = RunState.ABSENT
    is_overlap_over: bool = False
    is_present_reached: bool = True

    def after(self, **changes):
        """Return these runs after something has become known of them."""
        return replace(self, **changes)

    def decide(self):
        """Return the ``Decision``.

        The present run is given up only if it has ended, or if its successor
        has spoken and it has not.
        """
        if self.present is RunState.SPOKE:
            return Decision.KEEP
        if self.successor is RunState.SPOKE:
            return Decision.SWITCH
        has_ended = self.present is RunState.ENDED
        if self.successor is RunState.ENDED:
            return Decision.FAIL if has_ended else Decision.KEEP
        if has_ended or self.successor is RunState.ABSENT:
            return Decision.WAIT
        if self.is_overlap_over and self.is_present_reached:
            return Decision.KEEP
        return Decision.WAIT
