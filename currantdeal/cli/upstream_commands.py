"""Commands ``currantdeal upstreams``: list, label and withdraw upstreams."""

from dataclasses import dataclass

import click

from currantdeal.adapters.http.operator import LabelsBody
from currantdeal.cli.changes import send_change
from currantdeal.cli.client import operator_path
from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.cli.options import with_session, with_wait
from currantdeal.cli.output import join, print_table
from currantdeal.core import (
    Label,
    LoadReport,
    ParseError,
    Upstream,
    check_label,
)
from currantdeal.state import WITHDRAWN_LABEL, Home


@dataclass(frozen=True, kw_only=True)
class ShownUpstream:
    """An upstream in an answer of the operators' interface."""

    upstream: Upstream
    labels: dict[str, str]
    labels_version: int
    present: bool
    withdrawn: bool
    home: Home | None = None
    load: LoadReport | None = None


@dataclass(frozen=True, kw_only=True)
class UpstreamList:
    """Answer with all upstreams at one version of the state."""

    version: int
    upstreams: tuple[ShownUpstream, ...]


@click.group()
def upstreams():
    """List, label and withdraw upstreams."""


@upstreams.command("list")
@with_session
def list_upstreams(session):
    """List upstreams with the labels in force."""
    session.show(_fetch_upstreams(session), _print_upstreams)


@upstreams.command()
@click.argument("upstream_id")
@click.argument("changes", nargs=-1, required=True)
@click.option("--expected-version", type=int, default=None)
@with_wait
@with_session
def label(session, upstream_id, changes, expected_version, **options):
    """Set labels (NAME=VALUE) and remove them (NAME-).

    The change is refused if the labels were changed after the expected
    version, which is the current one by default.
    """
    _set_labels(
        session,
        upstream_id,
        expected_version,
        labels=tuple(
            _parse_label(text) for text in changes if text[-1:] != "-"
        ),
        removed=tuple(text[:-1] for text in changes if text[-1:] == "-"),
        **options,
    )


@upstreams.command()
@click.argument("upstream_id")
@click.option("--expected-version", type=int, default=None)
@with_wait
@with_session
def withdraw(session, upstream_id, expected_version, **options):
    """Stop new work for an upstream until the label is removed again."""
    _set_labels(
        session,
        upstream_id,
        expected_version,
        labels=(Label(name=WITHDRAWN_LABEL, value="yes"),),
        removed=(),
        **options,
    )


def _set_labels(session, upstream_id, expected_version, **fields):
    if expected_version is None:
        expected_version = _current_labels_version(session, upstream_id)
    send_change(
        session,
        "POST",
        operator_path("upstreams", upstream_id, "labels"),
        LabelsBody,
        expected_version=expected_version,
        **fields,
    )


def _fetch_upstreams(session):
    return session.client.read(operator_path("upstreams"), UpstreamList)


def _current_labels_version(session, upstream_id):
    for shown in _fetch_upstreams(session).upstreams:
        if shown.upstream.upstream_id == upstream_id:
            return shown.labels_version
    raise CommandError(
        f"no upstream is named {upstream_id}",
        code=ExitCode.REFUSED,
        hint="see 'currantdeal upstreams list' for the names",
    )


def _parse_label(text):
    name, equals, value = text.partition("=")
    try:
        if not equals:
            raise ParseError(f"expected NAME=VALUE or NAME-, got {text!r}")
        check_label(name, value)
    except ParseError as exc:
        raise CommandError(
            str(exc),
            code=ExitCode.USAGE,
            hint="write labels as tier=gold, and tier- to remove one",
        ) from exc
    return Label(name=name, value=value)


def _print_upstreams(listed):
    print_table(
        (
            "UPSTREAM",
            "STATE",
            "ROLES",
            "TARGETS",
            "REGION",
            "HOME",
            "RUNNING",
            "FREE PIECES",
            "VERSION",
            "LABELS",
        ),
        [_row(shown) for shown in listed.upstreams],
    )


def _row(shown):
    upstream = shown.upstream
    load = shown.load
    return (
        upstream.upstream_id,
        _format_state(shown),
        join(upstream.roles),
        join(upstream.targets),
        upstream.region,
        shown.home.instance if shown.home else "-",
        load.running if load else "-",
        load.pieces_free if load else "-",
        shown.labels_version,
        join(f"{name}={value}" for name, value in shown.labels.items()),
    )


def _format_state(shown):
    if not shown.present:
        return "gone"
    return "withdrawn" if shown.withdrawn else "present"
