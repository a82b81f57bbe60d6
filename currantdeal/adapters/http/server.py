"""HTTP server based on waitress, with limits for long streams.

A thread serves one request at a time, so each open stream occupies a thread.
"""

import contextlib
import socket
import threading
import time

from waitress import create_server

from currantdeal.adapters.http.channel import channel_class
from currantdeal.adapters.http.client_watch import ClientWatch

UNSENT_TIMEOUT_S = 5.0
"""Time for which the kernel keeps a connection on which bytes wait.

It holds until the system has shown that it reports acknowledgements.
"""

IDLE_TIMEOUT_S = 30
"""Time for which an idle connection or an incomplete request is kept, and an
answer of which the client takes nothing."""

IDLE_BEFORE_PROBE_S = 3
PROBE_INTERVAL_S = 2
MAX_PROBES = 2
"""Unanswered probes that end an idle connection, after 7 s in all."""

CLEANUP_INTERVAL_S = 2
OUTPUT_BUFFER_BYTES = 65_536
CONNECTIONS_PER_THREAD = 4
RESERVED_FILES = 100
SENT_POLL_S = 0.02
CLOSE_TIMEOUT_S = 2.0


class HttpServer:
    """Listener for callers, upstreams and operators.

    Parameters
    ----------
    app : callable
        WSGI application.
    host : str
        IP number to listen on.
    port : int
        Port to listen on; 0 picks a free one.
    threads : int
        Maximum number of concurrent requests.
    max_header_bytes, max_body_bytes : int
        Requests that exceed these limits are refused.
    """

    def __init__(
        self, *, app, host, port, threads, max_header_bytes, max_body_bytes
    ):
        """Bind the listener; nothing is accepted before ``start``."""
        self._listener = _listen(host, port)
        self._server = create_server(
            app,
            sockets=[self._listener],
            threads=threads,
            ident="currantdeal",
            connection_limit=threads * CONNECTIONS_PER_THREAD + RESERVED_FILES,
            cleanup_interval=CLEANUP_INTERVAL_S,
            channel_timeout=IDLE_TIMEOUT_S,
            channel_request_lookahead=1,
            max_request_header_size=max_header_bytes,
            max_request_body_size=max_body_bytes,
            outbuf_high_watermark=OUTPUT_BUFFER_BYTES,
            asyncore_use_poll=True,
            log_socket_errors=False,
            clear_untrusted_proxy_headers=False,
        )
        self._closing = threading.Event()
        self._server.channel_class = channel_class(self._closing)
        self._watch = ClientWatch(
            channels=lambda: list(self._server.active_channels.values()),
            on_facts=self._lift_kernel_timeout,
        )

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._listener.getsockname()[1]

    def start(self):
        """Serve requests on background threads."""
        threading.Thread(
            target=self._run, name="http-server", daemon=True
        ).start()
        self._watch.start()

    def end_connections(self):
        """Close each connection after its next answer, for a drain."""
        self._closing.set()

    def stop_accepting(self):
        """Close the listener; open connections continue.

        The operating system refuses later connections, which proves to the
        client that its request was not run.
        """
        self._server.del_channel()
        self._listener.close()

    def close_idle(self):
        """Close the connections on which no request has begun.

        After ``end_connections`` each other one closes after its answer.
        """
        closed = threading.Event()

        def close():
            try:
                for channel in list(self._server.active_channels.values()):
                    channel.close_if_idle()
            finally:
                closed.set()

        # The thread that reads requests closes them, so that none is read
        # meanwhile.
        self._server.trigger.pull_trigger(close)
        closed.wait(CLOSE_TIMEOUT_S)

    def wait_quiet(self, *, timeout_s):
        """Wait until all answers are sent; return False on a timeout.

        A request ends when its last bytes are in a buffer of the server.
        Closing the connection at that point would truncate the answer.
        """
        until_s = time.monotonic() + timeout_s
        while self._is_busy():
            if time.monotonic() > until_s:
                return False
            time.sleep(SENT_POLL_S)
        return True

    def _is_busy(self):
        channels = list(self._server.active_channels.values())
        return any(
            each.requests or each.request or each.total_outbufs_len
            for each in channels
        )

    def stop(self):
        """Close the listener and every connection."""
        self._watch.stop()
        self._server.close()
        self._server.task_dispatcher.shutdown(timeout=1)

    def _lift_kernel_timeout(self):
        """Accept connections without the kernel's timeout from now on."""
        with contextlib.suppress(OSError):
            # The listener is closed during a drain.
            self._listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0
            )

    def _run(self):
        try:
            self._server.run()
        except OSError:
            # ``stop`` closed the listener while it was polled.
            return


def _listen(host, port):
    listener = socket.create_server((host, port), backlog=1024)
    # Accepted connections inherit these options.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(UNSENT_TIMEOUT_S * 1000),
    )
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, OUTPUT_BUFFER_BYTES
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, IDLE_BEFORE_PROBE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, MAX_PROBES),
    ):
        listener.setsockopt(socket.IPPROTO_TCP, option, value)
    return listener
