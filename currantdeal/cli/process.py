"""What the processes of a deployment have in common: signals and settings."""

import asyncio
import os
import signal

import structlog

from currantdeal.node.errors import SettingsFileError
from currantdeal.node.settings import read_settings

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


async def every(interval_s, action):
    """Call a function again and again, until cancelled."""
    while True:
        await asyncio.sleep(interval_s)
        action()
