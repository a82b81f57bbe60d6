"""HTTP/1.1 client connections to upstreams, on the event loop.

A response is attributed to a request only if it is complete, well-formed and
bears the id of that request.  Other responses are skipped while one is
awaited; data that arrives at any other time closes the connection.
"""

import asyncio
from collections import deque

import h11

from currantdeal.adapters.sockets import read_arrived
from currantdeal.core import boot_time_s
from currantdeal.node.answer_parser import AnswerParser, encode_head
from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.errors import (
    ConnectionEndedError,
    ExchangeError,
    InvalidResponseError,
    MalformedResponseError,
    SendExpiredError,
    UnchargedError,
)
from currantdeal.node.extra_answers import ExtraAnswerLog
from currantdeal.node.head import ResponseHead
from currantdeal.node.keep_alive import keep_alive_timeout_s, reuse_limit_s
from currantdeal.node.sockets import prepare_socket
from currantdeal.policy.answers.answer_end import framing_of
from currantdeal.policy.answers.reset_outcome import ExchangePhase
from currantdeal.policy.health.peer_liveness import PeerState

RECEIVE_BYTES = 65_536
"""Maximum number of bytes that are read from a connection at once."""

PARSE_STEP_BYTES = 4_096
"""Bytes that are parsed at once; other connections are served in between."""

MAX_SKIPPED_BYTES = 65_536
"""Maximum size of a body that is skipped to reuse its connection."""

SKIP_TIMEOUT_S = 0.1
"""Time in which the rest of such a body must arrive."""

MAX_UNREAD_BYTES = 262_144
"""Unread response bytes beyond which reading from the upstream pauses.

They accumulate when a caller reads slowly.
"""

