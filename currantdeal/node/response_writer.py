"""Writes responses to the connection of a caller.

A response with neither a length nor chunks ends with its connection.  Its end
has to differ from that of a cut, also if this process ends meanwhile: until
all its bytes have left the process, closing the connection resets it.
"""

import asyncio

import h11

from currantdeal.adapters.sockets import (
    grow_send_buffer,
    set_reset_on_close,
    unacknowledged_bytes,
)
from currantdeal.node.connection_end import ConnectionEnd
from currantdeal.node.errors import SlowCallerError
from currantdeal.policy.answers.answer_end import Framing, framing_of_stream

MAX_UNCOUNTED_BYTES = 4_096
"""Unsent bytes from which a caller reads slowly, and they are counted.

Each connection may hold as many uncounted.
"""


MAX_READ_AHEAD_BYTES = 8_388_608
"""Unsent bytes of one answer up to which the rest of it is received.

An upstream that has sent all is free for others.
"""

MAX_UNTAKEN_S = 2.0
"""Time for which a caller may take nothing while its upstream waits.

Upstreams cut an answer that stays unread for some seconds, and hold memory for
it until then.
"""

CHECK_INTERVAL_S = 0.5
"""Interval at which it is checked whether the caller has taken anything."""


class ResponseWriter:
    """Writes one response after the other to a connection.

    Parameters
    ----------
    transport : asyncio.Transport
        The connection.
    peer : WatchedPeer
        The caller.
    unsent : BufferedAnswers
        Bounds what all callers together have not taken.

    Attributes
    ----------
    end : ConnectionEnd or None
        Why the connection ended, None before that.
    untaken_at_end : int
        Bytes that the caller had not acknowledged then.
    """

    def __init__(self, *, transport, peer, unsent):
        """Start without a response."""
        self._transport = transport
        self._peer = peer
        self._unsent = unsent
        self._high_bytes = MAX_UNCOUNTED_BYTES
        self._set_low_bytes(0)
        self._http = None
        self._keeps_open = None
        self._drained = None
        self._counted_bytes = 0
        self.end = None
        self.untaken_at_end = 0
        self._open_ended = False
        self._ended = False

    def begin(self, http, *, keep_open):
        """Prepare for the response to the next request.

        Parameters
        ----------
        http : h11.Connection
            Parser that has received the request.
        keep_open : callable
            Returns whether the connection stays open after the response.
        """
        self._http = http
        self._keeps_open = keep_open

    def send_head(self, status, headers, framing):
        """Send the head of the response; see ``Responder.begin``."""
        if framing is Framing.CHUNKS:
            version = self._http.their_http_version
            framing = framing_of_stream(
                framing, reads_chunks=version >= b"1.1"
            )
        self._open_ended = framing is Framing.CONNECTION
        headers = list(headers)
        if self._open_ended or not self._keeps_open():
            headers.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=headers)
        if self._open_ended:
            self._begin_open_ended(response)
        else:
            self.write(self._http, response)

    def send_body(self, data):
        """Send a part of the body."""
        if not self._open_ended:
            self.write(self._http, h11.Data(data=data))
        elif not self._transport.is_closing():
            self._write(data)

    def send_end(self):
        """End the response in order."""
        if self._open_ended:
            self._ended = True
        else:
            self.write(self._http, h11.EndOfMessage())

    def write(self, http, event):
        """Write an event of the parser, unless the connection is closing."""
        if not self._transport.is_closing():
            self._write(http.send(event))

    def pause(self):
        """Let writers wait: the caller reads slowly."""
        self._drained = asyncio.get_running_loop().create_future()
        self._record_unsent()

    def resume(self):
        """Let writers continue."""
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None
        self._counted_bytes = 0
        self._unsent.record(self, 0)
        if not self._transport.is_closing():
            # This pauses again if only a part was to be taken.
            self._set_low_bytes(0)

    async def writable(self, source):
        """Wait while the caller reads slowly and more is to come.

        Parameters
        ----------
        source : UpstreamConnection
            Sends the rest of the answer.

        Returns
        -------
        bool
            Whether that took time.

        Raises
        ------
        SlowCallerError
            If the upstream is held up for ``MAX_UNTAKEN_S`` while the caller
            takes nothing.
        """
        loop = asyncio.get_running_loop()
        untaken, taken_s = self.untaken_bytes, loop.time()
        has_waited = False
        while self._exceeds_allowance() and not source.has_ended:
            held_up_s = min(source.held_up_s, loop.time() - taken_s)
            if held_up_s >= MAX_UNTAKEN_S:
                raise SlowCallerError("the caller takes nothing")
            has_waited = True
            await asyncio.wait(
                {self._drained, source.ended},
                timeout=CHECK_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self.untaken_bytes < untaken:
                taken_s = loop.time()
            untaken = self.untaken_bytes
        return has_waited

    @property
    def unsent_bytes(self):
        """Bytes that have not left this process."""
        return self._transport.get_write_buffer_size()

    @property
    def untaken_bytes(self):
        """Bytes that the caller has not taken, about."""
        return self._peer.untaken_bytes or self.unsent_bytes

    def give_up(self):
        """Abort the connection of the caller who has left most untaken."""
        self.abort(ConnectionEnd.SLOW)

    def abort(self, end=ConnectionEnd.CUT):
        """Abort the connection, so that the response cannot look complete."""
        self.record_end(end)
        self._peer.abort()

    def hand_over(self):
        """Give what the caller has not taken to the operating system."""
        sock = self._transport.get_extra_info("socket")
        if self.unsent_bytes and not self._transport.is_closing():
            grow_send_buffer(sock, self.unsent_bytes)

    def record_end(self, end):
        """Record why the connection ends; the first reason counts."""
        if self.end is None:
            self.end = end
            sock = self._transport.get_extra_info("socket")
            self.untaken_at_end = unacknowledged_bytes(sock) + max(
                self._counted_bytes, self.unsent_bytes
            )

    async def end_open_ended(self, *, timeout_s):
        """Let the connection end the response, if nothing else does.

        It is reset if the response was not ended in order.

        Returns
        -------
        bool
            False if bytes are left in this process after ``timeout_s``, which
            would be lost if it ended.
        """
        if not self._open_ended:
            return True
        if not self._ended:
            self.abort()
            return True
        if self._drained is not None:
            await asyncio.wait({self._drained}, timeout=timeout_s)
        if self._transport.is_closing():
            return True
        if self._drained is not None:
            return False
        self._set_reset_on_close(False)
        return True

    def _write(self, data):
        self._transport.write(data)
        self._peer.record_write()
        self._record_unsent()

    def _record_unsent(self):
        if self._drained is not None and not self._transport.is_closing():
            self._counted_bytes = self.unsent_bytes
            self._unsent.record(self, self._counted_bytes)

    def _exceeds_allowance(self):
        """Return whether too much is unsent, and ask to be resumed if so."""
        if self._drained is None:
            return False
        allowed = self._unsent.allowance(MAX_READ_AHEAD_BYTES)
        if self.unsent_bytes <= allowed:
            return False
        self._set_low_bytes(allowed // 2)
        return True

    def _set_low_bytes(self, low_bytes):
        """Set the unsent bytes at which writers continue."""
        self._transport.set_write_buffer_limits(
            high=max(self._high_bytes, low_bytes), low=low_bytes
        )

    def _set_reset_on_close(self, enabled):
        sock = self._transport.get_extra_info("socket")
        set_reset_on_close(sock, enabled)

    def _begin_open_ended(self, response):
        # The parser would send chunks.
        self._http.send_failed()
        if self._transport.is_closing():
            return
        self._set_reset_on_close(True)
        self._high_bytes = 0
        self._set_low_bytes(0)
        self._write(_encode_head(response))


def _encode_head(response):
    lines = [f"HTTP/1.1 {response.status_code} ".encode("ascii")]
    lines.extend(b"%s: %s" % header for header in response.headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"
