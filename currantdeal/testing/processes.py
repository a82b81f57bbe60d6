"""Starts, observes and ends child processes of tests.

Each process is ended on its own, by its process id.
"""

import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

import currantdeal
from currantdeal.testing.errors import HarnessError

STOP_S = 30.0
ROOT = Path(currantdeal.__file__).parent.parent


class ChildProcess:
    """A Python child process.

    Parameters
    ----------
    arguments : sequence of str
        Arguments for the Python interpreter that runs this process.
    log_path : Path
        File to which standard error is appended.
    environment : mapping, optional
        Additional environment variables.
    """

    def __init__(self, *, arguments, log_path, environment=None):
        """Start the process."""
        self._arguments = tuple(arguments)
        self._log_path = Path(log_path)
        env = os.environ | {"PYTHONPATH": _python_path()}
        with self._log_path.open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                env=env | (environment or {}),
            )

    @property
    def arguments(self):
        """Arguments of the Python interpreter."""
        return self._arguments

    @property
    def pid(self):
        """Process id."""
        return self._popen.pid

    @property
    def running(self):
        """True until the process has ended."""
        return self._popen.poll() is None

    @property
    def exit_code(self):
        """Exit status, or None while the process runs."""
        return self._popen.poll()

    @property
    def log(self):
        """Content of the log file."""
        return self._log_path.read_text(errors="replace")

    def read_address(self):
        """Return the address that the first line of output states."""
        line = self._popen.stdout.readline()
        try:
            return msgspec.json.decode(line)["address"]
        except (msgspec.MsgspecError, KeyError) as exc:
            raise HarnessError(
                f"process {self.pid} did not start:\n{self.log[-4000:]}"
            ) from exc

    def read_output(self):
        """Return the standard output, once the process has closed it."""
        return self._popen.stdout.read().decode(errors="replace")

    def send_signal(self, number):
        """Send a signal; ignored if the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(number)

    def kill(self):
        """End the process at once, as a crash would."""
        self.send_signal(signal.SIGKILL)
        # SIGKILL also ends a suspended process, so this wait returns.
        self._popen.wait()
        self._popen.stdout.close()

    def freeze(self):
        """Suspend the process; its connections stay open."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Resume a suspended process."""
        self.send_signal(signal.SIGCONT)

    def terminate(self, *, limit_s=STOP_S):
        """Request a graceful shutdown and return the exit status."""
        self.send_signal(signal.SIGTERM)
        return self.wait(limit_s=limit_s)

    def wait(self, *, limit_s=STOP_S):
        """Return the exit status once the process has ended."""
        try:
            return self._popen.wait(limit_s)
        except subprocess.TimeoutExpired as exc:
            raise HarnessError(
                f"process {self.pid} still runs after {limit_s} s"
            ) from exc


def _python_path():
    inherited = os.environ.get("PYTHONPATH", "")
    return os.pathsep.join(filter(None, (str(ROOT), inherited)))
