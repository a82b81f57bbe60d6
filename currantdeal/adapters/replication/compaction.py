"""Decides when a replica replaces its log by a snapshot.

A snapshot bounds the length of the log on disk and the time of a restart.
"""

import threading

from currantdeal.adapters.replication.requests import Compact
from currantdeal.state import encode_state

COMPACT_ENTRIES = 4_096
"""Number of entries since the last snapshot that starts the next one."""

COMPACT_BYTES = 16_777_216
"""Length of the log segment that starts the next snapshot."""

KEEP_ENTRIES = 2_048
"""Entries kept in memory before a snapshot.

A replica or view that lags by fewer entries catches up without a snapshot.
"""


class Compaction:
    """Starts snapshots and encodes them on a separate thread.

    Encoding a large state takes longer than an election timeout.  The state
    is immutable, so the replica continues to run during the encoding.

    Parameters
    ----------
    index : int
        Version of the snapshot on disk.
    send : callable
        Takes the ``Compact`` message with the encoded state.
    """

    def __init__(self, *, index, send):
        """Start with the version of the snapshot on disk."""
        self._index = index
        self._send = send
        self._encoding = False

    def record_snapshot(self, index):
        """Record the version of a new snapshot on disk."""
        self._index = index
        self._encoding = False

    def start_if_due(self, state, segment_bytes):
        """Start a snapshot of the state if one is due."""
        new_entries = state.version - self._index
        large = new_entries > 0 and segment_bytes >= COMPACT_BYTES
        if self._encoding or not (new_entries >= COMPACT_ENTRIES or large):
            return
        self._encoding = True
        threading.Thread(
            target=self._encode, args=(state,), daemon=True
        ).start()

    def _encode(self, state):
        self._send(Compact(index=state.version, data=encode_state(state)))
