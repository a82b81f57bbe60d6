"""Tests of the commands on quarantines, with real control processes."""

import asyncio
import time

import pytest
from click.testing import CliRunner

from currantdeal.cli.main import main
from currantdeal.node.fingerprint import fingerprint_prefix, part_fingerprint
from currantdeal.node.messages import CrashesNotice
from currantdeal.node.peers import connect_peer
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.identity import (
    IdentityKind,
    part_identity,
)
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.testing.node_processes import NodeCluster

PART = part_identity(IdentityKind.PART, part_fingerprint("bad"))
SHOWN = fingerprint_prefix(PART)
START_S = 20.0


def _peer_address(process):
    settings = process.settings
    return f"{settings['address']}:{settings['peer_port']}"


async def _report_crashes(address):
    connection = await connect_peer(address, on_notice=lambda *_: None)
    crashes = tuple(
        Crash(upstream=f"d{n}", started_ms=1, request_id=f"r{n}")
        for n in range(3)
    )
    record = SuspectRecord(fingerprint=PART, crashes=crashes)
    connection.notify(CrashesNotice(records=(record,)))
    await asyncio.sleep(0.2)
    connection.close()


def _run(*arguments):
    return CliRunner().invoke(main, ["quarantines", *arguments])


def _wait_for(condition):
    deadline_s = time.monotonic() + START_S
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.1)


@pytest.fixture(scope="module")
def control(tmp_path_factory):
    """Peer addresses of three control processes."""
    folder = tmp_path_factory.mktemp("control")
    with NodeCluster(folder=folder, control=3, entries=0) as cluster:
        addresses = [_peer_address(process) for process in cluster.control]
        for address in addresses:
            _wait_for(lambda a=address: _run("list", a).exit_code == 0)
        yield addresses


def test_quarantine_is_shown_with_its_crashes_and_lifted_everywhere(control):
    """Guards against a mistaken quarantine that an operator cannot end."""
    asyncio.run(_report_crashes(control[0]))
    _wait_for(lambda: all(SHOWN in _run("list", a).output for a in control))
    listed = _run("list", control[1]).output
    assert "part" in listed
    assert all(f"r{n}" in listed and f"d{n}" in listed for n in range(3))
    assert _run("lift", control[2], SHOWN).exit_code == 0
    _wait_for(
        lambda: not any(SHOWN in _run("list", a).output for a in control)
    )


def test_unknown_quarantine_is_reported(control):
    assert _run("lift", control[0], "00000000").exit_code == 2


def test_process_that_does_not_answer_is_reported():
    assert _run("list", "127.0.0.1:1").exit_code == 1
