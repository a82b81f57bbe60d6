"""Starts entry and control processes, each on its own loopback address.

Each process has an address of its own in 127.0.0.0/8, so that all of them
can use the same port numbers, as they do on the platform.
"""

import contextlib
import http.client
import itertools
import json
import os
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from currantdeal.testing.errors import HarnessError
from currantdeal.testing.waiting import POLL_S

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 2.0
LAST_LINES = 5
BOUNDS = {"GraceS": 8, "RetryBurst": 50, "LeaseMs": 1_000}


class NodeProcess:
    """A process and its settings file.

    Parameters
    ----------
    role : str
        ``entry`` or ``control``.
    settings : dict
        Content of the settings file.
    folder : pathlib.Path
        Folder for the settings file and the log.
    """

    def __init__(self, *, role, settings, folder):
        """Start nothing before ``start``."""
        self.role = role
        self.settings = settings
        self._path = folder / f"{settings['instance']}.json"
        self._log = folder / f"{settings['instance']}.log"
        self._process = None

    @property
    def settings_path(self):
        """Path of the settings file."""
        return self._path

    @property
    def lines(self):
        """Decoded log lines so far."""
        raw = self._log.read_text().splitlines()
        return [json.loads(line) for line in raw if line.startswith("{")]

    @property
    def is_running(self):
        """True while the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self):
        """Id of the process that was started last."""
        return self._process.pid

    @property
    def condition(self):
        """Whether it runs or how it ended, and its last log lines."""
        status = None if self._process is None else self._process.poll()
        ending = "runs" if status is None else f"ended with status {status}"
        last = self._log.read_text().splitlines()[-LAST_LINES:]
        return "\n".join((f"{self.settings['instance']} {ending}", *last))

    def wait_listening(self, *, timeout_s=START_TIMEOUT_S):
        """Wait until a control process accepts connections.

        Raises
        ------
        HarnessError
            If it does not within the timeout, or has ended.
        """
        host, _, port = self.settings["listen"]["control"].rpartition(":")
        end_s = time.monotonic() + timeout_s
        while True:
            with contextlib.suppress(OSError):
                socket.create_connection(
                    (host, int(port)), CALL_TIMEOUT_S
                ).close()
                return
            if time.monotonic() >= end_s or not self.is_running:
                raise HarnessError(f"it does not listen: {self.condition}")
            time.sleep(POLL_S)

    def write_settings(self, **changes):
        """Change some settings and write the settings file."""
        self.settings = {**self.settings, **changes}
        self._path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process; one that still runs is ended first."""
        self.kill()
        self.write_settings()
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "currantdeal.cli.node",
                    self.role,
                    str(self._path),
                ],
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env=environment,
            )

    def send_signal(self, number):
        """Send the process a signal."""
        self._process.send_signal(number)

    def kill(self):
        """End the process at once, as a crash would."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def wait(self, timeout_s):
        """Return the exit status once the process has ended."""
        return self._process.wait(timeout_s)


class NodeCluster:
    """Control and entry processes of one deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, logs and data folders.
    control, entries : int
        Numbers of control and entry processes.
    bounds : dict or None
        Changed fields of the bounds of all processes.
    data_centers : tuple of str
        Data centres of the region; the processes are in the first.
    """

    def __init__(
        self,
        *,
        folder,
        control=3,
        entries=2,
        bounds=None,
        data_centers=("dc1",),
    ):
        """Assign addresses; ``with`` starts the processes."""
        self._folder = folder
        self._bounds = {**BOUNDS, **(bounds or {})}
        self._data_centers = data_centers
        self._address_prefix = _address_prefix()
        self._ports = _free_ports(6)
        self._numbers = itertools.count(1)
        self.control = [
            self._make_control(next(self._numbers)) for _ in range(control)
        ]
        self.entries = [
            self._make_entry(number) for number in range(1, entries + 1)
        ]

    @property
    def processes(self):
        """All control and entry processes."""
        return [*self.control, *self.entries]

    def __enter__(self):
        """Start all processes; control processes listen afterwards.

        A quorum serves while the others still start.
        """
        try:
            for process in self.processes:
                process.start()
            for process in self.control:
                process.wait_listening()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info):
        """End all processes."""
        for process in self.processes:
            process.kill()

    def control_url(self, process, path):
        """Return the URL of a path at a control process."""
        return f"http://{process.settings['listen']['control']}{path}"

    def restart_all_control(self, *, down_s=0.3):
        """Kill all control processes, and start them again after a pause."""
        for process in self.control:
            process.kill()
        time.sleep(down_s)
        for process in self.control:
            process.start()

    def add_control(self):
        """Add a control process and return it; the test starts it."""
        self.control.append(self._make_control(next(self._numbers)))
        return self.control[-1]

    def metrics_url(self, process):
        """Return the URL of a process's metrics."""
        return f"http://{process.settings['listen']['metrics']}/metrics"

    def call(self, method, url, body=None):
        """Send a request; return status and body, or 0 without an answer.

        An answer that is broken off counts as none.
        """
        request = urllib.request.Request(url, data=body, method=method)
        try:
            with _open(request) as answer:
                return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""

    def put_config(self, body, *, timeout_s=START_TIMEOUT_S):
        """Send a configuration until a control process acknowledges it."""
        return self._call_until_status(
            "PUT", "/v1/config", body, 200, timeout_s
        )

    def get_config(self, *, timeout_s=START_TIMEOUT_S):
        """Return the configuration once a control process confirms it."""
        return self._call_until_status(
            "GET", "/v1/config", None, 200, timeout_s
        )

    def announce(self, upstream, heartbeat):
        """Send a heartbeat of an upstream."""
        path = f"/v1/instances/{upstream}"
        body = json.dumps(heartbeat).encode()
        return self._call_until_status("PUT", path, body, 200, START_TIMEOUT_S)

    def is_ready(self, entry):
        """Return whether an entry process reports that it is ready."""
        url = f"http://{entry.settings['listen']['readiness']}/v1/readyz"
        return self.call("GET", url)[0] == 200

    def _call_until_status(self, method, path, body, expected, timeout_s):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for process in self.control:
                url = self.control_url(process, path)
                status, answer = self.call(method, url, body)
                if status == expected:
                    return answer
            time.sleep(0.1)
        raise TimeoutError(
            f"{method} {path}: no status {expected} within {timeout_s} s"
        )

    def _make_settings(self, name, host, listen):
        control_port = self._ports[0]
        return {
            "instance": name,
            "data_center": self._data_centers[0],
            "region": "r1",
            "region_of": dict.fromkeys(self._data_centers, "r1"),
            "address": host,
            "peer_port": self._ports[2],
            "listen": listen,
            "control_addresses": [
                f"{self._address_prefix}.{number}:{control_port}"
                for number in (1, 2, 3)
            ],
            "first_start": True,
            "data_folder": str(self._folder / name),
            "heartbeat_ms": 1_000,
            "bounds": self._bounds,
        }

    def _make_control(self, number):
        host = f"{self._address_prefix}.{number}"
        listen = {
            "control": f"{host}:{self._ports[0]}",
            "directory": f"{host}:{self._ports[1]}",
            "metrics": f"{host}:{self._ports[5]}",
        }
        settings = self._make_settings(f"control-{number}", host, listen)
        return NodeProcess(
            role="control", settings=settings, folder=self._folder
        )

    def _make_entry(self, number):
        host = f"{self._address_prefix}.{100 + number}"
        listen = {
            "callers": f"{host}:{self._ports[3]}",
            "readiness": f"{host}:{self._ports[4]}",
            "metrics": f"{host}:{self._ports[5]}",
        }
        settings = self._make_settings(f"entry-{number}", host, listen)
        return NodeProcess(
            role="entry", settings=settings, folder=self._folder
        )


def _open(request):
    """Return the response to a request, also one that is an error."""
    try:
        return urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S)
    except urllib.error.HTTPError as exc:
        return exc


def _address_prefix():
    # Derived from the process id, so that clusters of tests that run in
    # parallel do not share addresses.
    number = os.getpid() % 60_000
    return f"127.{1 + number // 250}.{number % 250}"


def _free_ports(count):
    """Return different ports; all are bound until the last is found."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
