"""Command ``currantdeal serve``: runs one instance until SIGTERM."""

import signal
from pathlib import Path

import click

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.logs import LogFormat, configure_logs
from currantdeal.adapters.metrics import Metrics
from currantdeal.adapters.settings import SettingsError
from currantdeal.adapters.settings_check import read_checked
from currantdeal.cli.daemon import Daemon
from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.cli.wiring import build_ports


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=Path),
    help="Settings of the instance, a JSON file.",
)
@click.option(
    "--log-format",
    type=click.Choice([each.value for each in LogFormat]),
    default=LogFormat.JSON.value,
    show_default=True,
)
def serve(path, log_format):
    """Run one instance until SIGTERM, then drain and exit."""
    try:
        settings = read_checked(path)
    except SettingsError as exc:
        raise CommandError(
            str(exc),
            code=ExitCode.WRONG_SETTINGS,
            hint=f"correct them; see 'currantdeal settings check {path}'",
        ) from exc
    configure_logs(
        log_format=LogFormat(log_format), instance=settings.instance
    )
    run(settings, build_ports)


def run(settings, build):
    """Run an instance until SIGTERM or SIGINT has drained it.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    build : callable
        Returns the ``Ports`` of the instance; called with the keywords
        ``settings``, ``clock`` and ``metrics``.
    """
    clock = SystemClock()
    metrics = Metrics()
    daemon = Daemon(
        settings=settings,
        ports=build(settings=settings, clock=clock, metrics=metrics),
        clock=clock,
        metrics=metrics,
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.request_stop())
    daemon.start()
    daemon.wait()
