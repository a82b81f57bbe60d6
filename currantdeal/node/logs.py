"""Writes a process's log lines as JSON to standard output without blocking.

The load pattern is a failure at peak load: every request logs several lines,
and the process that reads them falls behind.  Waiting for the reader would
stop serving, and buffering every line would exhaust the memory.  Lines are
therefore held in a bounded queue; lines that do not fit are dropped and
counted, and a later line reports the count.
"""

import fcntl
import logging
import os
import time
from collections import deque

import msgspec
import structlog

MAX_WAITING_LINES = 2_000
"""Maximum number of lines queued for a slow reader: about half a megabyte."""

LINES_PER_S = 400.0
"""Maximum rate of log lines, averaged over a few seconds.

An entry at its peak completes some tens of requests a second with up to four
lines each; the rest is headroom for a failure.
"""

BURST_LINES = 2_000
"""Capacity of the token bucket that limits the rate of log lines."""

MAX_TEXT_CHARS = 4_096
"""Maximum length of a text in a log line, such as a traceback.

Errors may quote what a peer has sent.
"""

_CUT = " ... "


class LineWriter:
    """Writes lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is put into non-blocking mode.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, descriptor=1, clock=time.monotonic):
        """Put the file descriptor into non-blocking mode."""
        self._descriptor = descriptor
        self._clock = clock
        self._waiting = deque()
        self._dropped = 0
        self._tokens = float(BURST_LINES)
        self._refilled_s = clock()
        self._partial = b""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    @property
    def dropped(self):
        """Number of lines dropped since the last line that reported it."""
        return self._dropped

    def write(self, line):
        """Queue a line and write it, or drop and count it."""
        if not self._take_token() or len(self._waiting) >= MAX_WAITING_LINES:
            self._dropped += 1
            return
        if self._dropped:
            report = {"event": "log-lines-dropped", "count": self._dropped}
            self._waiting.append(msgspec.json.encode(report) + b"\n")
            self._dropped = 0
        self._waiting.append(line)
        self.flush()

    def flush(self):
        """Write as many queued lines as the reader accepts now."""
        while self._partial or self._waiting:
            if not self._partial:
                self._partial = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, self._partial)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end; continue without logging.
                self._partial = b""
                self._waiting.clear()
                return
            self._partial = self._partial[written:]

    def _take_token(self):
        now_s = self._clock()
        gained = (now_s - self._refilled_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _LineLogger:
    """Writes lines of any level; structlog calls the method of the level."""

    def __init__(self, *, writer):
        self._writer = writer

    def msg(self, line):
        self._writer.write(line)

    debug = info = warning = error = critical = msg


def configure_node_logs(*, instance, writer=None):
    """Send this process's log lines to standard output and return the writer.

    Parameters
    ----------
    instance : str
        Name of the instance; it is added to every line.
    """
    writer = writer or LineWriter()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            lambda _, __, event: _render(instance, event),
        ],
        # Unlike the generic logger, it has each method of a standard logger.
        wrapper_class=structlog.make_filtering_bound_logger(logging.NOTSET),
        logger_factory=lambda *_: _LineLogger(writer=writer),
        cache_logger_on_first_use=True,
    )
    return writer


def _render(instance, event):
    line = {"at": round(time.time(), 3), "instance": instance}
    line.update((key, _shorten(value)) for key, value in event.items())
    return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _shorten(value):
    """Return a long text without its middle, anything else unchanged."""
    if not isinstance(value, str) or len(value) <= MAX_TEXT_CHARS:
        return value
    kept = (MAX_TEXT_CHARS - len(_CUT)) // 2
    return value[:kept] + _CUT + value[-kept:]
