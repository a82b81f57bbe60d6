"""Start and end of a stand-in process, common to engine and service."""

import contextlib
import signal
import sys
import threading
import time
from dataclasses import dataclass

import click
import msgspec

MILLISECONDS = 1000


@dataclass(frozen=True, kw_only=True)
class Place:
    """Where a stand-in stands and whom it tells."""

    address: str
    advertise: str
    instances: tuple[str, ...]
    key: str
    region: str
    data_center: str
    labels: tuple[str, ...]


def place_options(command):
    """Add the options that fill a ``Place``."""
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def split_place(options):
    """Take a ``Place`` out of click's options."""
    names = Place.__dataclass_fields__
    return Place(**{name: options.pop(name) for name in names})


def new_incarnation():
    """Return a number that grows with each start."""
    return int(time.time() * MILLISECONDS)


def run_until_signal(server, announcer):
    """Serve until SIGTERM or SIGINT; withdraw before the end.

    The first line on standard output tells the bound address as JSON.
    """
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    threading.Thread(target=server.serve_forever, daemon=True).start()
    line = msgspec.json.encode({"address": server.bound_address})
    sys.stdout.write(line.decode() + "\n")
    sys.stdout.flush()
    announcer.start()
    stopped.wait()
    with contextlib.suppress(OSError):
        announcer.withdraw()
    server.shutdown()


_OPTIONS = (
    click.option("--address", default="127.0.0.1:0", show_default=True),
    click.option("--advertise", default="", help="Address to announce."),
    click.option("--instance", "instances", multiple=True),
    click.option("--key", default="", envvar="CURRANTDEAL_UPSTREAM_KEY"),
    click.option("--region", default="local"),
    click.option("--data-center", default="local-1"),
    click.option("--label", "labels", multiple=True, help="NAME=VALUE"),
)
