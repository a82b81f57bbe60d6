"""One instance of the system under the harness."""

import contextlib

import msgspec
import urllib3

from currantdeal.testing.errors import HarnessError
from currantdeal.testing.processes import ChildProcess
from currantdeal.testing.shapes import OPERATOR_KEY
from currantdeal.testing.waiting import wait_until

TIMEOUT_S = 5.0
READY = 200


class Instance:
    """A ``currantdeal serve`` process that can be killed and restarted.

    Parameters
    ----------
    settings : Settings
        Its settings.
    folder : Path
        Where its settings, log and data are.
    command : tuple of str
        Module to run and its arguments, but for the path of the settings.
    key : str
        Operator's key, to read its status.
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
        """Settings it was started with."""
        return self._settings

    @property
    def address(self):
        """Where it listens for callers, past any proxy."""
        return self._settings.caller_address

    @property
    def advertised(self):
        """Where callers are told to reach it."""
        return (
            self._settings.advertised_caller_address
            or self._settings.caller_address
        )

    @property
    def process(self):
        """The process that runs at present or ran last."""
        return self._process

    @property
    def log(self):
        """Everything its processes have logged."""
        return self._process.log if self._process else ""

    def start(self):
        """Start the process."""
        self._process = ChildProcess(
            arguments=["-m", *self._command, str(self._path)],
            log_path=self._folder / "instance.log",
        )

    def restart(self):
        """Kill the process at once and start another one."""
        self.kill()
        self.start()

    def kill(self):
        """End the process at once, as a crash would."""
        if self._process is not None:
            self._process.kill()

    def freeze(self):
        """Stop the process, its connections stay open."""
        self._process.freeze()

    def thaw(self):
        """Let a frozen process go on."""
        self._process.thaw()

    def terminate(self, **limits):
        """Ask for a graceful shutdown and return the exit status."""
        return self._process.terminate(**limits)

    def ready(self):
        """Return whether the instance says it is ready."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self._get("/readyz").status == READY
        return False

    def wait_ready(self, **limits):
        """Return once the instance is ready."""
        try:
            wait_until(self._ready_or_dead, what="readiness", **limits)
        except HarnessError as exc:
            tail = self.log[-4000:]
            raise HarnessError(f"{self.name}: {exc}\n{tail}") from exc

    def operator(self, path):
        """Return the decoded answer of an operator's read."""
        try:
            answer = self._get(path)
        except urllib3.exceptions.HTTPError as exc:
            raise HarnessError(f"{self.name}: {exc}") from exc
        if answer.status != READY:
            raise HarnessError(f"{path}: {answer.status} {answer.data!r}")
        return msgspec.json.decode(answer.data)

    def status(self):
        """Return what ``/operator/status`` says."""
        return self.operator("/operator/status")

    def _ready_or_dead(self):
        if not self._process.running:
            raise HarnessError(f"ended with {self._process.exit_code}")
        return self.ready()

    def _get(self, path):
        return self._pool.request(
            "GET",
            f"http://{self.address}{path}",
            headers={"Authorization": f"Bearer {self._key}"},
        )
