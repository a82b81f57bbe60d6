"""Saves a replica's state to a file, and restores a new replica set from it.

This is for disaster recovery after the permanent loss of a majority of the
replicas.  The state in a surviving folder becomes the first state of a new
set.
"""

import os
from dataclasses import dataclass
from pathlib import Path

from currantdeal.adapters.disk.errors import DiskCorruptError, DiskError
from currantdeal.adapters.disk.folder import DataFolder
from currantdeal.adapters.disk.records import MAGIC, encode_record, scan
from currantdeal.adapters.disk.replay import read_folder
from currantdeal.adapters.replication.entries import (
    apply_update,
    state_from_snapshot,
    update_from_entry,
)
from currantdeal.consensus import (
    Configuration,
    SaveSnapshot,
    SaveVote,
    Snapshot,
)
from currantdeal.state import encode_state


@dataclass(frozen=True, kw_only=True)
class Backup:
    """Version and length of a backup.

    Parameters
    ----------
    version : int
        Version of the state.
    size_bytes : int
        Length of the file.
    """

    version: int
    size_bytes: int


def write_backup(folder, path):
    """Write the state in a stopped replica's folder to a new file.

    Every entry of its log is included, also those that it did not yet record
    as committed.  Omitting such an entry could lose an accepted change, and
    including it contradicts no answer: no proposer was notified that its entry
    was discarded.

    Raises
    ------
    DiskError
        If the folder has no state or is damaged.
    """
    content = read_folder(folder)
    if content is None or content.stored.snapshot is None:
        raise DiskError(f"{folder} contains no state of a replica")
    stored = content.stored
    state = state_from_snapshot(stored.snapshot.data)
    for entry in stored.entries:
        state, _ = apply_update(state, update_from_entry(entry))
    snapshot = Snapshot(
        index=state.version,
        term=stored.term,
        configuration=stored.snapshot.configuration,
        data=encode_state(state),
    )
    raw = MAGIC + encode_record(SaveSnapshot(snapshot=snapshot), len(MAGIC))
    with open(path, "xb") as file:
        file.write(raw)
        file.flush()
        os.fsync(file.fileno())
    return Backup(version=state.version, size_bytes=len(raw))


def read_backup(path):
    """Return the snapshot in a backup.

    Raises
    ------
    DiskCorruptError
        If the file is damaged.
    """
    found = scan(Path(path).read_bytes(), name=str(path))
    if len(found.records) != 1 or found.torn_bytes:
        raise DiskCorruptError(f"{path} is incomplete")
    return found.records[0].message.snapshot


def restore_backup(path, folder, replicas):
    """Create a folder that starts a new replica set from a backup.

    Do this for every replica of the new set before any of them is started.

    Raises
    ------
    DiskError
        If the folder is not empty.
    """
    folder = Path(folder)
    if folder.exists() and any(folder.iterdir()):
        raise DiskError(f"{folder} is not empty")
    old = read_backup(path)
    snapshot = Snapshot(
        index=old.index,
        term=old.term,
        configuration=Configuration(voters=tuple(replicas)),
        data=old.data,
    )
    disk = DataFolder(path=folder)
    disk.save(
        (
            SaveVote(term=old.term, voted_for=None),
            SaveSnapshot(snapshot=snapshot),
        )
    )
    disk.close()
    return Backup(version=old.index, size_bytes=len(old.data))
