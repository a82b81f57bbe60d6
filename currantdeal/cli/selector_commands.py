"""Commands ``currantdeal selectors``: list, apply and delete selectors."""

from dataclasses import dataclass

import click
import msgspec

from currantdeal.adapters.http.operator import DeleteBody, SelectorBody
from currantdeal.cli.changes import send_change
from currantdeal.cli.client import operator_path
from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.cli.options import with_session, with_wait
from currantdeal.cli.output import join, print_table
from currantdeal.core import (
    DECODE_ERRORS,
    ParseError,
    Role,
    Selector,
    WorkKind,
    parse_expression,
)
from currantdeal.state import SelectorRecord


@dataclass(frozen=True, kw_only=True)
class SelectorList:
    """Answer with all selectors at one version of the state."""

    version: int
    selectors: tuple[SelectorRecord, ...]


@click.group()
def selectors():
    """List, apply and delete selectors."""


@selectors.command("list")
@with_session
def list_selectors(session):
    """List the selectors in force."""
    session.show(_fetch_selectors(session), _print_selectors)


@selectors.command()
@click.argument("name")
@click.option("--expression", default="", help="For example: tier=gold,!old")
@click.option("--kind", "kinds", multiple=True, help="Kind of work.")
@click.option("--target", "targets", multiple=True, help="Model or service.")
@click.option("--role", "roles", multiple=True)
@click.option("--caller-region", "caller_regions", multiple=True)
@click.option("--upstream-region", "upstream_regions", multiple=True)
@click.option("--file", "path", type=click.File("rb"), default=None)
@click.option("--expected-version", type=int, default=None)
@with_wait
@with_session
def apply(session, name, path, expected_version, request_id, wait_s, **parts):
    """Create or replace a selector, from options or from a JSON file.

    An option that is left out matches everything.  The change is refused if
    the selector was changed after the expected version, which is the current
    one by default; 0 means that the selector does not exist yet.
    """
    selector = _build_selector(name, path, parts)
    if expected_version is None:
        expected_version = _current_version(session, name)
    send_change(
        session,
        "PUT",
        operator_path("selectors", name),
        SelectorBody,
        selector=selector,
        expected_version=expected_version,
        request_id=request_id,
        wait_s=wait_s,
    )


@selectors.command()
@click.argument("name")
@click.option("--expected-version", type=int, default=None)
@with_wait
@with_session
def delete(session, name, expected_version, **options):
    """Delete a selector."""
    if expected_version is None:
        expected_version = _current_version(session, name)
    send_change(
        session,
        "DELETE",
        operator_path("selectors", name),
        DeleteBody,
        expected_version=expected_version,
        **options,
    )


def _fetch_selectors(session):
    return session.client.read(operator_path("selectors"), SelectorList)


def _current_version(session, name):
    for record in _fetch_selectors(session).selectors:
        if record.selector.name == name:
            return record.version
    return 0


def _build_selector(name, path, parts):
    try:
        if path is not None:
            selector = msgspec.json.decode(path.read(), type=Selector)
        else:
            selector = Selector(
                name=name,
                expression=parts["expression"],
                kinds=tuple(map(WorkKind, parts["kinds"])),
                targets=parts["targets"],
                roles=tuple(map(Role, parts["roles"])),
                caller_regions=parts["caller_regions"],
                upstream_regions=parts["upstream_regions"],
            )
        parse_expression(selector.expression)
    except (ParseError, ValueError, *DECODE_ERRORS) as exc:
        raise CommandError(
            f"invalid selector: {exc}",
            code=ExitCode.USAGE,
            hint="see 'currantdeal selectors apply --help'",
        ) from exc
    return selector


def _print_selectors(listed):
    headings = (
        "SELECTOR",
        "VERSION",
        "EXPRESSION",
        "KINDS",
        "TARGETS",
        "ROLES",
        "CALLERS FROM",
        "UPSTREAMS IN",
    )
    print_table(headings, [_row(record) for record in listed.selectors])


def _row(record):
    selector = record.selector
    return (
        selector.name,
        record.version,
        selector.expression or "-",
        join(selector.kinds),
        join(selector.targets),
        join(selector.roles),
        join(selector.caller_regions),
        join(selector.upstream_regions),
    )
