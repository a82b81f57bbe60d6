"""HTTP/1.1 towards upstreams, on the event loop.

An answer belongs to a request only if it is whole, well-formed and came on a
connection that carried nothing else since.  Everything else ends the
connection, so that a late or superfluous answer never reaches another
caller.
"""

import asyncio
from collections import deque

import h11

from currantdeal.node.errors import BrokenAnswerError
from currantdeal.node.head import ReplyHead
from currantdeal.node.sockets import prepare_socket
from currantdeal.policy.reset_outcome import Moment

IDLE_REUSE_S = 4.0
"""Longest idle time after which any request may be sent on a connection.

An upstream that closes an idle connection may do so while a request is on
its way, and whether that request ran is then unknown.  Most upstreams keep
idle connections for five seconds or more; where one names its own time, half
of that holds.
"""

IDLE_MARGIN_S = 1.5
"""Time before the end that an upstream names, for requests that may be lost.

Upstreams name whole seconds.  A reservation or a prompt that is lost is sent
again on a new connection.
"""

LONGEST_KEPT_S = 86_400
"""Longest idle time that an upstream is believed to keep a connection."""

_KEPT_DIGITS = len(str(LONGEST_KEPT_S)) + 1

MAX_UNREAD_BYTES = 262_144
"""Answer bytes that wait for a slow caller before reading stops."""


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream, one exchange at a time."""

    def __init__(self, *, address):
        """Wait for the connection to be made."""
        self.address = address
        self.used = False
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(h11.CLIENT)
        self._transport = None
        self._events = deque()
        self._waiter = None
        self._lost = None
        self._moment = Moment.CONNECTING
        self._unread = 0
        self._paused = False
        self._idle_since_s = 0.0
        self._kept_s = None
        self._reusable = False

    def connection_made(self, transport):
        """Take up the transport."""
        self._transport = transport
        self._idle_since_s = self._loop.time()
        transport.set_write_buffer_limits(high=0)
        prepare_socket(transport)

    def pause_writing(self):
        """Note that a part of the request waits to be written."""
        if self._moment is Moment.AWAITING_ANSWER:
            self._moment = Moment.SENDING

    def resume_writing(self):
        """Note that the whole request is written."""
        if self._moment is Moment.SENDING:
            self._moment = Moment.AWAITING_ANSWER

    def data_received(self, data):
        """Parse what came; what nobody asked for ends the connection."""
        if self._http.our_state is h11.IDLE:
            self._fail("bytes without a request")
            return
        self._moment = Moment.WITHIN_ANSWER
        try:
            self._http.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as exc:
            self._fail(f"not HTTP: {exc}")

    def eof_received(self):
        """Note the end, which completes an answer without a length."""
        try:
            self._http.receive_data(b"")
            self._parse()
        except h11.RemoteProtocolError as exc:
            self._fail(f"ended early: {exc}")
        return False

    def connection_lost(self, exc):
        """Tell a reader that waits."""
        if self._lost is None:
            self._lost = f"connection lost: {exc or 'closed'}"
        self._wake()

    def is_usable(self, *, harmless=False):
        """Return whether another request may be sent.

        Parameters
        ----------
        harmless : bool
            True for a request that may be lost and sent again.
        """
        if self._lost is not None or self._transport.is_closing():
            return False
        idle_s = self._loop.time() - self._idle_since_s
        return idle_s < _reuse_limit_s(self._kept_s, harmless=harmless)

    def send(self, outgoing):
        """Write a request."""
        self.used = True
        self._reusable = False
        self._moment = Moment.AWAITING_ANSWER
        head = h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=list(outgoing.headers),
        )
        raw = self._http.send(head)
        if outgoing.body:
            raw += self._http.send(h11.Data(data=outgoing.body))
        raw += self._http.send(h11.EndOfMessage())
        self._transport.write(raw)

    async def head(self):
        """Return the head of the answer."""
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                self._note_keep_alive(event)
                return ReplyHead(
                    status=event.status_code, headers=tuple(event.headers)
                )

    async def chunk(self):
        """Return the next bytes of the body; None at its end."""
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                self._unread -= len(event.data)
                if self._paused and self._unread < MAX_UNREAD_BYTES // 2:
                    self._paused = False
                    self._transport.resume_reading()
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._end_exchange()
                return None

    async def rest(self, *, limit=1 << 26):
        """Return the rest of the body."""
        parts = []
        size = 0
        while (data := await self.chunk()) is not None:
            parts.append(data)
            size += len(data)
            if size > limit:
                self._fail("the answer is too large")
        return b"".join(parts)

    @property
    def reusable(self):
        """True unless an exchange left the connection unclean."""
        clean = self._reusable or not self.used
        return clean and self._lost is None

    def close(self):
        """Close at once, which cancels what the upstream does for it."""
        if self._lost is None:
            self._lost = "closed here"
        self._transport.abort()

    def _parse(self):
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                return
            self._events.append(event)
            if isinstance(event, h11.Data):
                self._unread += len(event.data)
                if self._unread > MAX_UNREAD_BYTES and not self._paused:
                    self._paused = True
                    self._transport.pause_reading()
            self._wake()
            if isinstance(event, h11.EndOfMessage):
                return

    async def _next(self):
        while not self._events:
            if self._lost is not None:
                raise BrokenAnswerError(
                    f"{self._lost} ({self._moment.value})",
                    moment=self._moment,
                )
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._events.popleft()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail(self, reason):
        if self._lost is None:
            self._lost = reason
        self._transport.abort()
        self._wake()

    def _end_exchange(self):
        extra, _ = self._http.trailing_data
        clean = not extra and self._lost is None
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if clean and done:
            self._http.start_next_cycle()
            self._idle_since_s = self._loop.time()
            self._reusable = True
        else:
            self.close()

    def _note_keep_alive(self, event):
        for key, value in event.headers:
            if key == b"keep-alive":
                self._kept_s = _named_s(value)


def _named_s(value):
    """Return the idle time that a Keep-Alive header names, or None."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return min(LONGEST_KEPT_S, int(number[:_KEPT_DIGITS]))
    return None


def _reuse_limit_s(kept_s, *, harmless):
    if kept_s is None:
        return IDLE_REUSE_S
    careful_s = min(IDLE_REUSE_S, kept_s / 2)
    if harmless:
        return max(careful_s, kept_s - IDLE_MARGIN_S)
    return careful_s
