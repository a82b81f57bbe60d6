"""Logs: one line per change of state, as JSON or for a console.

See Also
--------
currantdeal.adapters.metrics : what is counted rather than logged
"""

import logging
import sys
from enum import Enum

import structlog


class LogFormat(str, Enum):
    """How lines look."""

    JSON = "json"
    CONSOLE = "console"


def configure_logs(*, log_format=LogFormat.JSON, instance=""):
    """Send the process's log lines to standard error.

    Parameters
    ----------
    log_format : LogFormat
        JSON for machines, console for people.
    instance : str
        Named in every line.
    """
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        lambda _, __, event: {"instance": instance, **event},
    ]
    last = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        last = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[*shared, structlog.processors.format_exc_info, last],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    _quieten_libraries()


def _quieten_libraries():
    # waitress tells of each busy moment and of each hang-up, urllib3 of each
    # broken connection; both are counted instead.
    for name in ("waitress", "waitress.queue", "urllib3", "pykka"):
        logging.getLogger(name).setLevel(logging.ERROR)
