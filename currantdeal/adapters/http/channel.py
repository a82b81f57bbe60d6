"""Connections of callers at the HTTP server, and how their answers end."""

import contextlib
import socket

from waitress.channel import HTTPChannel
from waitress.task import WSGITask

from currantdeal.adapters.http.client_watch import WatchedClient
from currantdeal.adapters.http.messages import BROKEN_OFF, OPEN_ENDED
from currantdeal.adapters.sockets import set_reset_on_close

_CHUNKED_HEADER = b"Transfer-Encoding: chunked\r\n"


class _Task(WSGITask):
    closing = None

    def build_response_header(self):
        may_be_short = OPEN_ENDED in self.environ
        if self.closing.is_set() or may_be_short:
            self.set_close_on_finish()
        head = super().build_response_header()
        if may_be_short and self.chunked_response:
            self.chunked_response = False
            head = head.replace(_CHUNKED_HEADER, b"", 1)
        is_framed = self.chunked_response or self.content_length is not None
        if not is_framed and self.has_body:
            self.channel.begin_open_ended()
        return head

    def finish(self):
        if BROKEN_OFF in self.environ:
            self.set_close_on_finish()
            return
        super().finish()
        self.channel.has_ended = True


class _Channel(HTTPChannel):
    is_open_ended = False
    has_ended = False
    is_broken_off = False

    def __init__(self, server, sock, addr, adj, map=None):
        self.client = WatchedClient(
            sock=sock, idle_timeout_s=adj.channel_timeout
        )
        super().__init__(server, sock, addr, adj, map=map)

    def send(self, data, do_close=True):
        sent = super().send(data, do_close)
        self.client.record_sent(sent)
        return sent

    def look(self, now_s):
        """See ``WatchedClient.look``."""
        buffered_bytes = self.total_outbufs_len
        # A thread waits in ``write_soon`` for less than that.
        is_full = buffered_bytes > self.adj.outbuf_high_watermark
        return self.client.look(
            now_s,
            buffered_bytes=buffered_bytes,
            is_blocked=bool(self.requests) and is_full,
        )

    def break_off(self):
        """Reset the connection, from any thread.

        The server's own thread closes it, which wakes a thread that waits for
        the client.  It does not wait for room in the kernel's buffer, since
        one whose client takes nothing never has any.
        """
        self.is_broken_off = True
        self.cancel()
        with contextlib.suppress(OSError):
            set_reset_on_close(self.socket, True)
            self.socket.shutdown(socket.SHUT_RDWR)
        self.server.pull_trigger()

    def close_if_idle(self):
        """Close it unless a request or an answer is in progress."""
        is_busy = self.requests or self.request or self.total_outbufs_len
        if self.connected and not is_busy:
            self.handle_close()

    def begin_open_ended(self):
        """Reset the connection at its close, until the answer is sent.

        Without a framing, only a reset differs from the end.
        """
        self.is_open_ended = True
        set_reset_on_close(self.socket, True)

    def handle_close(self):
        is_sent = self.has_ended and not self.total_outbufs_len
        if self.is_open_ended and is_sent and not self.is_broken_off:
            set_reset_on_close(self.socket, False)
        self.client.leave()
        super().handle_close()


def channel_class(closing):
    """Return the class of connections for ``waitress``.

    Parameters
    ----------
    closing : threading.Event
        Once set, each connection closes after its next answer.
    """
    task = type("Task", (_Task,), {"closing": closing})
    return type("Channel", (_Channel,), {"task_class": task})
