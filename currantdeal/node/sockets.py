"""Sets the options of TCP sockets that carry requests and messages."""

import contextlib
import socket

from currantdeal.node.peer_watch import peer_watch

UNREACHABLE_ERRORS = (OSError, OverflowError, ValueError)
"""Errors of opening a connection, also to what is no address or port."""


def prepare_socket(transport, *, on_gone=None):
    """Send small writes at once, and notice a peer that is gone.

    Parameters
    ----------
    on_gone : callable or None
        See ``WatchedPeer``; by default the connection is aborted.

    Returns
    -------
    WatchedPeer
        To be told of each write.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return peer_watch().add(transport, on_gone=on_gone)


def end_sending(transport):
    """End this side of a connection.

    One that its peer has reset, of which the loop does not know yet, raises
    an error; the loop then reports the loss.
    """
    with contextlib.suppress(OSError):
        transport.write_eof()
