"""The state of a replica as one file, and a new replica set from it.

This is for the day on which a majority of the replicas is lost for good.
What the surviving folder holds becomes the first state of a new set.
"""

import os
from dataclasses import dataclass
from pathlib import Path

from currantdeal.adapters.disk.errors import DiskCorruptError, DiskError
from currantdeal.adapters.disk.folder import DataFolder
from currantdeal.adapters.disk.records import MAGIC, encode_record, scan
from currantdeal.adapters.disk.replay import read_folder
from currantdeal.adapters.replication.entries import (
    state_of,
    step_of,
    take_step,
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
    """What a backup holds.

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
    """Write the state that a stopped replica's folder holds to a file.

    Every entry of its log is included, also those of which it had not
    learned that a quorum has them: leaving one out could lose an accepted
    change, and their proposers were told of none that it is not kept.

    Raises
    ------
    DiskError
        If the folder holds no state or is damaged.
    """
    content = read_folder(folder)
    if content is None or content.stored.snapshot is None:
        raise DiskError(f"{folder} holds no state")
    stored = content.stored
    state = state_of(stored.snapshot.data)
    for entry in stored.entries:
        state, _ = take_step(state, step_of(entry))
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
    """Return the snapshot that a backup holds.

    Raises
    ------
    DiskCorruptError
        If the file is damaged.
    """
    found = scan(Path(path).read_bytes(), name=str(path))
    if len(found.records) != 1 or found.torn_bytes:
        raise DiskCorruptError(f"{path} is cut short")
    return found.records[0].message.snapshot


def restore_backup(path, folder, replicas):
    """Make a new folder that begins a new replica set from a backup.

    The same is to be done for every replica of the new set before any of
    them is started.

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
