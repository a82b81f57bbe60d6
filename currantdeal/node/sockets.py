"""Sets the options of TCP sockets that carry requests and messages."""

import socket

UNACKNOWLEDGED_MS = 1_500
"""Time after which unacknowledged data closes a connection.

A network partition, or a connection whose state was lost on the path or at
the peer, raises no error by itself, and a writer would wait for minutes.  1.5
seconds allow for ten round trips between regions with three retransmissions.
"""


UNREACHABLE_ERRORS = (OSError, OverflowError, ValueError)
"""Errors of opening a connection, also to what is no address or port."""


def prepare_socket(transport):
    """Send small writes at once, and time out on an unreachable peer."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
