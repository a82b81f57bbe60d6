"""Start and stop a stand-in process.

The stand-in engine and the stand-in service share these command line options
and this life cycle.
"""

import contextlib
import signal
import sys
import threading
import time
from dataclasses import dataclass

import click
import msgspec

MS_PER_S = 1000


@dataclass(frozen=True, kw_only=True)
class CommonOptions:
    """Options that every stand-in process takes.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    advertise : str
        Address to announce; empty for the bound address.
    instances : tuple of str
        ``IP:PORT`` of the instances to which it announces itself.
    key : str
        Key of kind ``upstream``; may be empty.
    region, data_center : str
        Announced location.
    labels : tuple of str
        Announced labels as ``NAME=VALUE``.
    """

    address: str
    advertise: str
    instances: tuple[str, ...]
    key: str
    region: str
    data_center: str
    labels: tuple[str, ...]


def common_options(command):
    """Add the command line options of ``CommonOptions``."""
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def pop_common_options(options):
    """Remove the common options from click's options and return them."""
    names = CommonOptions.__dataclass_fields__
    return CommonOptions(**{name: options.pop(name) for name in names})


def new_incarnation():
    """Return a number that is higher at each start of the process."""
    return int(time.time() * MS_PER_S)


def run_until_signal(server, announcer):
    """Serve until SIGTERM or SIGINT, then withdraw and shut down.

    The first line on standard output holds the bound address as JSON.
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
