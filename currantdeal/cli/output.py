"""Prints the output of commands as tables or, for scripts, as JSON."""

from enum import Enum

import click
import msgspec

COLUMN_GAP = "  "


class OutputFormat(str, Enum):
    """Format of a command's output."""

    TABLE = "table"
    JSON = "json"


def print_json(value):
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(headings, rows):
    """Print rows under headings, in columns as wide as needed.

    Examples
    --------
    >>> from currantdeal.cli.output import print_table
    >>> print_table(("NAME", "VERSION"), [("shop", 7)])
    NAME  VERSION
    shop  7
    """
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = zip(line, widths, strict=True)
        padded = COLUMN_GAP.join(cell.ljust(width) for cell, width in cells)
        click.echo(padded.rstrip())


def join(values):
    """Return values joined to one table cell; a dash if there are none.

    Examples
    --------
    >>> from currantdeal.cli.output import join
    >>> join(("prefill", "decode")), join(())
    ('prefill,decode', '-')
    """
    texts = [str(getattr(value, "value", value)) for value in values]
    return ",".join(texts) or "-"
