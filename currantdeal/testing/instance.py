"""Runs and controls one instance of the system under test."""

import contextlib

import msgspec
import urllib3

from currantdeal.testing.errors import HarnessError
from currantdeal.testing.processes import ChildProcess
from currantdeal.testing.shapes import OPERATOR_KEY
from currantdeal.testing.waiting import wait_until

TIMEOUT_S = 5.0
OK = 200


class Instance:
    """A ``currantdeal serve`` process that can be killed and restarted.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    folder : Path
        Folder for its settings, log and data.
    command : tuple of str
        Module to run and its arguments before the path of the settings.
    key : str
        Operator's key, which reading the status requires.
    """

    def __init__(self, *, settings, folder, command, key=OPERATOR_KEY):
        """Write the settings; ``start`` runs the process."""
        self._settings = settings
        self._folder = folder
        self._command = command
        self._key = key
        self._process = None
        self._pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self._path = folder / "settings.json"
        raw = msgspec.json.format(msgspec.json.encode(settings))
        self._path.write_bytes(raw)

    @property
    def name(self):
        """Name of the instance."""
        return self._settings.instance

    @property
    def settings(self):
        """Settings of the instance."""
        return self._settings

    @property
    def address(self):
        """Address at which it listens for callers, without any proxy."""
        return self._settings.caller_address

    @property
    def advertised_address(self):
        """Address that is advertised to callers; of the proxy, if any."""
        return (
            self._settings.advertised_caller_address
            or self._settings.caller_address
        )

    @property
    def process(self):
        """The current process, or the last one."""
        return self._process

    @property
    def log(self):
        """Log of all its processes so far."""
        return self._process.log if self._process else ""

    def start(self):
        """Start the process."""
        self._process = ChildProcess(
            arguments=["-m", *self._command, str(self._path)],
            log_path=self._folder / "instance.log",
        )

    def restart(self):
        """Kill the process as a crash would, and start another one."""
        self.kill()
        self.start()

    def kill(self):
        """End the process at once, as a crash would."""
        if self._process is not None:
            self._process.kill()

    def freeze(self):
        """Suspend the process; its connections stay open."""
        self._process.freeze()

    def thaw(self):
        """Resume a suspended process."""
        self._process.thaw()

    def terminate(self, **limits):
        """Request a graceful shutdown and return the exit status."""
        return self._process.terminate(**limits)

    def is_ready(self):
        """Return whether the instance reports that it is ready."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self._get("/readyz").status == OK
        return False

    def wait_ready(self, **limits):
        """Return once the instance is ready."""
        try:
            wait_until(self._check_ready, what="readiness", **limits)
        except HarnessError as exc:
            tail = self.log[-4000:]
            raise HarnessError(f"{self.name}: {exc}\n{tail}") from exc

    def operator(self, path):
        """Return the decoded answer to a GET request of an operator."""
        try:
            answer = self._get(path)
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"{self.name}: {exc}") from exc
        if answer.status != OK:
            raise HarnessError(f"{path}: {answer.status} {answer.data!r}")
        return msgspec.json.decode(answer.data)

    def status(self):
        """Return the decoded answer of ``/operator/status``."""
        return self.operator("/operator/status")

    def _check_ready(self):
        if not self._process.running:
            raise HarnessError(
                f"process ended with status {self._process.exit_code}"
            )
        return self.is_ready()

    def _get(self, path):
        return self._pool.request(
            "GET",
            f"http://{self.address}{path}",
            headers={"Authorization": f"Bearer {self._key}"},
        )
