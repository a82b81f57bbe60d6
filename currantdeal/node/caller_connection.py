"""A connection of a caller to the HTTP server.

Each request is received completely before it is handled, so that nothing is
sent to an upstream on behalf of a caller that never finishes.  Requests that
two parsers may read differently are rejected: if this process and an upstream
disagreed about where a request ends, a second request could be smuggled past
the routes.
"""

import asyncio
import math

import h11
import structlog

from currantdeal.adapters.sockets import unread_bytes
from currantdeal.node.connection_end import ConnectionEnd, end_of
from currantdeal.node.errors import NoResponseError
from currantdeal.node.head import RequestHead
from currantdeal.node.http_request import (
    RefusedRequest,
    Request,
    Responder,
    check_head,
    check_target,
    check_version,
    content_length,
)
from currantdeal.node.response_writer import ResponseWriter
from currantdeal.node.sockets import end_writing, prepare_socket
from currantdeal.policy.answers.chunk_sizes import ChunkSizes

READ_AHEAD_BYTES = 65_536
"""Buffered bytes of pipelined requests beyond which reading pauses."""

CLOSE_DELAY_S = 0.5
"""Delay before the connection is closed after an error response.

It gives the caller time to read the response.
"""

MAX_DISCARDED_BYTES = 262_144
"""Bytes that are read after an error response.

A connection that is closed with unread bytes is reset, which could discard
the response before the caller has read it.
"""

_log = structlog.get_logger(__name__)

_INTERNAL_ERROR = b"internal error; the request may have run\n"
_MALFORMED = {
    400: "the request is malformed",
    431: "the head is too large",
    501: "the transfer coding is not supported",
}


