"""Connects other entries to upstreams that they cannot reach themselves.

An accepted connection carries one frame with a ``LinkCall`` and its answer.
From then on all bytes in both directions are forwarded, unchanged and unread.
A connection is never forwarded to a third entry.
"""

import asyncio

import structlog

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.node.link_messages import LinkAnswer, LinkCall, LinkOutcome
from currantdeal.node.peers import (
    FrameReader,
    UnreadableFrameError,
    pack_frame,
)
from currantdeal.node.settings import split_address
from currantdeal.node.sockets import (
    UNREACHABLE_ERRORS,
    end_sending,
    prepare_socket,
)

MAX_LINKS = 256
"""Maximum number of links at a time; each takes two file descriptors."""

CALL_TIMEOUT_S = 1.0
"""Time in which an accepted connection must have sent its call."""

MAX_CONNECT_S = 0.4
"""Longest time for the connection to the upstream, whatever is asked for."""

WRITE_BUFFER_BYTES = 65_536
"""Unsent bytes in one direction beyond which the other end is not read."""

RECEIVE_BYTES = 16_384
"""Maximum number of bytes that are read at once.

They are added to a write buffer that may be full already.
"""

_log = structlog.get_logger(__name__)


class LinkServer:
    """Accepts calls for links from other entries.

    Parameters
    ----------
    links : currantdeal.policy.health.links.Links
        Links of this entry.
    is_upstream : callable
        Returns whether there is an upstream at an address.
    on_doubt : callable
        Called with an address to which a connection failed, and why.
    metrics : currantdeal.ports.MetricsPort
        Counts calls by their outcome.

    Attributes
    ----------
    stopping : bool
        Whether further calls are refused.
    receive_buffer : bytearray
        Memory that all links read into.
    """

    def __init__(self, *, links, is_upstream, on_doubt, metrics):
        """Accept nothing before ``start``."""
        self.links = links
        self.stopping = False
        self.receive_buffer = bytearray(RECEIVE_BYTES)
        self._is_upstream = is_upstream
        self._on_doubt = on_doubt
        self._metrics = metrics
        self._accepted = set()
        self._server = None

    async def start(self, host, port):
        """Listen for other entries.

        Without the port, which another process of this machine may use, the
        entry helps nobody, but serves its callers.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _AcceptedLink(server=self), host, port
            )
        except OSError as exc:
            _log.warning("links-not-accepted", port=port, why=str(exc))

    @property
    def address(self):
        """Host and port at which this server listens."""
        return self._server.sockets[0].getsockname()[:2]

    @property
    def open_links(self):
        """Number of connections of other entries to upstreams."""
        return sum(1 for link in self._accepted if link.is_connected)

    def stop(self):
        """Refuse further calls; links that are open stay so."""
        self.stopping = True

    def abort(self, address=None):
        """Reset the links to an address, or all of them."""
        for link in tuple(self._accepted):
            if address in (None, link.address):
                link.abort()

    def add(self, link):
        """Add an accepted connection."""
        self._accepted.add(link)

    def remove(self, link):
        """Remove an accepted connection that has ended."""
        self._accepted.discard(link)

    def refusal(self, call):
        """Return why a call is refused, as a ``LinkOutcome``, or None."""
        if self.stopping:
            return LinkOutcome.STOPPING
        if not self._is_upstream(call.address):
            return LinkOutcome.UNKNOWN
        if self.links.is_cut(call.address):
            return LinkOutcome.CUT
        if len(self._accepted) > MAX_LINKS:
            return LinkOutcome.BUSY
        return None

    def record(self, call, outcome, why=""):
        """Record what became of a call."""
        self._metrics.add("links_accepted_total", outcome=outcome.value)
        if outcome in (LinkOutcome.REFUSED, LinkOutcome.UNANSWERED):
            self._on_doubt(call.address, why)


class _LinkEnd(asyncio.BufferedProtocol):
    """An end of a link, which reads into memory that all ends share."""

    def __init__(self, *, buffer):
        self._buffer = buffer

    def get_buffer(self, sizehint):
        return self._buffer

    def buffer_updated(self, nbytes):
        self._receive(bytes(memoryview(self._buffer)[:nbytes]))


class _AcceptedLink(_LinkEnd):
    """The end of a link that another entry has opened."""

    def __init__(self, *, server):
        super().__init__(buffer=server.receive_buffer)
        self.address = ""
        self._server = server
        self._reader = FrameReader()
        self._transport = None
        self._peer = None
        self._far = None
        self._far_end = None
        self._task = None
        self._timer = None
        self._is_finishing = False

    @property
    def is_connected(self):
        return self._far is not None

    def connection_made(self, transport):
        self._transport = transport
        self._peer = _prepare(transport)
        self._server.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CALL_TIMEOUT_S, self.abort)

    def _receive(self, data):
        if self._far is not None:
            self._far_end.write(data)
            return
        try:
            message = self._reader.receive(data)
        except UnreadableFrameError:
            self.abort()
            return
        if message is None:
            return
        if self._task is not None or not isinstance(message, LinkCall):
            self.abort()
            return
        self._timer.cancel()
        self._task = asyncio.ensure_future(self._connect(message))

    def eof_received(self):
        # The asking entry needs the answer no more.
        return False

    def pause_writing(self):
        if self._far is not None:
            self._far.pause_reading()

    def resume_writing(self):
        if self._is_finishing:
            self._set_orderly_end()
        if self._far is not None:
            self._far.resume_reading()

    def connection_lost(self, exc):
        self._server.remove(self)
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        if self._far is not None:
            self._far.abort()

    def abort(self):
        self._transport.abort()

    def write(self, data):
        """Forward bytes to the asking entry."""
        self._transport.write(data)
        self._peer.record_write()

    def finish(self):
        """Close after an orderly end of the upstream's connection.

        The kernel soon drops what no process holds if the asking entry does
        not read.
        """
        if self._transport.is_closing():
            return
        self._is_finishing = True
        if self._transport.get_write_buffer_size():
            # Until it is empty, an end of this process must not look orderly.
            self._transport.set_write_buffer_limits(high=0)
        else:
            self._set_orderly_end()
        if self._peer.untaken_bytes:
            self._peer.on_taken = self._transport.close
            end_sending(self._transport)
            return
        self._peer.leave_to_kernel()
        self._transport.close()

    def _set_orderly_end(self):
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            set_reset_on_close(sock, False)

    async def _connect(self, call):
        self.address = call.address
        outcome, why, far = self._server.refusal(call), "", None
        if outcome is None:
            outcome, why, far = await _open_far_end(
                lambda: _FarEnd(near=self._transport, buffer=self._buffer),
                call,
            )
        self._server.record(call, outcome, why)
        now_s = asyncio.get_running_loop().time()
        answer = LinkAnswer(
            outcome=outcome,
            is_sound=self._server.links.can_judge(call.address, now_s=now_s),
        )
        self.write(pack_frame(FrameKind.ANSWER, 1, answer))
        if far is None:
            self.finish()
            return
        self._far = far
        self._far_end = far.get_protocol()
        self._far_end.attach(self)
        far.resume_reading()


class _FarEnd(_LinkEnd):
    """The end of a link at the upstream."""

    def __init__(self, *, near, buffer):
        super().__init__(buffer=buffer)
        self._near = near
        self._transport = None
        self._peer = None
        self._link = None
        self._is_ended = False

    def attach(self, link):
        self._link = link

    def connection_made(self, transport):
        self._transport = transport
        self._peer = _prepare(transport)
        # Until the asking entry has its answer.
        transport.pause_reading()

    def _receive(self, data):
        self._link.write(data)

    def write(self, data):
        """Forward bytes to the upstream."""
        self._transport.write(data)
        self._peer.record_write()

    def eof_received(self):
        self._is_ended = True
        return False

    def pause_writing(self):
        self._near.pause_reading()

    def resume_writing(self):
        self._near.resume_reading()

    def connection_lost(self, exc):
        if self._link is not None and self._is_ended and exc is None:
            self._link.finish()
        else:
            self._near.abort()


async def _open_far_end(make_end, call):
    """Return outcome, reason and transport of a connection to an upstream."""
    loop = asyncio.get_running_loop()
    try:
        host, port = split_address(call.address)
        async with asyncio.timeout(min(call.timeout_s, MAX_CONNECT_S)):
            transport, _ = await loop.create_connection(make_end, host, port)
    except TimeoutError:
        return LinkOutcome.UNANSWERED, "it accepts no connections", None
    except ConnectionRefusedError as exc:
        return LinkOutcome.REFUSED, str(exc), None
    except UNREACHABLE_ERRORS as exc:
        return LinkOutcome.UNANSWERED, str(exc), None
    return LinkOutcome.CONNECTED, "", transport


def _prepare(transport):
    peer = prepare_socket(transport)
    transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # Only an orderly end of the upstream's connection may look like one.
        set_reset_on_close(sock, True)
    return peer
