"""When a replica puts a snapshot in place of its log."""

import threading

from currantdeal.adapters.replication.requests import Compact
from currantdeal.state import encode_state

COMPACT_ENTRIES = 4_096
"""Entries after a snapshot that call for the next one."""

COMPACT_BYTES = 16_777_216
"""Length of the segment that calls for the next snapshot."""

KEEP_ENTRIES = 2_048
"""Entries kept before a snapshot, so that a short lag needs no snapshot."""


class Compaction:
    """Decides on snapshots and encodes them on a thread of its own.

    Encoding a large state takes longer than an election timeout, and the
    state is immutable, so the replica goes on meanwhile.

    Parameters
    ----------
    index : int
        Version of the snapshot on disk.
    tell : callable
        Takes the ``Compact`` message with the encoded state.
    """

    def __init__(self, *, index, tell):
        """Start from the snapshot on disk."""
        self._index = index
        self._tell = tell
        self._encoding = False

    def note(self, index):
        """Note the version of a new snapshot on disk."""
        self._index = index
        self._encoding = False

    def consider(self, state, segment_bytes):
        """Begin a snapshot of a state if one is due."""
        behind = state.version - self._index
        large = behind > 0 and segment_bytes >= COMPACT_BYTES
        if self._encoding or not (behind >= COMPACT_ENTRIES or large):
            return
        self._encoding = True
        threading.Thread(
            target=self._encode, args=(state,), daemon=True
        ).start()

    def _encode(self, state):
        self._tell(Compact(index=state.version, data=encode_state(state)))
