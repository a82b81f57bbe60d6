"""Applies entries of the replicated log to the state.

The replica, the view and the backup of a data folder all use these functions,
so that they compute the same state.
"""

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
class StateUpdate:
    """A log entry, reduced to what is needed to apply it to the state.

    Parameters
    ----------
    index : int
        Version of the state after the update.
    command : bytes or None
        Encoded command; None if the entry only increments the version.
    """

    index: int
    command: bytes | None


def update_from_entry(entry):
    """Return the update that a log entry makes to the state."""
    is_command = entry.kind is EntryKind.COMMAND
    return StateUpdate(
        index=entry.index, command=entry.data if is_command else None
    )


def apply_update(state, update):
    """Return the next state and the command's result, or None."""
    if update.command is None:
        return skip_entry(state, version=update.index), None
    command = COMMAND_CODEC.decode(update.command)
    return apply_command(state, command, version=update.index)


def state_from_snapshot(data):
    """Decode a snapshot's bytes; no bytes give the empty state."""
    return decode_state(data) if data else ClusterState()
