"""Collects the log lines of all processes that explain one request.

The last line of a request lists its steps: which engine reserved memory,
which one prefilled the prompt, which one ran it, and what each answered.
The lines of the same process around that time show its view of the system.
Files are read twice, line by line, so that memory use does not depend on
their size.
"""

import json
from dataclasses import dataclass

BEFORE_S = 10.0
"""Seconds before a request from which lines of its process are included.

A change, or an upstream that leaves, reaches every process within a few
seconds.
"""

AFTER_S = 1.0
"""Seconds after a request until which lines of its process are included."""

MAX_LINES = 400
"""Bound of the collected lines; further lines are only counted."""

_PROCESS_EVENTS = frozenset(
    {
        "control-followed",
        "control-lost",
        "config-in-force",
        "config-unreadable",
        "started",
        "stopping",
        "stopped",
        "settings-reloaded",
        "settings-refused",
        "log-lines-dropped",
        "limit-owner",
        "upstream-limit-lifted",
        "upstream-limit-named",
    }
)
"""Events that concern every request of the process that logs them."""

_UPSTREAM_EVENTS = frozenset(
    {
        "engine-switches",
        "upstream-back",
        "upstream-changed",
        "upstream-dropped",
        "upstream-out",
        "upstream-replaced",
    }
)
"""Events that concern only requests with a step at the same upstream."""


@dataclass(frozen=True, kw_only=True)
class LogLine:
    """One decoded log line.

    Parameters
    ----------
    at : float
        Unix time.
    fields : dict
        All other fields of the line.
    """

    at: float
    instance: str
    event: str
    fields: dict


def read_line(text):
    """Return the ``LogLine`` in a text, or None if it holds none.

    Text before the JSON object, such as the prefix of a log collector, is
    ignored.

    Examples
    --------
    >>> line = read_line('host {"at": 1.5, "instance": "a", "event": "x"}')
    >>> line.at, line.instance, line.event
    (1.5, 'a', 'x')
    >>> read_line("Traceback") is None
    True
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = float(fields.pop("at"))
        instance = str(fields.pop("instance"))
        event = str(fields.pop("event"))
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        RecursionError,
    ):
        return None
    return LogLine(at=at, instance=instance, event=event, fields=fields)


class RequestHistory:
    """Collects the log lines that explain one request.

    Every line of every file is passed to ``add_request_line`` first, then
    every line again to ``add_context_line``.

    Parameters
    ----------
    request : str
        Id of the request.
    """

    def __init__(self, *, request):
        """Start without lines."""
        self._request = request
        self._request_lines = []
        self._context_lines = []
        self._omitted = 0

    @property
    def found(self):
        """True if a line of the request was found."""
        return bool(self._request_lines)

    @property
    def omitted(self):
        """Number of lines omitted because of ``MAX_LINES``."""
        return self._omitted

    @property
    def lines(self):
        """The collected lines, sorted by time."""
        return sorted(
            self._request_lines + self._context_lines, key=lambda line: line.at
        )

    def add_request_line(self, text):
        """Add a line of the first pass if it belongs to the request."""
        if self._request not in text:
            return
        line = read_line(text)
        if line is not None and line.fields.get("request") == self._request:
            self._append(self._request_lines, line)

    def add_context_line(self, text):
        """Add a line of the second pass if it explains the request."""
        line = read_line(text)
        if line is None or not self._is_relevant(line):
            return
        start_s, end_s = self._time_span()
        if start_s - BEFORE_S <= line.at <= end_s + AFTER_S:
            self._append(self._context_lines, line)

    def _is_relevant(self, line):
        if not any(
            own.instance == line.instance for own in self._request_lines
        ):
            return False
        if line.event in _PROCESS_EVENTS:
            return True
        if line.event not in _UPSTREAM_EVENTS:
            return False
        upstream = line.fields.get("upstream", "")
        return any(
            upstream in step
            for own in self._request_lines
            for step in own.fields.get("steps", ())
        )

    def _time_span(self):
        end_s = max(line.at for line in self._request_lines)
        took = max(
            line.fields.get("took", 0.0) for line in self._request_lines
        )
        return end_s - took, end_s

    def _append(self, lines, line):
        if len(self._request_lines) + len(self._context_lines) >= MAX_LINES:
            self._omitted += 1
        else:
            lines.append(line)


def format_line(line, start_s):
    """Return the printed lines of a log line, with its time after a start.

    Examples
    --------
    >>> line = LogLine(at=2.5, instance="a", event="x", fields={"why": "y"})
    >>> format_line(line, 2.0)
    ['  +0.500 a x: why=y']
    """
    fields = dict(line.fields)
    fields.pop("level", None)
    steps = fields.pop("steps", ())
    details = " ".join(f"{key}={value}" for key, value in fields.items())
    head = f"{line.at - start_s:+8.3f} {line.instance} {line.event}: {details}"
    return [head, *(f"{'':10}after {step}" for step in steps)]
