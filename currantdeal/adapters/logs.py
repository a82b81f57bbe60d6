"""Configures logging: one line per change of state, JSON or console text.

See Also
--------
currantdeal.adapters.metrics : events that are counted instead of logged
"""

import logging
import sys
from enum import Enum

import structlog


class LogFormat(str, Enum):
    """Format of log lines."""

    JSON = "json"
    CONSOLE = "console"


def configure_logs(*, log_format=LogFormat.JSON, instance=""):
    """Send the process's log lines to standard error.

    Parameters
    ----------
    log_format : LogFormat
        JSON for machines, console for people.
    instance : str
        Name of this instance, added to every line.
    """
    shared = [
        structlog.contextvars.merge_contextvars,
        structlog.processors.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        lambda _, __, event: {"instance": instance, **event},
    ]
    renderer = structlog.processors.JSONRenderer()
    if log_format is LogFormat.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[*shared, structlog.processors.format_exc_info, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
    _quieten_libraries()


def _quieten_libraries():
    # waitress logs each request that waits for a thread and each client that
    # disconnects, urllib3 each broken connection; these are counted instead.
    for name in ("waitress", "waitress.queue", "urllib3", "pykka"):
        logging.getLogger(name).setLevel(logging.ERROR)
