"""Commands ``quarantines``: show and lift what crashed upstreams.

They call a control process at its peer address, since every control process
has all records and passes on a change without a leader.
"""

import asyncio

import click

from currantdeal.cli.output import print_table
from currantdeal.node.crash_messages import (
    LiftQuarantineCall,
    ListQuarantinesCall,
    QuarantinesAnswer,
)
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.fingerprint import fingerprint_prefix
from currantdeal.node.messages import Done
from currantdeal.node.peers import connect_peer
from currantdeal.policy.crashes.identity import kind_of

TIMEOUT_S = 2.0
EXIT_UNREACHABLE = 1
EXIT_NOT_FOUND = 2

_HEADINGS = ("QUARANTINE", "KIND", "UPSTREAM", "SOFTWARE", "REQUEST")


@click.group()
def quarantines():
    """Show and lift quarantines of requests and parts of prompts."""


@quarantines.command("list")
@click.argument("address")
def list_quarantines(address):
    """Show each quarantine with the crashes that count against it.

    ADDRESS is the peer address of a control process.
    """
    rows = [
        row
        for quarantine in _call(address, ListQuarantinesCall()).quarantines
        for row in _rows(quarantine)
    ]
    print_table(_HEADINGS, rows)


@quarantines.command()
@click.argument("address")
@click.argument("fingerprint")
def lift(address, fingerprint):
    """Let requests run again that are in quarantine as FINGERPRINT.

    ADDRESS is the peer address of a control process.  Further crashes count
    from the start.  Exits with 2 if there is no such quarantine.
    """
    found = [
        quarantine.members
        for quarantine in _call(address, ListQuarantinesCall()).quarantines
        if fingerprint in map(fingerprint_prefix, quarantine.members)
    ]
    if not found:
        click.echo(f"no quarantine as {fingerprint!r}", err=True)
        raise SystemExit(EXIT_NOT_FOUND)
    for members in found:
        _call(address, LiftQuarantineCall(members=members))
    click.echo(f"lifted {fingerprint}")


def _rows(quarantine):
    shown = "+".join(sorted(map(fingerprint_prefix, quarantine.members)))
    kind = kind_of(quarantine.members[0]).name.lower()
    return [
        (
            shown,
            kind,
            crash.upstream,
            crash.software or "-",
            crash.request_id or "-",
        )
        for crash in quarantine.crashes
    ]


def _call(address, message):
    try:
        return asyncio.run(_call_once(address, message))
    except PeerUnreachableError as exc:
        click.echo(f"{address}: {exc}", err=True)
        raise SystemExit(EXIT_UNREACHABLE) from exc


async def _call_once(address, message):
    connection = await connect_peer(address, on_notice=lambda *_: None)
    try:
        answer = await connection.call(message, timeout_s=TIMEOUT_S)
    finally:
        connection.close()
    if not isinstance(answer, QuarantinesAnswer | Done):
        raise PeerUnreachableError("an answer of another kind")
    return answer
