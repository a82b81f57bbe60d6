"""Command ``nodes``: shows the current view of entry and control processes.

It reads their metrics, so that it needs no key and also works while the
control processes are down.
"""

import re

import click
import urllib3

from currantdeal.cli.output import print_table

TIMEOUT_S = 2.0
EXIT_UNREACHABLE = 1

_SAMPLE = re.compile(r"^currantdeal_(\w+)(\{[^}]*\})? (\S+)$")
_HEADINGS = (
    "PROCESS", "ROLE", "VERSION", "VIEW AGE", "LEADS", "TERM", "UPSTREAMS",
    "ENTRIES", "BUDGET LEFT",
)  # fmt: skip


def read_samples(text):
    r"""Return the samples of a metrics page, summed over their labels.

    Examples
    --------
    >>> read_samples('currantdeal_upstreams{service="a"} 2\n'
    ...              'currantdeal_upstreams{service="b"} 3\n')
    {'upstreams': 5.0}
    """
    totals = {}
    for line in text.splitlines():
        sample = _SAMPLE.match(line)
        if sample:
            name, _, value = sample.groups()
            totals[name] = totals.get(name, 0.0) + float(value)
    return totals


@click.command()
@click.argument("addresses", nargs=-1, required=True)
def nodes(addresses):
    """Show version, age, leader, upstreams and budget of each process.

    ADDRESSES are the metrics addresses of entry and control processes.
    Exits with 1 if one of them cannot be reached.
    """
    http = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
    rows = [_fetch_row(http, address) for address in addresses]
    print_table(_HEADINGS, rows)
    if any(row[1] == "unreachable" for row in rows):
        raise SystemExit(EXIT_UNREACHABLE)


def _fetch_row(http, address):
    try:
        page = http.request("GET", f"http://{address}/metrics")
    except urllib3.exceptions.HTTPError:
        return (address, "unreachable", *["-"] * (len(_HEADINGS) - 2))
    samples = read_samples(page.data.decode())
    role = "control" if "term" in samples else "entry"

    def format_sample(name, digits=0):
        value = samples.get(name)
        return "-" if value is None else f"{value:.{digits}f}"

    return (
        address,
        role,
        format_sample("config_version"),
        format_sample("view_age_seconds", 1),
        format_sample("leads"),
        format_sample("term"),
        format_sample("upstreams"),
        format_sample("entries"),
        format_sample("retry_budget_left"),
    )
