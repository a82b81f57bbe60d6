"""Starts the programs of the deploy file on loopback addresses."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from wire import call

ROOT = Path(__file__).resolve().parents[2]
DATA_CENTERS = ("lagos-ikeja", "abuja-wuse", "ibadan-bodija")
REGIONS = {
    "lagos-ikeja": "lagos",
    "abuja-wuse": "abuja",
    "ibadan-bodija": "ibadan",
}
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 2500,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2500,
    "DowngradeSlackMs": 250,
    "SkewMaxMs": 6000,
    "RetryBudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "RetryBurst": 56,
    "RecoverS": 12,
    "TransitMs": 250,
    "RetryAfterS": 4.4,
    "FencingRequired": True,
    "LeaseMs": 3000,
    "ThawMs": 300,
    "ttl_max_s": 5,
}
"""Bounds of the site ``ekam-route``."""

HEARTBEAT_MS = 1200
START_TIMEOUT_S = 25.0


class Program:
    """One process of the deploy file, and its settings file."""

    def __init__(self, *, role, settings, folder):
        """Write the settings file; ``start`` starts the process."""
        self.role = role
        self.settings = settings
        self.name = settings["instance"]
        self._folder = folder
        self._path = folder / f"{self.name}.json"
        self._process = None
        self.write()

    @property
    def pid(self):
        """Id of the process."""
        return self._process.pid

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def write(self):
        """Write the settings file."""
        self._path.write_text(json.dumps(self.settings))

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CURRANTDEAL_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "currantdeal.cli.node", self.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def start_again(self):
        """Start the process once more, not as the first start."""
        self.kill()
        self.settings = {**self.settings, "first_start": False}
        self.write()
        self.start()

    def signal(self, number):
        """Send the process a signal."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self):
        """End the process at once and wait for its end."""
        if self._process is None:
            return
        if self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        self._process.wait()

    def private_bytes(self):
        """Return the private memory of the process."""
        try:
            text = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024
        return 0

    def log_lines(self):
        """Return the decoded lines of the log."""
        found = []
        raw = (self._folder / f"{self.name}.log").read_text(errors="replace")
        for line in raw.splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


class Deployment:
    """Control and entry processes with the settings of a small site."""

    def __init__(self, *, control=3, entries=2):
        """Choose addresses and write the settings files."""
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        number = os.getpid() % 60_000
        self.prefix = f"127.{10 + number // 250}.{number % 250}"
        self._ports = _free_ports(6)
        self.control = [self._control(n) for n in range(1, control + 1)]
        self.entries = [self._entry(n) for n in range(1, entries + 1)]

    def __enter__(self):
        """Start all processes."""
        for program in self.programs:
            program.start()
        return self

    def __exit__(self, *exc_info):
        """End all processes."""
        for program in self.programs:
            program.kill()
        self._temporary.cleanup()

    @property
    def programs(self):
        """All processes."""
        return [*self.control, *self.entries]

    @property
    def control_addresses(self):
        """Addresses that operators and workers call."""
        return [p.settings["listen"]["control"] for p in self.control]

    @property
    def entry_addresses(self):
        """Addresses that clients call."""
        return [p.settings["listen"]["callers"] for p in self.entries]

    async def put_config(self, config, *, timeout_s=START_TIMEOUT_S):
        """Send a configuration, again until it is acknowledged."""
        body = json.dumps(config).encode()
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for address in self.control_addresses:
                answer = await call(
                    address, "PUT", "/v1/config", body=body, timeout_s=2.0
                )
                if answer is not None and answer.status == 200:
                    return
            await asyncio.sleep(0.2)
        raise TimeoutError("the configuration was not acknowledged")

    async def wait_ready(self, *, timeout_s=START_TIMEOUT_S):
        """Wait until each entry says that it is ready."""
        end_s = time.monotonic() + timeout_s
        for program in self.entries:
            address = program.settings["listen"]["readiness"]
            while time.monotonic() < end_s:
                answer = await call(
                    address, "GET", "/v1/readyz", timeout_s=1.0
                )
                if answer is not None and answer.status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                raise TimeoutError(f"{program.name} is not ready")

    def _settings(self, name, number, host, listen):
        return {
            "instance": name,
            "data_center": DATA_CENTERS[number % 3],
            "region": REGIONS[DATA_CENTERS[number % 3]],
            "region_of": REGIONS,
            "address": host,
            "peer_port": self._ports[2],
            "listen": listen,
            "control_addresses": [
                f"{self.prefix}.{n}:{self._ports[0]}" for n in (1, 2, 3)
            ],
            "first_start": True,
            "data_folder": str(self.folder / name),
            "heartbeat_ms": HEARTBEAT_MS,
            "tolerated_losses": 1,
            "bounds": BOUNDS,
        }

    def _control(self, number):
        host = f"{self.prefix}.{number}"
        listen = {
            "control": f"{host}:{self._ports[0]}",
            "directory": f"{host}:{self._ports[1]}",
            "metrics": f"{host}:{self._ports[5]}",
        }
        settings = self._settings(f"core-{number}", number, host, listen)
        return Program(role="control", settings=settings, folder=self.folder)

    def _entry(self, number):
        host = f"{self.prefix}.{100 + number}"
        listen = {
            "callers": f"{host}:{self._ports[3]}",
            "readiness": f"{host}:{self._ports[4]}",
            "directory": f"{host}:{self._ports[1]}",
            "metrics": f"{host}:{self._ports[5]}",
        }
        settings = self._settings(f"frontend-{number}", number, host, listen)
        settings["data_folder"] = ""
        return Program(role="entry", settings=settings, folder=self.folder)


class Record:
    """Writes what was sent, answered and run, one JSON line each."""

    def __init__(self, folder):
        """Replace the record in a case's folder."""
        self._file = (Path(folder) / "record.txt").open("w")
        self._began_s = time.monotonic()

    def add(self, what, **fields):
        """Add a line."""
        at_s = round(time.monotonic() - self._began_s, 3)
        self._file.write(json.dumps({"at": at_s, "what": what, **fields}))
        self._file.write("\n")

    def close(self):
        """Write what is buffered."""
        self._file.close()


def is_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play, *, limit_s=115.0):
    """Play a case and exit: 1 if the rule broke, 0 if not, 2 on an error.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case.
    play : callable
        Coroutine function of a ``Record``; returns whether the rule broke.
    """
    record = Record(folder)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record), limit_s))
        record.add("verdict", broken=bool(broken), trouble=is_trouble())
        status = 1 if broken else 0
    except Exception as exc:
        record.add("verdict", error=repr(exc))
        print(f"the case could not run: {exc!r}")
        status = 2
    finally:
        record.close()
    sys.exit(status)


def _free_ports(count):
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
