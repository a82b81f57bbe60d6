"""Options shared by several commands, and the session built from them."""

import os
from dataclasses import dataclass
from functools import wraps
from pathlib import Path

import click

from currantdeal.cli.client import OperatorClient
from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.cli.output import OutputFormat, print_json

KEY_VARIABLE = "CURRANTDEAL_OPERATOR_KEY"
ADDRESS_VARIABLE = "CURRANTDEAL_ADDRESS"
DEFAULT_ADDRESS = "127.0.0.1:8100"
DEFAULT_WAIT_S = 10.0

_FORMATS = [each.value for each in OutputFormat]


@dataclass(frozen=True, kw_only=True)
class Session:
    """Client and output format of one command.

    Parameters
    ----------
    client : OperatorClient
        Client of the operators' interface.
    output : OutputFormat
        Format of the answer.
    """

    client: OperatorClient
    output: OutputFormat

    def show(self, value, print_as_table):
        """Print a value as JSON, or as a table with the given function."""
        if self.output is OutputFormat.JSON:
            print_json(value)
        else:
            print_as_table(value)


def with_session(command):
    """Pass a ``Session``, built from the common options, to a command."""

    @wraps(command)
    def run(*, addresses, key_file, output, **options):
        session = Session(
            client=OperatorClient(addresses=addresses, key=read_key(key_file)),
            output=OutputFormat(output),
        )
        return command(session, **options)

    for option in reversed(_SESSION_OPTIONS):
        run = option(run)
    return run


def with_wait(command):
    """Add the options of changes: the wait and the request id."""
    for option in reversed(_CHANGE_OPTIONS):
        command = option(command)
    return command


def read_key(path):
    """Return the operator's key from a file or from the environment."""
    if not path:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return Path(path).read_text().strip()
    except OSError as exc:
        raise CommandError(
            f"the key file cannot be read: {exc}",
            code=ExitCode.WRONG_KEY,
            hint=f"give a readable file, or set {KEY_VARIABLE}",
        ) from exc


_SESSION_OPTIONS = (
    click.option(
        "--address",
        "addresses",
        multiple=True,
        default=(DEFAULT_ADDRESS,),
        envvar=ADDRESS_VARIABLE,
        show_default=True,
        help="IP:PORT of an instance; may be given several times, the next "
        "one is used if one does not answer.",
    ),
    click.option(
        "--key-file",
        default="",
        help=f"File with the operator's key; else {KEY_VARIABLE} is used.",
    ),
    click.option(
        "--output",
        type=click.Choice(_FORMATS),
        default=OutputFormat.TABLE.value,
        show_default=True,
    ),
)

_CHANGE_OPTIONS = (
    click.option(
        "--wait",
        "wait_s",
        is_flag=False,
        flag_value=DEFAULT_WAIT_S,
        default=0.0,
        type=float,
        help="Wait until the change is in force everywhere, at most this many "
        f"seconds ({DEFAULT_WAIT_S:g} without a value).",
    ),
    click.option(
        "--request-id",
        default="",
        help="Send a change again under its earlier id; it is made only once.",
    ),
)
