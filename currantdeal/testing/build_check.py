"""Checks that ``dist/currantdeal`` runs from an empty folder.

``bin/check-build`` runs it: the program must print its version, become
ready, start no child process, and exit with status 0 on SIGTERM.
"""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import click
import msgspec
import psutil
import urllib3

from currantdeal.adapters.settings import PeerSettings, Settings
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.ports import PortReservations
from currantdeal.testing.waiting import wait_until

STOP_S = 30.0


def check_build(program, folder):
    """Run the program in an empty folder and return its version.

    Raises
    ------
    HarnessError
        If the program does not become ready, starts a child process or
        ends with another status than 0.
    """
    env = _environment_without_python()
    version = subprocess.run(
        [program, "--version"],
        cwd=folder,
        env=env,
        capture_output=True,
        text=True,
        check=True,
    ).stdout.strip()
    ports = PortReservations()
    settings = _settings(ports, folder)
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    process = subprocess.Popen(
        [program, "serve", "--settings", str(path)],
        cwd=folder,
        env=env,
        stderr=(folder / "log").open("wb"),
    )
    try:
        wait_until(lambda: _ready(settings, process), what="readiness")
        children = psutil.Process(process.pid).children(recursive=True)
        if children:
            raise HarnessError(
                f"the program started child processes: {children}"
            )
        process.send_signal(signal.SIGTERM)
        code = process.wait(STOP_S)
    finally:
        process.kill()
        process.wait()
        ports.close()
    if code != 0:
        raise HarnessError(f"the program ended with status {code}")
    return version


def _settings(ports, folder):
    peer = ports.take_address()
    return Settings(
        instance="i1",
        region="local",
        data_center="local-1",
        caller_address=ports.take_address(),
        peer_address=peer,
        replicas=(PeerSettings(instance="i1", peer_address=peer),),
        data_folder=str(folder / "data"),
    )


def _ready(settings, process):
    if process.poll() is not None:
        raise HarnessError(
            f"the program ended with status {process.returncode}"
        )
    url = f"http://{settings.caller_address}/readyz"
    try:
        return urllib3.request("GET", url, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def _environment_without_python():
    return {
        name: value
        for name, value in os.environ.items()
        if name not in ("PYTHONPATH", "VIRTUAL_ENV")
    }


@click.command()
@click.argument("program", type=click.Path(exists=True))
def main(program):
    """Check a built program."""
    with tempfile.TemporaryDirectory(prefix="currantdeal-") as folder:
        try:
            version = check_build(str(Path(program).resolve()), Path(folder))
        except (HarnessError, subprocess.SubprocessError) as exc:
            click.echo(f"FAILED: {exc}", err=True)
            click.echo((Path(folder) / "log").read_text(), err=True)
            sys.exit(1)
    click.echo(f"{version}: serves, has no child process, ends with 0")


if __name__ == "__main__":
    main()