class CallerConnection(asyncio.Protocol):
    """A connection of a caller, which carries one request after the other.

    Parameters
    ----------
    server : HttpServer
        Handles the requests.
    """

    def __init__(self, *, server):
        """Start without a request."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport = None
        self._sender = ""
        self._http = None
        self._head_bytes = bytearray()
        self._head_parsed = False
        self._request_started_s = None
        self._method = b""
        self._request = None
        self._blank_bytes = 0
        self._body = bytearray()
        self._chunks = ChunkSizes()
        self._task = None
        self._timer = None
        self._peer = None
        self._writer = None
        self._responder = None
        self._reading = True
        self._is_closing = False
        self._is_lingering = False
        self._has_caller_ended = False
        self._untaken_before = 0
        self._deadline_s = -math.inf
        self._discarded_bytes = 0

    @property
    def is_busy(self):
        """Whether a request is being handled."""
        return self._task is not None

    @property
    def is_receiving(self):
        """Whether a request was received in part."""
        if self.is_busy or self._is_closing or self._transport.is_closing():
            return False
        return self._request_started_s is not None

    @property
    def is_refused(self):
        """Whether the end of a refused request is awaited."""
        return self._is_closing and not self.is_busy

    def refuse(self, refusal):
        """Refuse a request of which a part was received."""
        self._body.clear()
        self._server.unread.record(self, 0)
        self._reject(refusal)

    @property
    def untaken_bytes(self):
        """Bytes that the caller has not taken, about."""
        return self._writer.untaken_bytes

    def connection_made(self, transport):
        """Prepare for the first request."""
        self._transport = transport
        self._sender = (transport.get_extra_info("peername") or ("",))[0]
        self._peer = prepare_socket(transport, on_gone=self._end_gone)
        self._writer = ResponseWriter(
            transport=transport, peer=self._peer, unsent=self._server.unsent
        )
        self._server.connections.add(self)
        self._reset_parser()
        self._start_idle_timer()

    def _end_gone(self, exc):
        is_silent = isinstance(exc, TimeoutError)
        self._writer.abort(ConnectionEnd.GONE if is_silent else end_of(exc))

    def connection_lost(self, exc):
        """Cancel the request in progress."""
        self._writer.record_end(end_of(exc))
        if self in self._server.connections:
            self._report_untaken()
        self._server.connections.discard(self)
        self._server.unread.record(self, 0)
        self._cancel_timer()
        self._writer.resume()
        if self._task is not None:
            self._task.cancel()

    def _report_untaken(self):
        responder, untaken = self._responder, self._writer.untaken_at_end
        if responder is not None and responder.finished and untaken:
            self._server.on_untaken(
                responder.request_id, untaken, self._writer.end
            )

    def pause_writing(self):
        """Let writers wait."""
        self._writer.pause()

    def resume_writing(self):
        """Let writers continue."""
        self._writer.resume()

    def data_received(self, data):
        """Go on with the request."""
        if self._is_closing:
            self._discard(data)
            return
        if self._request_started_s is None:
            self._request_started_s = self._loop.time()
            if self._task is None:
                limit = self._server.limits().header_timeout_s
                self._set_timer(limit, self._request_timed_out)
        self._head_bytes += data
        self._advance()

    def eof_received(self):
        """Return whether the connection stays open for writing."""
        # A caller that closes its side abandons its request: HTTP/1.1 defines
        # no way to continue only reading.  It may still read an answer that
        # has ended.
        self._has_caller_ended = True
        if self.is_busy:
            if self._responder is not None and self._responder.finished:
                return True
            # An orderly close would wait until the caller has taken all.
            self._writer.abort(ConnectionEnd.CLOSED)
            return False
        if not self._peer.untaken_bytes:
            self._writer.record_end(ConnectionEnd.CLOSED)
            return False
        self._body.clear()
        self._server.unread.record(self, 0)
        self._close()
        return True

    def _discard(self, data):
        """Discard what follows a refused request, or stop to read it."""
        self._discarded_bytes += len(data)
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self._reading:
            self._reading = False
            self._transport.pause_reading()

    def close_if_idle(self):
        """Close the connection unless there is a request on it."""
        if not self.is_busy and self._request_started_s is None:
            self._close()

    @property
    def ends_with_process(self):
        """Whether bytes or a request would be lost with the process."""
        return self.is_busy or self._writer.unsent_bytes > 0

    def hand_over(self):
        """Let the kernel take over what waits here."""
        self._writer.hand_over()

    def cut(self):
        """Cut what is in progress; returns its task, which ends soon."""
        task = self._task
        self._writer.record_end(ConnectionEnd.STOPPED)
        self._peer.leave_to_kernel()
        self._transport.abort()
        self.connection_lost(None)
        return task

    def _close(self):
        """Close in order, once the caller has taken all.

        A socket that is closed with bytes unread in its receive buffer is
        reset, and one that this process holds no more is ended soon by the
        kernel if its window is closed.  Both would lose the last bytes.
        """
        if self._transport.is_closing() or self._is_lingering:
            return
        if not self._peer.untaken_bytes:
            self._transport.close()
            return
        self._is_closing = self._is_lingering = True
        self._peer.on_taken = self._transport.close
        if not self._reading:
            self._reading = True
            self._transport.resume_reading()
        end_writing(self._transport)
        self._start_idle_timer()

    def _advance(self):
        if self._task is not None:
            if len(self._head_bytes) > READ_AHEAD_BYTES and self._reading:
                self._reading = False
                self._transport.pause_reading()
            return
        try:
            self._parse()
        except RefusedRequest as exc:
            self._reject(exc)
        except h11.RemoteProtocolError as exc:
            # What the parser quotes may be a credential.
            self._reject(
                RefusedRequest(
                    exc.error_status_hint,
                    _MALFORMED.get(
                        exc.error_status_hint,
                        "the bytes are not an HTTP request",
                    ),
                    detail=str(exc).partition(": b")[0],
                )
            )

    def _parse(self):
        if not self._head_parsed and not self._receive_head():
            return
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if not self._head_bytes:
                    self._send_continue_if_expected()
                    return
                self._http.receive_data(bytes(self._head_bytes))
                self._head_bytes.clear()
            elif isinstance(event, h11.Request):
                self._start_request(event)
            elif isinstance(event, h11.Data):
                self._append_body(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
            else:
                return

    def _receive_head(self):
        limit = self._server.limits().max_header_bytes
        while self._head_bytes.startswith(b"\r\n"):
            del self._head_bytes[:2]
            self._blank_bytes += 2
            if self._blank_bytes > limit:
                raise RefusedRequest(431, "the head is too large")
        end = self._head_bytes.find(b"\r\n\r\n")
        if end < 0:
            if len(self._head_bytes) > limit:
                raise RefusedRequest(431, "the head is too large")
            return False
        if end > limit:
            raise RefusedRequest(431, "the head is too large")
        head = bytes(self._head_bytes[: end + 4])
        check_head(head)
        del self._head_bytes[: end + 4]
        self._http.receive_data(head)
        self._head_parsed = True
        return True

    def _start_request(self, event):
        self._method = event.method
        if event.method == b"CONNECT":
            raise RefusedRequest(501, "this is no proxy")
        headers = tuple(event.headers)
        names = [key for key, _ in headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            # The next hop may use the other of the two to find the end.
            raise RefusedRequest(
                400, "both a Content-Length and a transfer coding"
            )
        check_version(event.http_version.decode("ascii"))
        target = event.target.decode("latin-1")
        check_target(target)
        length = content_length(headers)
        if length > self._server.limits().max_body_bytes:
            raise RefusedRequest(413, "the body is too large")
        self._request = RequestHead(
            method=event.method.decode("ascii"),
            target=target,
            headers=headers,
        )
        self._body.clear()
        self._chunks = ChunkSizes()

    def _append_body(self, data):
        self._body += data
        self._chunks.add(data)
        if self._chunks.are_too_small:
            raise RefusedRequest(400, "the chunks are too small")
        if len(self._body) > self._server.limits().max_body_bytes:
            raise RefusedRequest(413, "the body is too large")
        self._server.unread.record(self, len(self._body))

    def give_up(self):
        """Refuse the request, whose body is the largest of too many."""
        self._loop.call_soon(self._refuse_body)

    def _refuse_body(self):
        if not (self.is_busy or self._is_closing):
            self.refuse(
                RefusedRequest(503, "the bodies being received are too large")
            )

    def _send_continue_if_expected(self):
        if self._http.they_are_waiting_for_100_continue:
            self._writer.write(
                self._http,
                h11.InformationalResponse(status_code=100, headers=[]),
            )

    def _dispatch(self):
        self._cancel_timer()
        self._server.unread.record(self, 0)
        request = Request(
            head=self._request,
            body=bytes(self._body),
            arrived_s=self._request_started_s,
            sender=self._sender,
        )
        self._body.clear()
        self._request = self._responder = None
        self._task = self._loop.create_task(self._run(request))

    async def _run(self, request):
        self._writer.begin(self._http, keep_open=self._keeps_open)
        responder = self._responder = _make_responder(request, self._writer)
        try:
            await self._server.handler(request, responder)
            self._check_answered()
            self._deadline_s = responder.deadline_s
            await self._end_open_ended()
        except asyncio.CancelledError:
            self._transport.abort()
            raise
        except Exception as exc:
            _log.exception(
                "handler-failed", request=responder.request_id, why=repr(exc)
            )
            self._end_failed(request)
        finally:
            self._task = None
            self._next_request()

    def _check_answered(self):
        is_open = not self._transport.is_closing()
        if is_open and self._http.our_state is h11.SEND_RESPONSE:
            raise NoResponseError("the handler has sent no response")

    def _end_failed(self, request):
        """Answer a request whose handler failed, unless an answer has begun.

        An answer of which only a part was sent must not look complete.
        """
        if self._http.our_state is h11.SEND_RESPONSE:
            headers = ((b"content-type", b"text/plain"),)
            responder = _make_responder(request, self._writer)
            responder.answer(500, headers, _INTERNAL_ERROR)
        elif self._http.our_state not in (h11.DONE, h11.MUST_CLOSE):
            self._transport.abort()

    async def _end_open_ended(self):
        self._untaken_before = self.untaken_bytes
        limit_s = self._server.limits().idle_timeout_s
        while not await self._writer.end_open_ended(timeout_s=limit_s):
            if not self._may_take_more():
                self._writer.abort(ConnectionEnd.IDLE)

    def _next_request(self):
        if self._transport.is_closing():
            return
        finished = self._http.our_state is h11.DONE
        if not finished or self._http.their_state is not h11.DONE:
            self._close()
            return
        if self._server.closing or self._has_caller_ended:
            self._close()
            return
        self._head_bytes[:0] = self._http.trailing_data[0]
        self._reset_parser()
        self._head_parsed = False
        self._request_started_s = None
        if not self._reading:
            self._reading = True
            self._transport.resume_reading()
        if self._head_bytes:
            self._request_started_s = self._loop.time()
            limit = self._server.limits().header_timeout_s
            self._set_timer(limit, self._request_timed_out)
            self._advance()
        else:
            self._start_idle_timer()

    def _keeps_open(self):
        must_close = self._http.their_state is h11.MUST_CLOSE
        return not (self._server.closing or must_close)

    def _reject(self, refusal):
        self._cancel_timer()
        self._is_closing = True
        self._server.on_refused(refusal.status, str(refusal), refusal.detail)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = (str(refusal) + "\n").encode()
            headers = [
                (b"content-type", b"text/plain"),
                (b"content-length", str(len(body)).encode("ascii")),
                (b"connection", b"close"),
            ]
            if refusal.retry_after_s is not None:
                after = f"{refusal.retry_after_s:.3f}".encode("ascii")
                headers.append((b"retry-after", after))
            response = h11.Response(
                status_code=refusal.status, headers=headers
            )
            self._writer.write(self._http, response)
            if self._method != b"HEAD":
                self._writer.write(self._http, h11.Data(data=body))
            self._writer.write(self._http, h11.EndOfMessage())
        end_writing(self._transport)
        self._loop.call_later(CLOSE_DELAY_S, self._close)

    @property
    def _has_unread_bytes(self):
        """Whether bytes have arrived that this process had no time to read."""
        sock = self._transport.get_extra_info("socket")
        return self._reading and unread_bytes(sock) > 0

    def _request_timed_out(self):
        """Refuse the request, unless this process was paused meanwhile."""
        if self._has_unread_bytes:
            limit = self._server.limits().header_timeout_s
            self._set_timer(limit, self._refuse_late)
        else:
            self._refuse_late()

    def _refuse_late(self):
        self._reject(
            RefusedRequest(408, "the request was not received in time")
        )

    def _start_idle_timer(self):
        self._untaken_before = self.untaken_bytes
        limit = self._server.limits().idle_timeout_s
        self._set_timer(limit, self._end_idle)

    def _end_idle(self):
        """Close an idle connection, or abort it if its caller reads nothing.

        One that reads, however slowly, has time to take the last answer.
        """
        if self._has_unread_bytes and not self._is_closing:
            self._start_idle_timer()
        elif not self.untaken_bytes:
            self._transport.close()
        elif self._may_take_more():
            self._start_idle_timer()
        else:
            self._writer.abort(ConnectionEnd.IDLE)

    def _may_take_more(self):
        """Return whether to keep the rest of an answer for its caller."""
        untaken, before = self.untaken_bytes, self._untaken_before
        self._untaken_before = untaken
        idle_s = self._server.limits().idle_timeout_s
        is_late = self._loop.time() - self._deadline_s >= idle_s
        return untaken < before or not is_late

    def _set_timer(self, delay_s, action):
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, action)

    def _cancel_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reset_parser(self):
        self._method = b""
        self._blank_bytes = 0
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._server.limits().max_header_bytes,
        )


def _make_responder(request, writer):
    return Responder(writer=writer, has_body=request.head.method != "HEAD")
