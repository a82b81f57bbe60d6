"""Chooses how the operating system closes a connection."""

import socket
import struct


def set_reset_on_close(sock, enabled):
    """Choose whether closing a socket resets its connection.

    The operating system does so too when the process ends, however it does.
    """
    linger = struct.pack("ii", int(enabled), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
