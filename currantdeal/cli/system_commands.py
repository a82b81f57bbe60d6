"""Commands on the whole system: status, entries, drain, orders and audit."""

from dataclasses import dataclass
from datetime import UTC, datetime

import click

from currantdeal.adapters.http.operator import DrainBody, OrderBody
from currantdeal.cli.changes import send_change
from currantdeal.cli.client import operator_path
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
    """View of the whole system at the instance that answered."""

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
    """Answer with all engine orders at one version of the state."""

    version: int
    orders: tuple[OrderRecord, ...]


@dataclass(frozen=True, kw_only=True)
class AuditList:
    """Answer with a part of the audit trail."""

    records: tuple[AuditRecord, ...]


@click.command()
@with_session
def status(session):
    """Show the members with their state, version, lease and load."""
    answer = session.client.read(operator_path("status"), Status)
    session.show(answer, _print_status)


@click.command()
@with_session
def entries(session):
    """Show the instances that serve callers."""
    answer = session.client.read(operator_path("status"), Status)
    names = set(answer.draining)
    serving = tuple(
        member
        for member in answer.members
        if member.status.value == "alive"
        and not member.draining
        and member.instance not in names
    )
    session.show(serving, _print_entries)


@click.command()
@click.argument("instance")
@click.option("--cancel", is_flag=True, help="Cancel a drain.")
@with_wait
@with_session
def drain(session, instance, cancel, **options):
    """Stop an instance gracefully: it finishes its requests and exits."""
    send_change(
        session,
        "POST",
        operator_path("instances", instance, "drain"),
        DrainBody,
        draining=not cancel,
        **options,
    )


@click.group()
def orders():
    """List and issue engine orders."""


@orders.command("list")
@with_session
def list_orders(session):
    """List engine orders with their status."""
    listed = session.client.read(operator_path("orders"), OrderList)
    session.show(listed, _print_orders)


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
        operator_path("orders"),
        OrderBody,
        upstream_id=upstream_id,
        order=EngineOrder(
            kind=OrderKind(kind), roles=tuple(map(Role, roles)), **parts
        ),
        request_id=request_id,
        wait_s=wait_s,
    )


@click.command()
@click.option(
    "--after", default=0, help="Show only changes after this version."
)
@click.option("--limit", default=100, show_default=True)
@with_session
def audit(session, after, limit):
    """Show who changed what, when and from where."""
    path = f"{operator_path('audit')}?after={after}&limit={limit}"
    session.show(session.client.read(path, AuditList), _print_audit)


def _print_status(answer):
    click.echo(f"answered by {answer.instance} ({answer.region})")
    click.echo(
        f"version {answer.version}, leader {answer.leader or 'unknown'}"
    )
    if answer.draining:
        click.echo(f"draining: {join(answer.draining)}")
    progress_of = {progress.instance: progress for progress in answer.progress}
    rows = [
        _status_row(member, progress_of.get(member.instance))
        for member in answer.members
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
            _format_time(record.wall_s),
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


def _format_time(wall_s):
    stamp = datetime.fromtimestamp(wall_s, tz=UTC)
    return stamp.isoformat(timespec="milliseconds")
