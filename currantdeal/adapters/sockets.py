"""Chooses what the operating system does with a connection's last bytes."""

import fcntl
import os
import socket
import struct
import sys
import termios
from pathlib import Path

_MAX_SEND_BUFFER = Path("/proc/sys/net/core/wmem_max")


def set_reset_on_close(sock, enabled):
    """Choose whether closing a socket resets its connection.

    The operating system does so too when the process ends, however it does.
    """
    linger = struct.pack("ii", int(enabled), 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def grow_send_buffer(sock, size_bytes):
    """Let the operating system take more bytes, up to its own limit.

    It goes on to send them if the process ends.  A buffer that it has sized
    itself may be above that limit, and is left as it is.
    """
    present = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    wanted = min(present + size_bytes, max_send_buffer())
    # The system doubles it for its own overhead.
    if 2 * wanted > present:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, wanted)


def max_send_buffer():
    """Return the most bytes that a socket may be set to hold."""
    try:
        return int(_MAX_SEND_BUFFER.read_text())
    except (OSError, ValueError):
        return sys.maxsize


def unacknowledged_bytes(sock):
    """Return what the operating system holds of what was sent.

    It is known until the socket is closed, also if its connection is lost.
    """
    return _queued_bytes(sock, termios.TIOCOUTQ)


def unread_bytes(sock):
    """Return what the operating system has received for this process."""
    return _queued_bytes(sock, termios.FIONREAD)


def read_arrived(sock):
    """Read what the operating system has received for this process.

    Returns
    -------
    tuple of bytes and bool
        The bytes, and whether the peer has ended its side after them.
    """
    size = unread_bytes(sock)
    data = b""
    try:
        if size:
            data = os.read(sock.fileno(), size)
        last = os.read(sock.fileno(), 1)
    except OSError:
        # Nothing more is there, or the event loop reports the loss.
        return data, False
    return data + last, not last


def _queued_bytes(sock, queue):
    packed = struct.pack("i", 0)
    try:
        packed = fcntl.ioctl(sock.fileno(), queue, packed)
    except (OSError, ValueError):
        return 0
    return struct.unpack("i", packed)[0]
