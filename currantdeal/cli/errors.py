"""Errors of the command line and the exit codes that scripts can check."""

from enum import IntEnum

import click

from currantdeal.core import CurrantdealError


class ExitCode(IntEnum):
    """Exit codes of every command.

    ``USAGE`` is also the code with which click rejects a command line.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    REFUSED = 5
    WRONG_KEY = 6
    NOT_IN_FORCE = 7
    WRONG_SETTINGS = 8


class CommandError(CurrantdealError, click.ClickException):
    """A failed command, with a hint on what to do next.

    Parameters
    ----------
    message : str
        What went wrong.
    code : ExitCode
        Exit code of the process.
    hint : str
        What to do next.
    """

    def __init__(self, message, *, code, hint=""):
        """Store the message, the exit code and the hint."""
        click.ClickException.__init__(self, message)
        self.exit_code = int(code)
        self.hint = hint

    def show(self, file=None):
        """Print the message and the hint to standard error."""
        click.echo(f"error: {self.message}", err=True)
        if self.hint:
            click.echo(f"next: {self.hint}", err=True)
