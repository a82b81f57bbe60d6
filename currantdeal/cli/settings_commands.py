"""Commands ``currantdeal settings``: check and show settings files."""

from pathlib import Path

import click
import msgspec

from currantdeal.adapters.settings import (
    Settings,
    SettingsError,
    parse_settings,
)
from currantdeal.adapters.settings_check import find_problems
from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.cli.output import OutputFormat, print_json, print_table

_FORMATS = [each.value for each in OutputFormat]


@click.group()
def settings():
    """Check and show settings files."""


@settings.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--output", type=click.Choice(_FORMATS), default="table")
def check(path, output):
    """Check a settings file and list all its problems."""
    problems = find_problems(Path(path).read_bytes())
    if output == OutputFormat.JSON.value:
        print_json(problems)
    else:
        rows = [(problem.path, problem.message) for problem in problems]
        print_table(("FIELD", "EXPECTED"), rows)
    if problems:
        raise CommandError(
            f"{len(problems)} problems in {path}",
            code=ExitCode.WRONG_SETTINGS,
            hint="correct the fields above; 'currantdeal settings schema' "
            "prints the JSON Schema",
        )


@settings.command()
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
def show(path):
    """Show a settings file with all defaults filled in."""
    try:
        print_json(parse_settings(Path(path).read_bytes()))
    except SettingsError as exc:
        raise CommandError(
            str(exc),
            code=ExitCode.WRONG_SETTINGS,
            hint=f"run 'currantdeal settings check {path}'",
        ) from exc


@settings.command()
def schema():
    """Print the JSON Schema of settings files."""
    print_json(msgspec.json.schema(Settings))
