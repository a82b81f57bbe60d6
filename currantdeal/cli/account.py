"""Command ``account``: sums up lost requests by cause and by time span.

It reads the log line of each request's end, so that operators see from the
log files alone why requests were late, refused or failed.
"""

from collections import Counter, defaultdict

import click

from currantdeal.cli.loss_causes import Cause, find_cause, parse_request_end
from currantdeal.cli.output import print_table
from currantdeal.cli.request_history import read_line

DEFAULT_SPAN_S = 2.0
"""Default length of one time span, in seconds."""

MAX_SPANS = 10_000
"""Bound of the table by time; losses in further spans count only by cause."""

LATE_LOSS = 0.8
"""Share of a request that counts as lost if its answer is late."""

NOT_LOST = (Cause.NONE, Cause.LEFT)
"""Causes without a loss: in time, or cancelled by the caller."""


class LossSummary:
    """Sums up the ends of requests by kind, cause and time span.

    Its size is bounded by the number of kinds, causes and spans.

    Parameters
    ----------
    span_s : float
        Length of one time span, in seconds.

    Examples
    --------
    >>> totals = LossSummary(span_s=2.0)
    >>> totals.requests
    0
    """

    def __init__(self, *, span_s):
        """Start with no requests."""
        self._span_s = span_s
        self._longest_caller_timeout_s = Counter()
        self._requests = Counter()
        self._lost = Counter()
        self._by_cause = Counter()
        self._by_span = defaultdict(Counter)

    @property
    def requests(self):
        """Number of requests that were added."""
        return sum(self._requests.values())

    def add(self, end):
        """Add the end of one request."""
        longest_s = max(
            self._longest_caller_timeout_s[end.route], end.caller_timeout_s
        )
        self._longest_caller_timeout_s[end.route] = longest_s
        cause = find_cause(end, longest_caller_timeout_s=longest_s)
        self._requests[end.kind] += 1
        self._by_cause[end.kind, cause] += 1
        if cause in NOT_LOST:
            return
        self._lost[end.kind, cause] += _lost_share(end)
        span = int(end.at // self._span_s)
        if span in self._by_span or len(self._by_span) < MAX_SPANS:
            self._by_span[span][cause] += _lost_share(end)

    def by_cause(self):
        """Return rows of kind, cause, requests, share of kind, share lost."""
        rows = []
        for (kind, cause), number in self._by_cause.items():
            total = self._requests[kind]
            lost = self._lost[kind, cause] / total
            rows.append((kind, cause.value, number, number / total, lost))
        return sorted(rows, key=lambda row: (row[0], -row[4], -row[2]))

    def by_span(self):
        """Return rows of span start in seconds, requests lost, main causes."""
        first = min(self._by_span, default=0)
        rows = []
        for span, causes in sorted(self._by_span.items()):
            main = "; ".join(
                f"{cause.value} {lost:.1f}"
                for cause, lost in causes.most_common(3)
            )
            start_s = (span - first) * self._span_s
            rows.append((start_s, sum(causes.values()), main))
        return rows


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option(
    "--span",
    default=DEFAULT_SPAN_S,
    help="Length of one time span, in seconds.",
)
def account(files, span):
    """Sum up from log files why requests were late, refused or failed.

    A late answer counts as 0.8 of a request lost, a missing one as 1.
    """
    totals = LossSummary(span_s=span)
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as file:
            for text in file:
                _add_line(totals, text)
    print_table(
        ("KIND", "CAUSE", "REQUESTS", "SHARE", "LOST"),
        [
            (kind, cause, number, f"{share:.3f}", f"{lost:.3f}")
            for kind, cause, number, share, lost in totals.by_cause()
        ],
    )
    click.echo()
    print_table(
        ("FROM S", "LOST", "MAIN CAUSES"),
        [
            (f"{start:.0f}", f"{lost:.1f}", main)
            for start, lost, main in totals.by_span()
        ],
    )


def _add_line(totals, text):
    if "request-ended" not in text:
        return
    line = read_line(text)
    end = parse_request_end(line) if line is not None else None
    if end is not None:
        totals.add(end)


def _lost_share(end):
    return LATE_LOSS if end.is_answered else 1.0
