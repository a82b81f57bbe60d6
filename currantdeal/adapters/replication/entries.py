"""From entries of the log to states and results."""

from dataclasses import dataclass

from currantdeal.consensus import EntryKind
from currantdeal.core import Codec
from currantdeal.state import (
    COMMANDS,
    RESULTS,
    ClusterState,
    apply_command,
    decode_state,
    skip_entry,
)

COMMAND_CODEC = Codec(classes=COMMANDS)
RESULT_CODEC = Codec(classes=RESULTS)


@dataclass(frozen=True, kw_only=True)
class Step:
    """An entry as the view of the state needs it.

    Parameters
    ----------
    index : int
        Version of the state after it.
    command : bytes or None
        Encoded; None when the entry only moves the version on.
    """

    index: int
    command: bytes | None


def step_of(entry):
    """Return the step that an entry of the log makes."""
    is_command = entry.kind is EntryKind.COMMAND
    return Step(index=entry.index, command=entry.data if is_command else None)


def take_step(state, step):
    """Return the next state and the command's result, if it has one."""
    if step.command is None:
        return skip_entry(state, version=step.index), None
    command = COMMAND_CODEC.decode(step.command)
    return apply_command(state, command, version=step.index)


def state_of(data):
    """Return the state that a snapshot's bytes hold; empty at the start."""
    return decode_state(data) if data else ClusterState()
