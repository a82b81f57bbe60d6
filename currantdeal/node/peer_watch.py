"""Ends connections whose peers are gone, and keeps those whose peers are slow.

``TCP_USER_TIMEOUT`` cannot tell them apart: with a closed window it ends a
connection also if the peer acknowledges each probe.  It is set only as long
as the system has not shown that it reports acknowledgements.
"""

import asyncio
import errno
import os
from weakref import WeakKeyDictionary, WeakSet

from currantdeal.adapters.watched_socket import WatchedSocket
from currantdeal.policy.health.peer_liveness import PeerState

LOOK_INTERVAL_S = 0.25
"""Interval of the looks at a connection while bytes wait on it."""

CONFIRM_DELAY_S = 0.1
"""Delay of the second look at a peer that seems to be gone.

It lets in an acknowledgement that arrived while this process was paused.
"""

MAX_BLANK_LOOKS = 8
"""Looks at quiet connections without any facts after which the system is
taken to report none."""

QUIET_S = 0.1
"""Time without a write after which a look at a connection has facts.

The kernel's times are zero right after bytes were exchanged.
"""

_watches = WeakKeyDictionary()


def peer_watch():
    """Return the ``PeerWatch`` of the running event loop."""
    loop = asyncio.get_running_loop()
    if loop not in _watches:
        _watches[loop] = PeerWatch(loop=loop)
    return _watches[loop]


class WatchedPeer(WatchedSocket):
    """The peer of one connection.

    Parameters
    ----------
    watch : PeerWatch
        Looks at it while bytes wait.
    transport : asyncio.Transport
        The connection.
    on_gone : callable or None
        Called with an ``OSError`` once the peer is gone; by default the
        connection is aborted.

    Attributes
    ----------
    on_taken : callable
        Called once all that was written is acknowledged.
    is_given_up : bool
        Whether what waits is to be delivered no more.
    """

    def __init__(self, *, watch, transport, on_gone):
        """Start with nothing that waits."""
        super().__init__(sock=transport.get_extra_info("socket"))
        self.transport = transport
        self.on_gone = on_gone or (lambda exc: self.abort())
        self.on_taken = lambda: None
        self.suspected_s = None
        self.written_s = 0.0
        self.is_given_up = False
        self._watch = watch

    @property
    def untaken_bytes(self):
        """Bytes that were not acknowledged at the last look, about."""
        if not self._watch.is_waiting(self):
            return 0
        return self.transport.get_write_buffer_size() + self.kernel_bytes

    def record_write(self):
        """Look at the connection until what was written is acknowledged."""
        self._watch.begin(self)

    def abort(self):
        """Abort the connection, and deliver nothing of it much later.

        The kernel repeats for minutes what a process leaves behind, and a
        request that was given up would run once its path is repaired.
        """
        self.give_up()
        self.transport.abort()

    def give_up(self):
        """Let the kernel drop soon what waits."""
        self.is_given_up = True
        self.set_kernel_timeout(True)


class PeerWatch:
    """Looks at the connections of an event loop on which bytes wait.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Runs the looks; there are none while nothing waits.
    """

    def __init__(self, *, loop):
        """Start without connections."""
        self._loop = loop
        self._peers = WeakSet()
        self._waiting = {}
        self._probes = True
        self._is_released = False
        self._timer = None
        self._has_facts = None
        self._blank_looks = 0

    @property
    def has_facts(self):
        """Whether the system reports acknowledgements; None if unknown."""
        return self._has_facts

    @property
    def waiting(self):
        """Number of connections on which bytes wait."""
        return len(self._waiting)

    def add(self, transport, *, on_gone=None):
        """Return the ``WatchedPeer`` of a new connection."""
        peer = WatchedPeer(
            watch=self,
            transport=transport,
            on_gone=on_gone,
        )
        self._peers.add(peer)
        if not self._has_facts:
            peer.set_kernel_timeout(True)
        return peer

    def remove(self, peer):
        """Stop watching a peer whose connection is to be added again."""
        self._peers.discard(peer)
        self._waiting.pop(peer, None)
        peer.leave_to_kernel()

    def is_waiting(self, peer):
        """Return whether bytes to a peer wait."""
        return peer in self._waiting

    def begin(self, peer):
        """Look at a peer from now on, unless the system reports no facts."""
        if self._has_facts is None:
            peer.written_s = self._loop.time()
        if peer in self._waiting or self._has_facts is False:
            return
        if self._is_released:
            return
        peer.begin(self._loop.time())
        self._waiting[peer] = None
        if self._timer is None:
            self._timer = self._loop.call_later(LOOK_INTERVAL_S, self._look)

    def stop_probing(self):
        """Let the kernel probe closed windows as usual, before a release.

        It counts its probes, and drops what a process leaves behind sooner
        after many of them.
        """
        self._probes = False
        for peer in tuple(self._peers):
            peer.set_probing(False)

    def release(self):
        """Leave all connections to the kernel, as the process ends.

        It delivers what the peers have not taken, unless a socket has unread
        bytes or an option that resets it.
        """
        self._is_released = True
        for peer in tuple(self._peers):
            if not peer.is_given_up:
                peer.leave_to_kernel()
        self._waiting.clear()

    def _look(self):
        self._timer = None
        try:
            self._look_at_all()
        finally:
            # Also after an error of a callback: others still wait.
            self._schedule()

    def _look_at_all(self):
        for peer in tuple(self._waiting):
            if peer in self._waiting:
                self._look_at(peer)
        if self._has_facts is False:
            for peer in tuple(self._waiting):
                self._end(peer)

    def _schedule(self):
        """Schedule the next look, unless a callback has done so."""
        if self._waiting and self._timer is None:
            suspects = any(p.suspected_s is not None for p in self._waiting)
            delay_s = CONFIRM_DELAY_S if suspects else LOOK_INTERVAL_S
            self._timer = self._loop.call_later(delay_s, self._look)

    def _look_at(self, peer):
        if not peer.is_open:
            del self._waiting[peer]
            return
        now_s = self._loop.time()
        facts = peer.look(now_s)
        if facts is None:
            self._record_blank(quiet_s=now_s - peer.written_s)
            return
        self._has_facts = True
        peer.set_kernel_timeout(False)
        if peer.state is PeerState.GONE:
            self._suspect(peer, now_s, _end_error(facts))
            return
        peer.suspected_s = None
        is_stalled = peer.state is PeerState.STALLED
        is_closing = peer.transport.is_closing()
        peer.set_probing(is_stalled and self._probes and not is_closing)
        has_ended = not facts.is_outstanding
        if has_ended and not peer.transport.get_write_buffer_size():
            self._end(peer)

    def _end(self, peer):
        del self._waiting[peer]
        peer.on_taken()

    def _suspect(self, peer, now_s, error):
        if peer.suspected_s is None:
            peer.suspected_s = now_s
        elif now_s - peer.suspected_s >= CONFIRM_DELAY_S / 2:
            peer.give_up()
            del self._waiting[peer]
            peer.on_gone(error)

    def _record_blank(self, *, quiet_s):
        """Record a look without facts at a connection."""
        if self._has_facts is None and quiet_s >= QUIET_S:
            self._blank_looks += 1
            if self._blank_looks >= MAX_BLANK_LOOKS:
                self._has_facts = False


def _end_error(facts):
    """Return the error with which the kernel itself would end it."""
    number = errno.ECONNRESET if facts.is_reset else errno.ETIMEDOUT
    return OSError(number, os.strerror(number))
