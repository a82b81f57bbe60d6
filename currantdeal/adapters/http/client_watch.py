"""Ends connections whose clients are gone, or hold an answer for too long.

``TCP_USER_TIMEOUT`` cannot tell a client that is gone from one that is slow;
it stays set only until the system has shown that it reports acknowledgements.
"""

import threading
import time
from enum import Enum

import structlog

from currantdeal.adapters.watched_socket import WatchedSocket
from currantdeal.policy.health.peer_liveness import PeerState
from currantdeal.policy.health.untaken_answers import UntakenTimer

LOOK_INTERVAL_S = 0.25
"""Interval of the looks at connections on which bytes wait."""

CLIENT_GONE_S = 4.5
"""Time without an acknowledgement, while one is due, that means a lost client.

With the looks that confirm it, a client is noticed as soon as by the kernel's
timeout of 5 s.
"""

_log = structlog.get_logger(__name__)


class ClientEnd(Enum):
    """Why a connection is ended from this side."""

    GONE = "gone"
    """The client acknowledges nothing."""

    STALLED = "stalled"
    """The client acknowledges, and takes nothing."""


class WatchedClient:
    """The client of one connection.

    Bytes are sent by the threads of the server while another one looks.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    idle_timeout_s : float
        Time for which an answer is held that blocks nothing.
    """

    def __init__(self, *, sock, idle_timeout_s):
        """Start with nothing that waits."""
        self._socket = WatchedSocket(
            sock=sock, gone_s=CLIENT_GONE_S, has_kernel_timeout=True
        )
        self._untaken = UntakenTimer(idle_timeout_s=idle_timeout_s)
        self._sent_bytes = 0
        self._settled_bytes = 0
        self._is_waiting = False
        self._was_gone = False
        self._lock = threading.Lock()

    def record_sent(self, count):
        """Record bytes that the kernel has taken over."""
        self._sent_bytes += count

    def look(self, now_s, *, buffered_bytes, is_blocked):
        """Return whether facts are reported, and a ``ClientEnd`` or None.

        Parameters
        ----------
        buffered_bytes : int
            What this process holds for the client.
        is_blocked : bool
            Whether a thread waits for the client.
        """
        with self._lock:
            sent_bytes = self._sent_bytes
            if sent_bytes == self._settled_bytes and not buffered_bytes:
                return False, None
            if not self._is_waiting:
                self._is_waiting = True
                self._socket.begin(now_s)
                self._untaken.restart()
            facts = self._socket.look(now_s)
            if facts is None:
                return False, None
            self._socket.set_kernel_timeout(False)
            is_stalled = self._socket.state is PeerState.STALLED
            self._socket.set_probing(is_stalled)
            if not (facts.is_outstanding or buffered_bytes):
                self._settled_bytes = sent_bytes
                self._is_waiting = False
            taken_bytes = sent_bytes - facts.unsent_bytes
            return True, self._judge(now_s, taken_bytes, is_blocked)

    def leave(self):
        """Leave what was sent to the kernel, as the connection is closed."""
        with self._lock:
            self._socket.leave_to_kernel()

    def _judge(self, now_s, taken_bytes, is_blocked):
        was_gone = self._was_gone
        self._was_gone = self._socket.state is PeerState.GONE
        if self._was_gone and was_gone:
            return ClientEnd.GONE
        is_over = self._untaken.is_over(
            now_s, taken_bytes=taken_bytes, is_blocked=is_blocked
        )
        if self._is_waiting and is_over:
            return ClientEnd.STALLED
        return None


class ClientWatch:
    """Looks at all connections of a server from a thread of its own.

    Parameters
    ----------
    channels : callable
        Returns the open connections, each with a method ``look``.
    on_facts : callable
        Called once the system has shown that it reports acknowledgements.
    """

    def __init__(self, *, channels, on_facts):
        """Look only after ``start``."""
        self._channels = channels
        self._on_facts = on_facts
        self._has_facts = False
        self._stopping = threading.Event()

    def start(self):
        """Start the thread."""
        threading.Thread(
            target=self._run, name="client-watch", daemon=True
        ).start()

    def stop(self):
        """Stop the thread."""
        self._stopping.set()

    def _run(self):
        while not self._stopping.wait(LOOK_INTERVAL_S):
            for channel in self._channels():
                try:
                    self._look_at(channel)
                except OSError as exc:
                    # The connection was closed meanwhile.
                    _log.debug("client-not-watched", why=str(exc))
                except Exception:
                    # Without this thread nobody would notice lost clients.
                    _log.exception("client-not-watched")

    def _look_at(self, channel):
        has_facts, end = channel.look(time.monotonic())
        if has_facts and not self._has_facts:
            self._has_facts = True
            self._on_facts()
        if end is not None:
            _log.info(
                "client-connection-ended",
                client=channel.addr[0],
                why=end.value,
                untaken_bytes=channel.total_outbufs_len,
            )
            channel.break_off()
