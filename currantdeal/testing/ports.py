"""Ports that stay reserved while a harness uses them.

A port picked by binding port 0 may be given to another process between the
pick and its use, and a parallel test run then fails at random.  So ports are
taken below the range that the system hands out, under one lock file each.
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
TRIES = 2_000


class PortReservations:
    """Ports that this object holds until it is closed.

    Examples
    --------
    >>> from currantdeal.testing.ports import PortReservations
    >>> ports = PortReservations()
    >>> ports.take() != ports.take()
    True
    >>> ports.close()
    """

    def __init__(self):
        """Hold no port yet."""
        self._locks = []
        self._folder = Path(tempfile.gettempdir()) / "currantdeal-ports"
        self._folder.mkdir(exist_ok=True)

    def take(self):
        """Return a free port that no other harness will take."""
        for _ in range(TRIES):
            port = random.randint(FIRST_PORT, LAST_PORT)
            if self._lock(port):
                return port
        raise HarnessError("no free port")

    def take_address(self):
        """Return a free port as ``127.0.0.1:PORT``."""
        return f"127.0.0.1:{self.take()}"

    def close(self):
        """Give all ports back."""
        for lock in self._locks:
            lock.close()
        self._locks.clear()

    def _lock(self, port):
        lock = (self._folder / str(port)).open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _probe(socket.SOCK_STREAM, port)
            _probe(socket.SOCK_DGRAM, port)
        except OSError:
            lock.close()
            return False
        self._locks.append(lock)
        return True


def _probe(kind, port):
    with contextlib.closing(socket.socket(socket.AF_INET, kind)) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", port))
