"""Command ``explain-route``: where a request would go now, and why.

It asks the metrics address of an entry, which sends nothing for it.
"""

import click
import msgspec
import urllib3

from currantdeal.cli.output import print_table
from currantdeal.entry.explanation import Explanation

TIMEOUT_S = 2.0
EXIT_UNREACHABLE = 1
EXIT_REFUSED = 3

_HEADINGS = (
    "UPSTREAM", "DATA CENTRE", "COST S", "DISTANCE S", "LOAD", "QUEUED",
    "SLOWDOWN", "LIMIT", "NOTES",
)  # fmt: skip


@click.command("explain-route")
@click.argument("address")
@click.argument("host")
@click.argument("path")
@click.option("--organisation", default="", help="Name of the organisation.")
@click.option("--prompt-tokens", default=0, help="Size of the prompt.")
@click.option("--max-output-tokens", default=0, help="Longest output.")
@click.option("--body-bytes", default=0, help="Size of the request.")
@click.option("--part", "parts", multiple=True, help="Part of the prompt.")
def explain_route(address, host, path, **fields):
    """Explain where a request would go now, without sending it.

    ADDRESS is the metrics address of an entry, HOST and PATH are those of the
    request.  Exits with 1 if the entry cannot be reached, and with 3 if it
    would refuse the request.
    """
    fields["parts"] = list(fields["parts"])
    body = msgspec.json.encode({"host": host, "path": path, **fields})
    http = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
    try:
        answer = http.request(
            "POST", f"http://{address}/explain-route", body=body
        )
        found = msgspec.json.decode(answer.data, type=Explanation)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError) as exc:
        click.echo(f"{address}: {exc}", err=True)
        raise SystemExit(EXIT_UNREACHABLE) from exc
    _print(found)
    if found.refusal:
        raise SystemExit(EXIT_REFUSED)


def _print(found):
    click.echo(
        f"route {found.route or '-'}, version {found.version}, "
        f"view {found.view_age_s:.1f} s old, from {found.data_center}"
    )
    if found.refusal:
        click.echo(f"refused: {found.refusal}")
    for pool in found.pools:
        click.echo(f"\n{pool.service}, {pool.pool}: {pool.decision}")
        print_table(_HEADINGS, [_row(c) for c in pool.candidates])
        if pool.omitted:
            click.echo(f"{pool.omitted} more were left out")
        for change in pool.would_change:
            click.echo(f"would change: {change}")


def _row(candidate):
    load, limit = candidate.load, candidate.limit_per_s
    queued, slowdown = candidate.queued_tokens, candidate.slowdown
    return (
        candidate.upstream,
        candidate.data_center,
        f"{candidate.cost_s:.3f}",
        f"{candidate.distance_s:.3f}",
        "-" if load is None else f"{load:.2f}",
        "-" if queued is None else str(queued),
        "-" if slowdown is None else f"{slowdown:.2f}",
        "-" if limit is None else f"{limit:.1f}/s",
        ", ".join(candidate.notes) or "-",
    )
