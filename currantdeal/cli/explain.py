"""The command ``explain``: from a request's id to what happened to it."""

import click

from currantdeal.cli.story import RequestStory, tell

EXIT_NOT_FOUND = 1


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
def explain(request_id, files):
    """Tell the story of a request from the log files of all processes.

    Exits with 1 if no file mentions the request.
    """
    story = RequestStory(request=request_id)
    for text in _texts(files):
        story.read_own(text)
    if not story.found:
        click.echo(f"no line names request {request_id}", err=True)
        raise SystemExit(EXIT_NOT_FOUND)
    for text in _texts(files):
        story.read_around(text)
    lines = story.lines
    for line in lines:
        for text in tell(line, lines[0].at):
            click.echo(text)
    if story.left_out:
        click.echo(f"{story.left_out} more lines were left out")


def _texts(files):
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            yield from file
