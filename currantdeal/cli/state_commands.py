"""Commands ``currantdeal state``: inspect, back up, restore data folders."""

import contextlib

import click

from currantdeal.adapters.disk import DiskError, inspect_folder
from currantdeal.adapters.disk.backup import restore_backup, write_backup
from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.cli.output import (
    OutputFormat,
    join,
    print_json,
    print_table,
)
from currantdeal.consensus import Replica

_FORMATS = [each.value for each in OutputFormat]
_FOLDER = click.Path(exists=True, file_okay=False)
_DISK_ERROR_HINT = (
    "if the other replicas are healthy, stop this one, move its folder away "
    "and start it again: it receives the whole state from them"
)


@click.group()
def state():
    """Inspect, check, save and restore a replica's data folder.

    No command changes a folder that holds data.
    """


@state.command()
@click.argument("folder", type=_FOLDER)
@click.option("--output", type=click.Choice(_FORMATS), default="table")
def inspect(folder, output):
    """Show term, vote, snapshot and log of a data folder."""
    report = _inspect_folder(folder)
    if output == OutputFormat.JSON.value:
        print_json(report)
        return
    rows = [
        ("generation", report.generation),
        ("term", report.term),
        ("voted for", report.voted_for or "-"),
        ("blank", "yes" if report.blank else "no"),
        ("snapshot version", report.snapshot_index),
        ("snapshot bytes", report.snapshot_bytes),
        ("last index", report.last_index),
        ("records", report.records),
        ("segment bytes", report.segment_bytes),
        ("torn bytes", report.torn_bytes),
        ("voters", join(report.voters)),
        ("learners", join(report.learners)),
    ]
    print_table(("FIELD", "VALUE"), rows)


@state.command()
@click.argument("folder", type=_FOLDER)
def verify(folder):
    """Check all checksums of a data folder."""
    report = _inspect_folder(folder)
    click.echo(
        f"whole: {report.records} records up to index {report.last_index}"
    )
    if report.torn_bytes:
        click.echo(
            f"a crash left {report.torn_bytes} bytes of a write that was "
            "never acknowledged; the next start removes them"
        )


@state.command()
@click.argument("folder", type=_FOLDER)
@click.argument("file", type=click.Path())
def snapshot(folder, file):
    """Save the state in a stopped replica's FOLDER to a new FILE."""
    with _disk_errors():
        saved = write_backup(folder, file)
    click.echo(f"version {saved.version}, {saved.size_bytes} bytes")


@state.command()
@click.argument("file", type=click.Path(exists=True, dir_okay=False))
@click.argument("folder", type=click.Path())
@click.option(
    "--replica",
    "replicas",
    multiple=True,
    required=True,
    metavar="INSTANCE=IP:PORT",
    help="A member of the new replica set; given once for each member.",
)
def restore(file, folder, replicas):
    """Create a member's FOLDER of a new replica set from a saved FILE.

    Only for a permanent loss of a majority of the replicas.  Run it for every
    member, with the same list of members, before any of them is started.
    """
    members = [_parse_replica(text) for text in replicas]
    with _disk_errors():
        restored = restore_backup(file, folder, members)
    click.echo(f"version {restored.version} restored to {folder}")


def _inspect_folder(folder):
    with _disk_errors():
        return inspect_folder(folder)


def _parse_replica(text):
    instance, separator, address = text.partition("=")
    if not (instance and separator and ":" in address):
        raise click.BadParameter(f"{text}: expected INSTANCE=IP:PORT")
    return Replica(instance=instance, address=address)


@contextlib.contextmanager
def _disk_errors():
    try:
        yield
    except (DiskError, OSError) as exc:
        raise CommandError(
            str(exc), code=ExitCode.FAILED, hint=_DISK_ERROR_HINT
        ) from exc
