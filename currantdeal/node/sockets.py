"""Options of TCP sockets that carry requests and messages."""

import socket

UNACKNOWLEDGED_MS = 1_500
"""Time after which data without an acknowledgement ends a connection.

A partition or a forgotten connection gives no error by itself, and a writer
would wait for minutes.  One and a half seconds is ten round trips between
regions with three retransmissions.
"""


def prepare_socket(transport):
    """Send small writes at once, and give up a peer that is out of reach."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
