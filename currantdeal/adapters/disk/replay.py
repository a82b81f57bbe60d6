"""Rebuilds a replica's stored state from its data folder's files.

Only reads the files, so that operators' tools can use it as well.
"""

import os
import re
from dataclasses import dataclass
from functools import singledispatchmethod
from pathlib import Path

from currantdeal.adapters.disk.errors import DiskCorruptError
from currantdeal.adapters.disk.records import SegmentStart, scan
from currantdeal.consensus import (
    Entry,
    SaveEntries,
    SaveVote,
    Snapshot,
    Stored,
)

_SEGMENT = re.compile(r"^log-(\d{12})$")


@dataclass(frozen=True, kw_only=True)
class FolderContent:
    """Content of a data folder.

    Parameters
    ----------
    generation : int
        Number of the current snapshot and segment.
    good_bytes, torn_bytes : int
        Length of the segment's complete records, and of its torn tail.
    records : int
        Number of complete records in the segment.
    """

    stored: Stored
    generation: int
    good_bytes: int
    torn_bytes: int
    records: int


def segment_name(generation):
    """Return the file name of a generation's segment."""
    return f"log-{generation:012d}"


def snapshot_name(generation):
    """Return the file name of a generation's snapshot."""
    return f"snapshot-{generation:012d}"


def read_folder(path):
    """Return the folder's content, or None if it has no segment.

    Raises
    ------
    DiskCorruptError
        If the files are damaged.
    """
    path = Path(path)
    generations = [
        int(found.group(1))
        for name in os.listdir(path)
        if (found := _SEGMENT.match(name))
    ]
    if not generations:
        return None
    generation = max(generations)
    name = segment_name(generation)
    found = scan((path / name).read_bytes(), name=name)
    replay = _Replay(path=path)
    for record in found.records:
        replay.apply(record.message)
    start = found.records[0].message if found.records else None
    if start is None or start.generation != generation:
        raise DiskCorruptError(
            f"{name}: the first record is not the start of this segment"
        )
    return FolderContent(
        stored=replay.stored,
        generation=generation,
        good_bytes=found.good_bytes,
        torn_bytes=found.torn_bytes,
        records=len(found.records),
    )


def add_entries(log, entries):
    """Append entries to a log, replacing those from their first index on.

    Raises
    ------
    DiskCorruptError
        If there would be a gap between the log and the new entries.
    """
    if not log:
        return list(entries)
    keep = entries[0].index - log[0].index
    if keep > len(log):
        raise DiskCorruptError(f"entry {entries[0].index - 1} is missing")
    if keep == len(log):
        log.extend(entries)
        return log
    return log[: max(0, keep)] + list(entries)


class _Replay:
    """Replays a segment's records into the stored state."""

    def __init__(self, *, path):
        self._path = path
        self._vote = SaveVote(term=0, voted_for=None)
        self._snapshot: Snapshot | None = None
        self._entries: list[Entry] = []

    @property
    def stored(self):
        entries = tuple(self._entries)
        first = self._snapshot.index + 1 if self._snapshot else 1
        if entries and entries[0].index != first:
            raise DiskCorruptError(f"entry {first} is missing")
        return Stored(
            term=self._vote.term,
            voted_for=self._vote.voted_for,
            snapshot=self._snapshot,
            entries=entries,
        )

    @singledispatchmethod
    def apply(self, record):
        raise DiskCorruptError(f"unexpected record {type(record).__name__}")

    @apply.register
    def _(self, record: SegmentStart):
        if not record.has_snapshot:
            return
        name = snapshot_name(record.generation)
        try:
            found = scan((self._path / name).read_bytes(), name=name)
        except FileNotFoundError as exc:
            raise DiskCorruptError(f"{name} is missing") from exc
        if len(found.records) != 1 or found.torn_bytes:
            raise DiskCorruptError(f"{name} is incomplete")
        self._snapshot = found.records[0].message.snapshot

    @apply.register
    def _(self, record: SaveVote):
        self._vote = record

    @apply.register
    def _(self, record: SaveEntries):
        self._entries = add_entries(self._entries, record.entries)
