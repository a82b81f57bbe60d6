"""Putting a data folder's files together, without changing them."""

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
    """What a folder holds.

    Parameters
    ----------
    generation : int
        Number of the current snapshot and segment.
    good_bytes, torn_bytes : int
        Of the segment: what counts, and what a crash left half written.
    records : int
        Whole records in the segment.
    """

    stored: Stored
    generation: int
    good_bytes: int
    torn_bytes: int
    records: int


def segment_name(generation):
    """Return the name of a segment's file."""
    return f"log-{generation:012d}"


def snapshot_name(generation):
    """Return the name of a snapshot's file."""
    return f"snapshot-{generation:012d}"


def read_folder(path):
    """Return what a folder holds, without changing it; None if new.

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
        replay.take(record.message)
    start = found.records[0].message if found.records else None
    if start is None or start.generation != generation:
        raise DiskCorruptError(f"{name}: no start of a segment")
    return FolderContent(
        stored=replay.stored,
        generation=generation,
        good_bytes=found.good_bytes,
        torn_bytes=found.torn_bytes,
        records=len(found.records),
    )


def add_entries(held, entries):
    """Return held entries with others put at and after their index.

    Raises
    ------
    DiskCorruptError
        If an entry would be missing in between.
    """
    if not held:
        return list(entries)
    keep = entries[0].index - held[0].index
    if keep > len(held):
        raise DiskCorruptError(f"entry {entries[0].index - 1} is missing")
    if keep == len(held):
        held.extend(entries)
        return held
    return held[: max(0, keep)] + list(entries)


class _Replay:
    """Puts a segment's records together."""

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
    def take(self, record):
        raise DiskCorruptError(f"unexpected {type(record).__name__}")

    @take.register
    def _(self, record: SegmentStart):
        if not record.has_snapshot:
            return
        name = snapshot_name(record.generation)
        try:
            found = scan((self._path / name).read_bytes(), name=name)
        except FileNotFoundError as exc:
            raise DiskCorruptError(f"{name} is missing") from exc
        if len(found.records) != 1 or found.torn_bytes:
            raise DiskCorruptError(f"{name} is cut short")
        self._snapshot = found.records[0].message.snapshot

    @take.register
    def _(self, record: SaveVote):
        self._vote = record

    @take.register
    def _(self, record: SaveEntries):
        self._entries = add_entries(self._entries, record.entries)
