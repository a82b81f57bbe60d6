"""Processes of the harness: started, watched and ended one by one."""

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
    """One process that this one started; ended by its process id.

    Parameters
    ----------
    arguments : sequence of str
        Arguments for the Python that runs this process.
    log_path : Path
        File that takes standard error.
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
        """Arguments that the process was started with."""
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
        """What the process wrote to standard error."""
        return self._log_path.read_text(errors="replace")

    def read_address(self):
        """Return the address in the process's first line of output."""
        line = self._popen.stdout.readline()
        try:
            return msgspec.json.decode(line)["address"]
        except (msgspec.MsgspecError, KeyError) as exc:
            raise HarnessError(
                f"process {self.pid} did not start:\n{self.log[-4000:]}"
            ) from exc

    def read_output(self):
        """Return everything that the process prints until its end."""
        return self._popen.stdout.read().decode(errors="replace")

    def send_signal(self, number):
        """Send a signal; a process that has ended is fine."""
        with contextlib.suppress(ProcessLookupError):
            self._popen.send_signal(number)

    def kill(self):
        """End the process at once, as a crash would."""
        self.send_signal(signal.SIGKILL)
        # A frozen process ends too: SIGKILL needs no consent.
        self._popen.wait()
        self._popen.stdout.close()

    def freeze(self):
        """Stop the process without ending it or its connections."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self):
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    def terminate(self, *, limit_s=STOP_S):
        """Ask for a graceful shutdown and return the exit status."""
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
    known = os.environ.get("PYTHONPATH", "")
    return os.pathsep.join(filter(None, (str(ROOT), known)))