UNREAD_CUT_S = 1.0
"""Time after which upstreams may cut an answer that stays unread."""


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection to an upstream that carries one exchange at a time.

    Parameters
    ----------
    address : str
        The upstream.
    extra_answers : ExtraAnswerLog or None
        Records answers that belong to no request.
    buffered : BufferedAnswers or None
        Bounds the memory of the answers on all connections.
    receive_buffer : bytearray or None
        Memory to read into; connections of one event loop may share it.
    traffic : LinkTraffic or None
        Observes the connection.
    helper : str
        Address of the entry through which it leads; empty if it is direct.
    """

    def __init__(
        self,
        *,
        address,
        extra_answers=None,
        buffered=None,
        receive_buffer=None,
        traffic=None,
        helper="",
    ):
        """Initialise the state; the event loop connects afterwards."""
        self.address = address
        self.helper = helper
        self.has_received_bytes = False
        self.has_begun_answer = False
        self._traffic = traffic
        self.used = False
        self._loop = asyncio.get_running_loop()
        self._parser = AnswerParser(
            address=address,
            extra_answers=extra_answers or ExtraAnswerLog(),
            clock=self._loop.time,
        )
        self._buffered = buffered or BufferedAnswers()
        self._receive_buffer = receive_buffer or bytearray(RECEIVE_BYTES)
        self._method = ""
        self._transport = None
        self._peer = None
        self._events = deque()
        self._waiter = None
        self._close_reason = None
        self._failure = InvalidResponseError
        self._phase = ExchangePhase.CONNECTING
        self._unread = 0
        self._kept = 0
        self._unparsed = b""
        self._paused = False
        self._paused_s = 0.0
        self._longest_hold_s = 0.0
        self._ended = self._loop.create_future()
        self._idle_since_s = 0.0
        self._keep_alive_s = None
        self._reusable = False

    def connection_made(self, transport):
        """Store the transport and set the options of its socket."""
        self._transport = transport
        self._idle_since_s = self._loop.time()
        transport.set_write_buffer_limits(high=0)
        self._peer = prepare_socket(transport, on_gone=self._end_gone)

    def pause_writing(self):
        """Record that a part of the request is not yet written."""
        if self._phase is ExchangePhase.AWAITING_ANSWER:
            self._phase = ExchangePhase.SENDING

    def resume_writing(self):
        """Record that the whole request is written."""
        if self._phase is ExchangePhase.SENDING:
            self._phase = ExchangePhase.AWAITING_ANSWER

    def get_buffer(self, sizehint):
        """Return the memory that the next bytes are read into."""
        return self._receive_buffer

    def buffer_updated(self, nbytes):
        """Parse received data; unsolicited data closes the connection."""
        data = bytes(memoryview(self._receive_buffer)[:nbytes])
        if self._traffic is not None:
            self._traffic.record_bytes(self)
        if self._parser.is_idle:
            self._parser.record_unexpected(data)
            self._fail("received bytes without a pending request")
            return
        self.has_begun_answer = True
        self._unparsed += data
        self._parse_step()

    def eof_received(self):
        """Handle the end of the stream.

        It completes a response that has no length.
        """
        try:
            self._receive(b"")
        except h11.RemoteProtocolError as exc:
            if self._traffic is not None:
                self._traffic.record_lost(self, exc)
            self._fail(f"ended early: {exc}")
        return False

    def connection_lost(self, exc):
        """Record the reason and wake the waiting reader."""
        if self._close_reason is None:
            self._close_reason = f"connection lost: {exc or 'closed'}"
            if self._traffic is not None:
                self._traffic.record_lost(self, exc)
        self.record_buffered(0)
        self._wake()

    def _end_gone(self, exc):
        """End the connection, whose upstream acknowledges nothing."""
        self.connection_lost(exc)
        self._peer.abort()

    @property
    def phase(self):
        """The ``ExchangePhase`` of the present exchange."""
        return self._phase

    @property
    def held_up_s(self):
        """Seconds for which the rest of an answer has stayed unread."""
        return self._loop.time() - self._paused_s if self._paused else 0.0

    @property
    def may_be_cut(self):
        """Whether the present answer was unread for long at a time."""
        return max(self._longest_hold_s, self.held_up_s) >= UNREAD_CUT_S

    @property
    def is_held_up(self):
        """Whether no answer is due yet, or its rest stays unread."""
        return self._paused or self._peer.state is PeerState.STALLED

    @property
    def has_ended(self):
        """Whether nothing more of the present answer will come."""
        return self._parser.has_ended or self._close_reason is not None

    @property
    def ended(self):
        """Future that is done once nothing more of the answer will come."""
        return self._ended

    @property
    def has_received(self):
        """Whether an answer, or its end, waits to be read."""
        return bool(self._events) or self._close_reason is not None

    @property
    def is_open(self):
        """Whether neither side has ended the connection."""
        return self._close_reason is None and not self._transport.is_closing()

    def is_usable(self, *, retryable=False):
        """Return whether another request may be sent on this connection.

        Parameters
        ----------
        retryable : bool
            True for a retryable request, one that may be lost and sent
            again.
        """
        if not self.is_open:
            return False
        idle_s = self._loop.time() - self._idle_since_s
        return idle_s < reuse_limit_s(self._keep_alive_s, retryable=retryable)

    @property
    def recognises_calls(self):
        """Whether the answer to a request that may lack its id is recognised.

        Calls of the system itself are such requests.
        """
        return self._parser.recognises_calls

    def may_carry(self, outgoing):
        """Return whether the answer to a request can be recognised here."""
        return self._parser.may_carry(outgoing)

    def spare_size(self, outgoing):
        """Return by how much grants here exceed a request, at least.

        See ``AnswerParser.spare_size``.
        """
        return self._parser.spare_size(outgoing)

    def send(self, outgoing):
        """Write a request.

        Raises
        ------
        ConnectionEndedError
            If the connection has ended.
        UnsendableRequestError
            If the request cannot be encoded.
        SendExpiredError
            If its time to be sent has passed, also while this process was
            paused.
        UnchargedError
            If it is a retry that was not charged to the retry budget.
        """
        if not self.is_open:
            raise ConnectionEndedError(
                f"{self.address} has ended the connection"
            )
        head = encode_head(outgoing)
        if boot_time_s() >= outgoing.send_before_s:
            raise SendExpiredError("the view of the keys is too old")
        if outgoing.on_send is not None:
            outgoing.on_send()
        elif outgoing.is_id_echoed:
            raise UnchargedError("nothing counts this request of a caller")
        self.used = True
        self._method = outgoing.method
        self._reusable = False
        self.has_begun_answer = False
        self._phase = ExchangePhase.AWAITING_ANSWER
        self._ended = self._loop.create_future()
        self._longest_hold_s = 0.0
        self._transport.write(self._parser.begin(outgoing, head))
        self._peer.record_write()
        if self._traffic is not None:
            self._traffic.begin(self)

    async def head(self):
        """Return the head of the response."""
        event = await self._next_event()
        self._record_keep_alive(event)
        headers = tuple(event.headers)
        return ResponseHead(
            status=event.status_code,
            headers=headers,
            framing=framing_of(
                method=self._method,
                status=event.status_code,
                headers=headers,
            ),
            is_identified=self._parser.is_identified,
        )

    async def chunk(self):
        """Return the next bytes of the body; None at its end."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                self._unread -= len(event.data)
                self._record_memory()
                if self._paused:
                    self._update_reading()
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._end_exchange()
                return None

    async def skip_rest(self):
        """Skip the rest of the body, or close the connection.

        It is closed if the rest is large or does not arrive soon.
        """
        try:
            async with asyncio.timeout(SKIP_TIMEOUT_S):
                await self.rest(limit=MAX_SKIPPED_BYTES)
        except (TimeoutError, ExchangeError):
            # The answer is known; only the connection cannot be reused.
            self.close()

    async def rest(self, *, limit, parts=None):
        """Return the rest of the body.

        Parameters
        ----------
        limit : int
            Size of a body that closes the connection if it is exceeded.
        parts : list or None
            Collects the body, so that a call that was cancelled may be made
            again.
        """
        parts = [] if parts is None else parts
        size = sum(map(len, parts))
        while (data := await self.chunk()) is not None:
            parts.append(data)
            size += len(data)
            if size > limit:
                self._fail_malformed("the response is too large")
            self.record_buffered(size)
        return b"".join(parts)

    def has_whole_answer(self):
        """Return whether the whole present answer has been received.

        What waits to be read or parsed is read and parsed at once.  After a
        pause of this process the timers run before the event loop reads.
        """
        is_last = not self.has_ended and self._read_arrived()
        while self._unparsed and not self.has_ended:
            self._parse_step()
        if is_last and not self.has_ended:
            self.eof_received()
        return self._parser.has_ended

    def _read_arrived(self):
        """Read what has arrived; returns whether the upstream has ended."""
        sock = self._transport.get_extra_info("socket")
        data, is_last = read_arrived(sock)
        if data and self._traffic is not None:
            self._traffic.record_bytes(self)
        self._unparsed += data
        return is_last

    def record_buffered(self, size_bytes):
        """Record how many bytes of the answer its reader keeps."""
        self._kept = size_bytes
        self._record_memory()

    def give_up(self):
        """Close the connection, whose answer is the largest of too many."""
        self._fail("the answers being received take too much memory")

    @property
    def reusable(self):
        """True unless an exchange was incomplete or the connection closed."""
        clean = self._reusable or not self.used
        return clean and self._close_reason is None

    def close(self):
        """Abort the connection, which cancels the upstream's work for it."""
        if self._close_reason is None:
            self._close_reason = "closed locally"
        self._stop_observing()
        self.record_buffered(0)
        self._peer.abort()

    def _stop_observing(self):
        if self._traffic is not None:
            self._traffic.end(self)

    def _parse_step(self):
        """Parse some of the received bytes, and the rest later.

        What follows a complete answer is not parsed.
        """
        if self._close_reason is not None or not self._unparsed:
            return
        if not self._parser.has_ended:
            step, self._unparsed = self._unparsed, b""
            if len(step) > PARSE_STEP_BYTES:
                self._unparsed = step[PARSE_STEP_BYTES:]
                step = step[:PARSE_STEP_BYTES]
            try:
                self._receive(step)
            except h11.RemoteProtocolError as exc:
                self._fail_malformed(f"invalid HTTP response: {exc}")
        self._update_reading()
        if self._unparsed and not self._parser.has_ended:
            self._loop.call_soon(self._parse_step)

    def _receive(self, data):
        for event in self._parser.receive(data):
            self._phase = ExchangePhase.WITHIN_ANSWER
            self._add_event(event)
            self._wake()
        self._mark_ended()

    def _add_event(self, event):
        """Append an event; small parts of a body become one."""
        if not isinstance(event, h11.Data):
            self._events.append(event)
            return
        self._unread += len(event.data)
        self._record_memory()
        if not self._events or not isinstance(self._events[-1], h11.Data):
            self._events.append(event)
            return
        if not isinstance(self._events[-1].data, bytearray):
            data = bytearray(self._events.pop().data)
            self._events.append(h11.Data(data=data))
        self._events[-1].data.extend(event.data)

    def _record_memory(self):
        """Record the bytes of the answer that this process holds."""
        is_open = self._close_reason is None
        held = self._kept + self._unread if is_open else 0
        self._buffered.record(self, held)

    def _update_reading(self):
        """Pause reading while there are bytes to parse, or many to read."""
        if self._close_reason is not None:
            return
        limit = self._buffered.allowance(MAX_UNREAD_BYTES)
        if self._paused:
            limit //= 2
        pauses = bool(self._unparsed) or self._unread > limit
        if pauses and not self._paused:
            self._transport.pause_reading()
            self._paused_s = self._loop.time()
        elif self._paused and not pauses:
            self._longest_hold_s = max(self._longest_hold_s, self.held_up_s)
            self._transport.resume_reading()
        self._paused = pauses

    async def _next_event(self):
        while not self._events:
            if self._close_reason is not None:
                raise self._failure(
                    f"{self._close_reason} ({self._phase.value})",
                    phase=self._phase,
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
        self._mark_ended()

    def _mark_ended(self):
        if self.has_ended and not self._ended.done():
            self._ended.set_result(None)

    def _fail(self, reason):
        if self._close_reason is None:
            self._close_reason = reason
        self._stop_observing()
        self._peer.abort()
        self._wake()

    def _fail_malformed(self, reason):
        if self._close_reason is None:
            self._failure = MalformedResponseError
        self._fail(reason)

    def _end_exchange(self):
        self._stop_observing()
        self.record_buffered(0)
        is_open = self._close_reason is None
        if is_open and self._parser.finish(self._unparsed):
            self._idle_since_s = self._loop.time()
            self._reusable = True
        else:
            self.close()

    def _record_keep_alive(self, event):
        for key, value in event.headers:
            if key == b"keep-alive":
                self._keep_alive_s = keep_alive_timeout_s(value)
