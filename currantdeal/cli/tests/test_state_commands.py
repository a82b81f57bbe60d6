"""Tests of the commands ``state`` on a written data folder."""

import json

import pytest
from click.testing import CliRunner

from currantdeal.adapters.disk import DataFolder
from currantdeal.adapters.replication.entries import (
    COMMAND_CODEC,
    state_from_snapshot,
)
from currantdeal.cli.main import main
from currantdeal.consensus import (
    Configuration,
    Entry,
    EntryKind,
    Replica,
    SaveEntries,
    SaveSnapshot,
    Snapshot,
)
from currantdeal.state.tests.builders import selector


@pytest.fixture
def folder(tmp_path):
    members = Configuration(voters=(Replica(instance="i1", address="a:1"),))
    change = Entry(
        index=1,
        term=1,
        kind=EntryKind.COMMAND,
        data=COMMAND_CODEC.encode(selector("kept")),
    )
    disk = DataFolder(path=tmp_path / "data")
    first = Snapshot(index=0, term=0, configuration=members)
    disk.save((SaveSnapshot(snapshot=first), SaveEntries(entries=(change,))))
    disk.close()
    return tmp_path / "data"


def run(*args):
    return CliRunner().invoke(main, ["state", *map(str, args)])


def test_inspect_and_verify(folder):
    shown = run("inspect", folder, "--output", "json")
    assert json.loads(shown.stdout)["last_index"] == 1
    assert "voters" in run("inspect", folder).stdout
    assert "whole: 3 records" in run("verify", folder).stdout


def test_verify_reports_the_damaged_place(folder):
    """Guards against a damaged disk reported without the next step.

    The disk returns one wrong byte; the error names its place and a hint
    says what to do next.
    """
    path = next(folder.glob("log-*"))
    raw = bytearray(path.read_bytes())
    raw[40] ^= 1
    path.write_bytes(raw)
    result = run("verify", folder)
    assert result.exit_code == 1
    assert "byte" in result.stderr
    assert "next:" in result.stderr


def test_new_replica_set_begins_from_a_saved_state(folder, tmp_path):
    """Guards against lost changes after the loss of a majority.

    Two of three replicas are lost permanently and only the disk of the third
    is left.  The new replica set has to start with everything on it.
    """
    backup = tmp_path / "saved"
    assert run("snapshot", folder, backup).exit_code == 0
    assert run("snapshot", folder, backup).exit_code == 1
    new_folder = tmp_path / "new"
    options = ("--replica", "i7=10.0.0.7:1", "--replica", "i8=10.0.0.8:1")
    assert run("restore", backup, new_folder, *options).exit_code == 0
    assert run("restore", backup, new_folder, *options).exit_code == 1
    disk = DataFolder(path=new_folder)
    stored = disk.stored
    disk.close()
    assert stored.snapshot.configuration.voter_names == ("i7", "i8")
    assert "kept" in state_from_snapshot(stored.snapshot.data).selectors
