"""What the processes of a deployment have in common: signals and settings."""

import asyncio
import os
import signal

import structlog

from currantdeal.node.errors import SettingsFileError
from currantdeal.node.http_server import HttpServer
from currantdeal.node.settings import read_settings, split_address

SETTINGS_INTERVAL_S = 2.0
"""Interval at which the settings file is looked at.

It may change without a signal; what it changes concerns minutes, not
seconds.
"""

_log = structlog.get_logger(__name__)


class SettingsFile:
    """The settings in force, read again when their file changes.

    A file that cannot be used changes nothing: a process that took half of
    it, or ended, would fail at the next restart of its neighbours.
    """

    def __init__(self, *, settings, path):
        """Hold the settings that the process started with."""
        self._settings = settings
        self._path = path
        self._seen = self._stamp()

    @property
    def current(self):
        """The settings in force."""
        return self._settings

    def reload(self):
        """Read the file again."""
        self._seen = self._stamp()
        try:
            self._settings = read_settings(self._path)
        except SettingsFileError as exc:
            _log.error("settings-refused", why=str(exc))
            return
        _log.info(
            "settings-reloaded", control=self._settings.control_addresses
        )

    async def watch(self):
        """Reload when the file changes, until cancelled."""
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL_S)
            if self._stamp() != self._seen:
                self.reload()

    def _stamp(self):
        try:
            found = os.stat(self._path)
        except OSError:
            return None
        return (found.st_mtime_ns, found.st_size, found.st_ino)


def on_signals(*, stop, reload):
    """Call ``stop`` on SIGTERM and SIGINT, ``reload`` on SIGHUP."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload)


class MetricsPage:
    """Serves the metrics of a process.

    Parameters
    ----------
    metrics : currantdeal.adapters.metrics.Metrics
        The registry.
    refresh : callable
        Sets the gauges; called for each page, so that nobody pays for
        gauges that nobody reads.
    """

    def __init__(self, *, metrics, refresh):
        """Serve nothing before ``start``."""
        self._metrics = metrics
        self._refresh = refresh

    async def start(self, address):
        """Listen, if there is an address."""
        if address:
            server = HttpServer(handler=self._answer)
            await server.start(*split_address(address))

    async def _answer(self, request, responder):
        self._refresh()
        content_type, text = self._metrics.render()
        headers = ((b"content-type", content_type.encode()),)
        responder.answer(200, headers, text)


class LoopDelay:
    """Measures how late the event loop is.

    Parameters
    ----------
    metrics : currantdeal.adapters.metrics.Metrics
        Gets a histogram of the delays.
    """

    INTERVAL_S = 0.5

    def __init__(self, *, metrics):
        """Measure nothing before ``run``."""
        self._metrics = metrics

    async def run(self):
        """Measure, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + self.INTERVAL_S
            await asyncio.sleep(self.INTERVAL_S)
            delay_s = max(0.0, loop.time() - due_s)
            self._metrics.observe("loop_delay_seconds", delay_s)


async def every(interval_s, action):
    """Call a function again and again, until cancelled."""
    while True:
        await asyncio.sleep(interval_s)
        action()
