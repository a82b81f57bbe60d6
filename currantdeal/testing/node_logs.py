"""Capture the log lines of a module as entry and control processes do."""

import json
import os
from contextlib import contextmanager

import structlog

from currantdeal.node.logs import LineWriter, configure_node_logs

MAX_CAPTURED_BYTES = 1_048_576
"""Maximum size of the lines that are read at once."""


@contextmanager
def node_log_lines(module):
    """Yield a function that returns all log lines of a module, decoded.

    The module gets a logger that is configured as in the processes. Other
    modules, and later tests, keep theirs.
    """
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    lines = []

    def read_lines():
        try:
            data = os.read(reading, MAX_CAPTURED_BYTES)
        except BlockingIOError:
            data = b""
        lines.extend(json.loads(line) for line in data.splitlines())
        return lines

    logger, config = module._log, structlog.get_config()
    configure_node_logs(instance="test", writer=LineWriter(descriptor=writing))
    module._log = structlog.get_logger(module.__name__)
    try:
        yield read_lines
    finally:
        module._log = logger
        structlog.configure(**config)
        os.close(reading)
        os.close(writing)
