"""Decides from what its kernel acknowledges whether a peer is there.

Load pattern: slow readers.  A peer that has no time to read closes its window
and acknowledges each probe, however long that lasts.  One that is gone
acknowledges nothing.  Both let bytes wait, so that a timeout on bytes alone
takes the one for the other.
"""

from dataclasses import dataclass
from enum import Enum

GONE_S = 1.5
"""Time without an acknowledgement, while one is due, that means a lost peer.

Ten round trips between regions, with three retransmissions.
"""

MIN_PROBES = 2
"""Unanswered probes of a closed window that mean a lost peer.

Kernels leave one unanswered that follows another within half a second.
"""


class PeerState(Enum):
    """What a connection's peer does with the bytes that are sent to it."""

    IDLE = "idle"
    """Nothing waits."""

    TAKING = "taking"
    """Bytes wait, and its window is open."""

    STALLED = "stalled"
    """Bytes wait, its window is closed, and it acknowledges."""

    CLOSING = "closing"
    """All bytes are taken, and this side of the connection has ended."""

    GONE = "gone"
    """An acknowledgement is overdue."""


@dataclass(frozen=True, kw_only=True)
class ConnectionFacts:
    """What the kernel knows of a connection.

    Parameters
    ----------
    unacknowledged : int
        Segments that were sent and not acknowledged.
    unsent_bytes : int
        Bytes that wait in the kernel for the window of the peer.
    window_bytes : int
        What the peer has room for.
    acknowledged_s : float
        Seconds since the last segment with an acknowledgement, also one that
        repeats an earlier one beside data.
    acknowledgements : int
        Grows with each acknowledgement that is new or has no data beside it.
    retransmissions : int
        Retransmissions of the oldest segment.
    probes : int
        Probes of a closed window since the last acknowledgement.
    has_ended : bool
        Whether this side of the connection has been closed.
    is_reset : bool
        Whether the connection exists no more.
    """

    unacknowledged: int = 0
    unsent_bytes: int = 0
    window_bytes: int = 0
    acknowledged_s: float = 0.0
    acknowledgements: int = 0
    retransmissions: int = 0
    probes: int = 0
    has_ended: bool = False
    is_reset: bool = False

    @property
    def is_outstanding(self):
        """Whether an acknowledgement is due, or bytes wait for the window."""
        return bool(self.unacknowledged or self.unsent_bytes)

    @property
    def is_window_closed(self):
        """Whether bytes wait for the peer's window and not for the path."""
        if not self.is_outstanding:
            return False
        return self.window_bytes == 0 or not self.unacknowledged


def judge_peer(facts, *, silent_s, repeats=0, gone_s=GONE_S):
    """Return the ``PeerState`` of a connection.

    A peer that is judged to be gone may have answered a moment later; the
    judgement counts if it is the same at a second look.

    Parameters
    ----------
    facts : ConnectionFacts
        What the kernel knows now.
    silent_s : float
        Seconds without an acknowledgement while bytes have waited.
    repeats : int
        Retransmissions in that time.
    gone_s : float
        Seconds of it that mean a lost peer.

    Examples
    --------
    >>> stalled = ConnectionFacts(unsent_bytes=9, probes=1)
    >>> judge_peer(stalled, silent_s=1.6).value
    'stalled'
    >>> lost = ConnectionFacts(
    ...     unacknowledged=1, window_bytes=9, retransmissions=3
    ... )
    >>> judge_peer(lost, silent_s=0.5).value
    'taking'
    >>> judge_peer(lost, silent_s=1.5).value
    'gone'
    """
    if facts.is_reset:
        return PeerState.GONE
    if not facts.is_outstanding:
        return PeerState.CLOSING if facts.has_ended else PeerState.IDLE
    if silent_s >= gone_s and _is_unanswered(facts, repeats):
        return PeerState.GONE
    return PeerState.STALLED if facts.is_window_closed else PeerState.TAKING


def _is_unanswered(facts, repeats):
    if not facts.is_window_closed:
        return facts.retransmissions > 0
    # Segments on which the window has closed are repeated in place of probes.
    return facts.probes + repeats >= MIN_PROBES
