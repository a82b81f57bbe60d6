"""Chooses what the operating system does with a connection's last bytes."""

import socket
import struct


def set_reset_on_close(sock, enabled):
    """Choose whether closing a socket resets its connection.

    The operating system does so too when the process ends, however it does.
    """
    linger = struct.pack("ii", int(enabled), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def grow_send_buffer(sock, size_bytes):
    """Let the operating system take more bytes, up to its own limit.

    It goes on to send them if the process ends.
    """
    present = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, present + size_bytes)
