"""Log lines of a process: JSON on standard output, bounded, never blocking.

The load pattern is a failure at peak: every request has something to tell,
and whoever reads the lines falls behind.  A process that waited for its
reader would stop serving; one that kept everything would run out of memory.
So lines wait in a bounded buffer, what does not fit is counted, and a later
line tells the count.
"""

import fcntl
import os
import time
from collections import deque

import msgspec
import structlog

MAX_WAITING_LINES = 2_000
"""Lines kept for a reader that is behind: about half a megabyte."""

LINES_PER_S = 400.0
"""Lines written per second at most, averaged over a few seconds.

An entry at its peak ends some tens of requests a second with up to four
lines each; the rest is room for a failure.
"""

BURST_LINES = 2_000


class LineWriter:
    """Writes lines to a descriptor without ever waiting for its reader.

    Parameters
    ----------
    descriptor : int
        Put into non-blocking mode.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, descriptor=1, clock=time.monotonic):
        """Put the descriptor into non-blocking mode."""
        self._descriptor = descriptor
        self._clock = clock
        self._waiting = deque()
        self._dropped = 0
        self._allowance = float(BURST_LINES)
        self._at_s = clock()
        self._partial = b""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    @property
    def dropped(self):
        """Lines dropped since the last line that told of it."""
        return self._dropped

    def write(self, line):
        """Take a line, or count it as dropped."""
        if not self._admit() or len(self._waiting) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        if self._dropped:
            told = {"event": "log-lines-dropped", "count": self._dropped}
            self._waiting.append(msgspec.json.encode(told) + b"\n")
            self._dropped = 0
        self._waiting.append(line)
        self.flush()

    def flush(self):
        """Write what the reader takes now."""
        while self._partial or self._waiting:
            if not self._partial:
                self._partial = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the process goes on without a log.
                self._partial = b""
                self._waiting.clear()
                return
            self._partial = self._partial[written:]

    def _admit(self):
        now_s = self._clock()
        gained = (now_s - self._at_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._at_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True


class _LineLogger:
    def __init__(self, *, writer):
        self._writer = writer

    def msg(self, line):
        self._writer.write(line)

    info = warning = error = debug = critical = msg


def configure_node_logs(*, instance, writer=None):
    """Send this process's log lines to standard output and return the writer.

    Parameters
    ----------
    instance : str
        Named in every line.
    """
    writer = writer or LineWriter()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            lambda _, __, event: _render(instance, event),
        ],
        wrapper_class=structlog.BoundLogger,
        logger_factory=lambda *_: _LineLogger(writer=writer),
        cache_logger_on_first_use=True,
    )
    return writer


def _render(instance, event):
    line = {"at": round(time.time(), 3), "instance": instance, **event}
    return msgspec.json.encode(line, enc_hook=str) + b"\n"
