"""Options of sockets whose last bytes are left to the system."""

import socket

import pytest

from currantdeal.adapters import sockets

USUAL_LIMIT_BYTES = 212_992


class _Socket:
    """A socket of a system with a limit, which doubles what is set."""

    def __init__(self, *, buffer_bytes):
        self.buffer_bytes = buffer_bytes

    def getsockopt(self, level, option):
        assert (level, option) == (socket.SOL_SOCKET, socket.SO_SNDBUF)
        return self.buffer_bytes

    def setsockopt(self, level, option, value):
        assert (level, option) == (socket.SOL_SOCKET, socket.SO_SNDBUF)
        assert 0 < value < 2**31
        self.buffer_bytes = 2 * min(value, USUAL_LIMIT_BYTES)


@pytest.mark.parametrize("buffer_bytes", [87_040, 425_984, 3_939_840])
def test_send_buffer_never_shrinks(buffer_bytes, monkeypatch):
    """Guards against a buffer that takes less at the end of a process."""
    monkeypatch.setattr(
        sockets, "max_send_buffer", lambda: USUAL_LIMIT_BYTES, raising=False
    )
    sock = _Socket(buffer_bytes=buffer_bytes)
    sockets.grow_send_buffer(sock, 700_000)
    assert sock.buffer_bytes == max(buffer_bytes, 2 * USUAL_LIMIT_BYTES)


def test_send_buffer_grows_within_the_limit_of_this_system():
    """Guards against a limit that is read wrongly."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 10_000)
        before = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
        sockets.grow_send_buffer(sock, 50_000)
        after = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    assert after >= before + 50_000
