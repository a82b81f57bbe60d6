"""Real entry and control processes on loopback addresses of their own.

Every instance has its own address in 127.0.0.0/8, so that all can use the
same ports, as they do on the platform.
"""

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

ROOT = Path(__file__).parents[2]
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 2.0


class NodeProcess:
    """One process and the settings file that it was started with.

    Parameters
    ----------
    role : str
        ``entry`` or ``control``.
    settings : dict
        Its settings, in the product's own format.
    folder : pathlib.Path
        Holds the settings file and the log.
    """

    def __init__(self, *, role, settings, folder):
        """Start nothing before ``start``."""
        self.role = role
        self.settings = settings
        self._path = folder / f"{settings['instance']}.json"
        self._log = folder / f"{settings['instance']}.log"
        self._process = None

    @property
    def lines(self):
        """Log lines so far, decoded."""
        raw = self._log.read_text().splitlines()
        return [json.loads(line) for line in raw if line.startswith("{")]

    @property
    def is_running(self):
        """True while the process runs."""
        return self._process is not None and self._process.poll() is None

    def write_settings(self, **changes):
        """Write the settings file, with changes."""
        self.settings = {**self.settings, **changes}
        self._path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process."""
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
        """End the process without notice."""
        if self.is_running:
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    def wait(self, timeout_s):
        """Return the exit status."""
        return self._process.wait(timeout_s)


class NodeCluster:
    """Control and entry processes of one deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Holds settings, logs and data folders.
    control, entries : int
        Numbers of processes.
    """

    def __init__(self, *, folder, control=3, entries=2):
        """Write down who is where; nothing starts before ``start``."""
        self._folder = folder
        self._base = _free_base()
        self._ports = [_free_port() for _ in range(6)]
        self._numbers = itertools.count(1)
        self.control = [
            self._control(next(self._numbers)) for _ in range(control)
        ]
        self.entries = [
            self._entry(number) for number in range(1, entries + 1)
        ]

    @property
    def processes(self):
        """All processes."""
        return [*self.control, *self.entries]

    def __enter__(self):
        """Start all processes."""
        for process in self.processes:
            process.start()
        return self

    def __exit__(self, *exc_info):
        """End all processes."""
        for process in self.processes:
            process.kill()

    def control_url(self, process, path):
        """Return the address of a call to control."""
        return f"http://{process.settings['listen']['control']}{path}"

    def add_control(self):
        """Return one more control process, which is to be started."""
        self.control.append(self._control(next(self._numbers)))
        return self.control[-1]

    def metrics_url(self, process):
        """Return the address of a process's metrics."""
        return f"http://{process.settings['listen']['metrics']}/metrics"

    def call(self, method, url, body=None):
        """Make a call; returns status and body, status 0 if none came."""
        request = urllib.request.Request(url, data=body, method=method)
        try:
            with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_S) as a:
                return a.status, a.read()
        except urllib.error.HTTPError as exc:
            return exc.code, exc.read()
        except OSError:
            return 0, b""

    def put_config(self, body, *, timeout_s=START_TIMEOUT_S):
        """Send a configuration until a control instance acknowledges it."""
        return self._until_status("PUT", "/v1/config", body, 200, timeout_s)

    def get_config(self, *, timeout_s=START_TIMEOUT_S):
        """Read the configuration back from whoever is certain of it."""
        return self._until_status("GET", "/v1/config", None, 200, timeout_s)

    def announce(self, upstream, beat):
        """Send a heartbeat of an upstream."""
        path = f"/v1/instances/{upstream}"
        body = json.dumps(beat).encode()
        return self._until_status("PUT", path, body, 200, START_TIMEOUT_S)

    def is_ready(self, entry):
        """Return whether an entry says that it is ready."""
        url = f"http://{entry.settings['listen']['readiness']}/v1/readyz"
        return self.call("GET", url)[0] == 200

    def _until_status(self, method, path, body, wanted, timeout_s):
        ends = time.monotonic() + timeout_s
        while time.monotonic() < ends:
            for process in self.control:
                url = self.control_url(process, path)
                status, answer = self.call(method, url, body)
                if status == wanted:
                    return answer
            time.sleep(0.1)
        raise TimeoutError(f"{method} {path}: never {wanted}")

    def _settings(self, name, host, listen):
        control_port = self._ports[0]
        return {
            "instance": name,
            "data_center": "dc1",
            "region": "r1",
            "region_of": {"dc1": "r1"},
            "address": host,
            "peer_port": self._ports[2],
            "listen": listen,
            "control_addresses": [
                f"{self._base}.{number}:{control_port}" for number in (1, 2, 3)
            ],
            "first_start": True,
            "data_folder": str(self._folder / name),
            "heartbeat_ms": 1_000,
            "bounds": {"GraceS": 8, "RetryBurst": 50, "LeaseMs": 1_000},
        }

    def _control(self, number):
        host = f"{self._base}.{number}"
        listen = {
            "control": f"{host}:{self._ports[0]}",
            "directory": f"{host}:{self._ports[1]}",
            "metrics": f"{host}:{self._ports[5]}",
        }
        settings = self._settings(f"control-{number}", host, listen)
        return NodeProcess(
            role="control", settings=settings, folder=self._folder
        )

    def _entry(self, number):
        host = f"{self._base}.{100 + number}"
        listen = {
            "callers": f"{host}:{self._ports[3]}",
            "readiness": f"{host}:{self._ports[4]}",
            "metrics": f"{host}:{self._ports[5]}",
        }
        settings = self._settings(f"entry-{number}", host, listen)
        return NodeProcess(
            role="entry", settings=settings, folder=self._folder
        )


def _free_base():
    # Clusters of tests that run side by side must not share addresses.
    number = os.getpid() % 60_000
    return f"127.{1 + number // 250}.{number % 250}"


def _free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]
