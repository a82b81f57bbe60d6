"""Follows what the peer of one TCP connection acknowledges.

See Also
--------
currantdeal.policy.health.peer_liveness : judges it
"""

import contextlib
import socket

from currantdeal.adapters.connection_facts import read_facts
from currantdeal.policy.health.peer_liveness import (
    GONE_S,
    PeerState,
    judge_peer,
)

_TCP_RTO_MAX_MS = 44
_PROBE_INTERVAL_MS = 1_000
"""Longest interval of the probes of a closed window: the least that Linux
accepts, since 6.15."""


class WatchedSocket:
    """A socket at whose acknowledgements somebody looks while bytes wait.

    Parameters
    ----------
    sock : socket.socket or None
        The connection.
    gone_s : float
        Time without an acknowledgement that means a lost peer.
    has_kernel_timeout : bool
        Whether the kernel's own timeout is set, by the listener.

    Attributes
    ----------
    state : PeerState
        What the peer did at the last look.
    kernel_bytes : int
        What the kernel held at the last look, about.
    """

    def __init__(self, *, sock, gone_s=GONE_S, has_kernel_timeout=False):
        """Start with nothing that waits."""
        self.state = PeerState.IDLE
        self.kernel_bytes = 0
        self._socket = sock
        self._gone_s = gone_s
        self._has_timeout = has_kernel_timeout
        self._silent_since_s = 0.0
        self._looked_s = 0.0
        self._acknowledgements = None
        self._repeats_before = 0
        self._usual_interval_ms = None

    @property
    def is_open(self):
        """Whether the connection has a socket that is not closed."""
        return self._socket is not None and self._socket.fileno() >= 0

    def begin(self, now_s):
        """Start to measure how long acknowledgements are awaited."""
        self._silent_since_s = self._looked_s = now_s
        self._acknowledgements = None
        self.kernel_bytes = 1

    def look(self, now_s):
        """Update the state; returns the ``ConnectionFacts``, or None."""
        facts = read_facts(self._socket)
        if facts is None:
            return None
        if facts.acknowledgements != self._acknowledgements:
            self._acknowledgements = facts.acknowledgements
            self._repeats_before = facts.retransmissions
            self._silent_since_s = max(
                self._looked_s, now_s - facts.acknowledged_s
            )
        self._looked_s = now_s
        self.kernel_bytes = facts.unsent_bytes + facts.unacknowledged
        self.state = judge_peer(
            facts,
            silent_s=now_s - self._silent_since_s,
            repeats=facts.retransmissions - self._repeats_before,
            gone_s=self._gone_s,
        )
        return facts

    def set_kernel_timeout(self, enabled):
        """Let the kernel end the connection after bytes that wait, or not."""
        if enabled == self._has_timeout or not self.is_open:
            return
        self._has_timeout = enabled
        self._socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(self._gone_s * 1e3) if enabled else 0,
        )

    def leave_to_kernel(self):
        """Let the kernel deliver what waits once the connection is closed."""
        self.set_probing(False)
        self.set_kernel_timeout(False)

    def set_probing(self, enabled):
        """Let a closed window be probed often, so that a loss shows soon.

        The kernel drops what a process leaves behind sooner with that, so
        that it ends before a connection is closed.
        """
        if enabled == (self._usual_interval_ms is not None):
            return
        if not self.is_open:
            return
        with contextlib.suppress(OSError):
            # Older systems probe ever more rarely, and notice a loss later.
            if enabled:
                usual_ms = self._socket.getsockopt(
                    socket.IPPROTO_TCP, _TCP_RTO_MAX_MS
                )
                self._set_interval(_PROBE_INTERVAL_MS)
                self._usual_interval_ms = usual_ms
            else:
                self._set_interval(self._usual_interval_ms)
                self._usual_interval_ms = None

    def _set_interval(self, interval_ms):
        self._socket.setsockopt(
            socket.IPPROTO_TCP, _TCP_RTO_MAX_MS, interval_ms
        )
