"""Commands on the whole system: status, entries, drain, orders, audit."""

from dataclasses import dataclass
from datetime import UTC, datetime

import click

from currantdeal.adapters.http.operator import DrainBody, OrderBody
from currantdeal.cli.changes import send_change
from currantdeal.cli.client import path_of
from currantdeal.cli.options import with_session, with_wait
from currantdeal.cli.output import join, print_table
from currantdeal.core import LoadReport, Role
from currantdeal.ports import InstanceProgress, Member
from currantdeal.state import (
    AuditRecord,
    EngineOrder,
    OrderKind,
    OrderRecord,
)

_ORDER_KINDS = [kind.value for kind in OrderKind]


@dataclass(frozen=True, kw_only=True)
class Status:
    """What one instance knows of the whole system."""

    instance: str
    region: str
    version: int
    leader: str | None
    lease_remaining_s: float
    draining: tuple[str, ...] = ()
    progress: tuple[InstanceProgress, ...] = ()
    members: tuple[Member, ...] = ()
    loads: tuple[LoadReport, ...] = ()


@dataclass(frozen=True, kw_only=True)
class OrderList:
    """Engine orders at one version of the state."""

    version: int
    orders: tuple[OrderRecord, ...]


@dataclass(frozen=True, kw_only=True)
class AuditList:
    """Part of the audit trail."""

    records: tuple[AuditRecord, ...]


@click.command()
@with_session
def status(session):
    """Show the version in force at each instance."""
    found = session.client.read(path_of("status"), Status)
    session.show(found, _print_status)


@click.command()
@with_session
def entries(session):
    """Show the instances that callers are told to use."""
    found = session.client.read(path_of("status"), Status)
    names = set(found.draining)
    serving = tuple(
        member
        for member in found.members
        if member.status.value == "alive"
        and not member.draining
        and member.instance not in names
    )
    session.show(serving, _print_entries)


@click.command()
@click.argument("instance")
@click.option("--cancel", is_flag=True, help="Call a drain off.")
@with_wait
@with_session
def drain(session, instance, cancel, **sending):
    """Stop an instance gracefully: it finishes all work and ends."""
    send_change(
        session,
        "POST",
        path_of("instances", instance, "drain"),
        DrainBody,
        draining=not cancel,
        **sending,
    )


@click.group()
def orders():
    """List and issue engine orders."""


@orders.command("list")
@with_session
def list_orders(session):
    """List engine orders and how far they have come."""
    found = session.client.read(path_of("orders"), OrderList)
    session.show(found, _print_orders)


@orders.command()
@click.argument("upstream_id")
@click.argument("kind", type=click.Choice(_ORDER_KINDS))
@click.option("--model", default="")
@click.option("--adapter", default="")
@click.option("--model-version", default="")
@click.option(
    "--role",
    "roles",
    multiple=True,
    type=click.Choice([Role.PREFILL.value, Role.DECODE.value]),
)
@with_wait
@with_session
def issue(session, upstream_id, kind, roles, request_id, wait_s, **parts):
    """Order an engine to load, unload or change its roles."""
    send_change(
        session,
        "POST",
        path_of("orders"),
        OrderBody,
        upstream_id=upstream_id,
        order=EngineOrder(
            kind=OrderKind(kind), roles=tuple(map(Role, roles)), **parts
        ),
        request_id=request_id,
        wait_s=wait_s,
    )


@click.command()
@click.option("--after", default=0, help="Only changes after this version.")
@click.option("--limit", default=100, show_default=True)
@with_session
def audit(session, after, limit):
    """Show who changed what, when and from where."""
    path = f"{path_of('audit')}?after={after}&limit={limit}"
    session.show(session.client.read(path, AuditList), _print_audit)


def _print_status(found):
    click.echo(f"answered by {found.instance} ({found.region})")
    click.echo(f"version {found.version}, leader {found.leader or 'unknown'}")
    if found.draining:
        click.echo(f"draining: {join(found.draining)}")
    known = {one.instance: one for one in found.progress}
    rows = [
        _status_row(member, known.get(member.instance))
        for member in found.members
    ]
    headings = ("INSTANCE", "REGION", "STATE", "VERSION", "LEASE S", "LOAD")
    print_table(headings, rows)


def _status_row(member, progress):
    return (
        member.instance,
        member.region,
        "draining" if member.draining else member.status.value,
        progress.version if progress else "-",
        f"{progress.lease_remaining_s:.2f}" if progress else "-",
        f"{member.load:.2f}",
    )


def _print_entries(serving):
    rows = [
        (member.caller_address, member.instance, member.region)
        for member in serving
    ]
    print_table(("ADDRESS", "INSTANCE", "REGION"), rows)


def _print_orders(listed):
    rows = [
        (
            record.order_id,
            record.upstream_id,
            record.order.kind.value,
            record.order.model or join(record.order.roles),
            record.status.value,
            record.detail or "-",
        )
        for record in listed.orders
    ]
    headings = ("ORDER", "UPSTREAM", "KIND", "WHAT", "STATUS", "DETAIL")
    print_table(headings, rows)


def _print_audit(listed):
    rows = [
        (
            record.version,
            _time(record.wall_s),
            record.actor,
            record.address or "-",
            record.change,
            record.subject,
            record.before or "-",
            record.after or "-",
        )
        for record in listed.records
    ]
    print_table(
        (
            "VERSION",
            "TIME",
            "ACTOR",
            "FROM",
            "CHANGE",
            "SUBJECT",
            "BEFORE",
            "AFTER",
        ),
        rows,
    )


def _time(wall_s):
    stamp = datetime.fromtimestamp(wall_s, tz=UTC)
    return stamp.isoformat(timespec="milliseconds")
