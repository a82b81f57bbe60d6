"""Reserves port numbers for tests, across processes.

The operating system may assign a port that was found by binding port 0 to
another process before the test uses it, which makes parallel test runs fail
at random.  Therefore ports are chosen below the ephemeral port range, and
each one is reserved with a lock on a file.
"""

import contextlib
import fcntl
import random
import socket
import tempfile
from pathlib import Path

from currantdeal.testing.errors import HarnessError

FIRST_PORT = 15_000
LAST_PORT = 32_000
ATTEMPTS = 2_000


class PortReservations:
    """Ports that are reserved until the object is closed.

    Examples
    --------
    >>> from currantdeal.testing.ports import PortReservations
    >>> ports = PortReservations()
    >>> ports.take() != ports.take()
    True
    >>> ports.close()
    """

    def __init__(self):
        """Reserve no port yet."""
        self._locks = []
        self._folder = Path(tempfile.gettempdir()) / "currantdeal-ports"
        self._folder.mkdir(exist_ok=True)

    def take(self):
        """Reserve a free port and return it."""
        for _ in range(ATTEMPTS):
            port = random.randint(FIRST_PORT, LAST_PORT)
            if self._try_reserve(port):
                return port
        raise HarnessError(
            f"no free port between {FIRST_PORT} and {LAST_PORT} "
            f"after {ATTEMPTS} attempts"
        )

    def take_address(self):
        """Reserve a free port and return it as ``127.0.0.1:PORT``."""
        return f"127.0.0.1:{self.take()}"

    def close(self):
        """Release all ports."""
        for lock in self._locks:
            lock.close()
        self._locks.clear()

    def _try_reserve(self, port):
        lock = (self._folder / str(port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _check_free(socket.SOCK_STREAM, port)
            _check_free(socket.SOCK_DGRAM, port)
        except OSError:
            lock.close()
            return False
        self._locks.append(lock)
        return True


def _check_free(kind, port):
    with contextlib.closing(socket.socket(socket.AF_INET, kind)) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", port))
