"""Command ``explain``: prints the log lines that explain one request."""

import click

from currantdeal.cli.request_history import RequestHistory, format_line

EXIT_NOT_FOUND = 1


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
def explain(request_id, files):
    """Explain a request from the log files of all processes.

    Exits with 1 if no file has a line of the request.
    """
    history = RequestHistory(request=request_id)
    for text in _read_lines(files):
        history.add_request_line(text)
    if not history.found:
        click.echo(f"no log line of request {request_id}", err=True)
        raise SystemExit(EXIT_NOT_FOUND)
    for text in _read_lines(files):
        history.add_context_line(text)
    lines = history.lines
    for line in lines:
        for text in format_line(line, lines[0].at):
            click.echo(text)
    if history.omitted:
        click.echo(f"{history.omitted} more lines were left out")


def _read_lines(files):
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
