"""The data folder: one snapshot, one segment of the log, one lock.

A generation is a snapshot and the segment of writes after it.  A new
snapshot starts the next generation: its files are written under temporary
names, synced, renamed, and the folder is synced, before the generation
before it is deleted.  At any moment the highest generation with a segment is
whole.
"""

import contextlib
import errno
import fcntl
import os
import re
from dataclasses import dataclass
from functools import singledispatchmethod
from pathlib import Path

from currantdeal.adapters.disk.errors import (
    DiskCorruptError,
    DiskFailedError,
    DiskFullError,
    FolderLockedError,
)
from currantdeal.adapters.disk.records import (
    MAGIC,
    SegmentStart,
    encode_record,
    scan,
)
from currantdeal.consensus import (
    Entry,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
    Stored,
)

_SEGMENT = re.compile(r"^log-(\d{12})$")
_FULL = (errno.ENOSPC, errno.EDQUOT)


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


class DataFolder:
    """Durable state of a replica.

    Parameters
    ----------
    path : str or Path
        The folder; made if it is not there.
    sync : callable
        Takes a file descriptor and returns when its content is durable.

    Raises
    ------
    FolderLockedError
        If another process uses the folder.
    DiskCorruptError
        If the folder's files are damaged.
    """

    def __init__(self, *, path, sync=os.fsync):
        """Lock the folder, read it and cut a torn tail."""
        self._path = Path(path)
        self._sync = sync
        self._failed = False
        self._file = None
        with _disk_errors():
            self._path.mkdir(parents=True, exist_ok=True)
            self._lock = self._take_lock()
        content = read_folder(self._path)
        if content is None:
            content = FolderContent(
                stored=Stored(),
                generation=0,
                good_bytes=0,
                torn_bytes=0,
                records=0,
            )
            self._start_generation(0, content.stored, [])
        else:
            self._open(content)
        self._remove_other_files()

    @property
    def stored(self):
        """What a replica starts from, as of the last successful write."""
        return Stored(
            term=self._stored.term,
            voted_for=self._stored.voted_for,
            snapshot=self._stored.snapshot,
            entries=tuple(self._entries),
        )

    @property
    def segment_bytes(self):
        """Length of the current segment."""
        return self._length

    def save(self, writes):
        """Return when all the writes are on synced disk.

        Raises
        ------
        DiskFullError
            If there was no room; nothing is written, a retry may succeed.
        DiskFailedError
            If the disk failed; the folder takes no more writes.
        """
        if self._failed:
            raise DiskFailedError("an earlier write or sync failed")
        plain = []
        for write in writes:
            if isinstance(write, SaveSnapshot):
                self._append(plain)
                plain = []
                self._save_snapshot(write)
            else:
                plain.append(write)
        self._append(plain)

    def close(self):
        """Close the files and give up the lock."""
        if self._file is not None:
            os.close(self._file)
            self._file = None
        self._lock.close()

    def _append(self, writes):
        if not writes:
            return
        raw = bytearray()
        for write in writes:
            raw += encode_record(write, self._length + len(raw))
        try:
            _write_all(self._file, raw)
        except OSError as exc:
            self._undo(exc)
        self._sync_or_fail(self._file)
        self._length += len(raw)
        for write in writes:
            self._note(write)

    def _undo(self, exc):
        # A half-written record must go before the next one is written after
        # it; otherwise the next start finds damage in the middle of a log
        # whose later records were acknowledged.
        try:
            os.ftruncate(self._file, self._length)
            os.lseek(self._file, self._length, os.SEEK_SET)
        except OSError:
            self._failed = True
        if exc.errno in _FULL and not self._failed:
            raise DiskFullError(str(exc)) from exc
        self._failed = True
        raise DiskFailedError(str(exc)) from exc

    def _sync_or_fail(self, descriptor):
        try:
            self._sync(descriptor)
        except OSError as exc:
            # After a failed sync the kernel may drop the pages and report
            # success to the next one: an acknowledged entry would be gone
            # after a power cut.  So there is no next one.
            self._failed = True
            raise DiskFailedError(str(exc)) from exc

    def _save_snapshot(self, write):
        snapshot = write.snapshot
        held = [] if write.discard else self._entries
        entries = [e for e in held if e.index > snapshot.index]
        stored = Stored(
            term=self._stored.term,
            voted_for=self._stored.voted_for,
            snapshot=snapshot,
        )
        self._start_generation(self._generation + 1, stored, entries)
        self._remove_other_files()

    def _start_generation(self, generation, stored, entries):
        try:
            length = self._write_generation(generation, stored, entries)
            self._reopen(generation, length)
        except OSError as exc:
            # The generation before is still whole.  After a failed sync this
            # process does not know any more which one the disk will show.
            if exc.errno in _FULL and self._file is not None:
                self._remove_other_files()
                raise DiskFullError(str(exc)) from exc
            self._failed = True
            raise DiskFailedError(str(exc)) from exc
        self._generation = generation
        self._stored = stored
        self._entries = entries

    def _write_generation(self, generation, stored, entries):
        snapshot = stored.snapshot
        records = [
            SegmentStart(
                generation=generation, has_snapshot=snapshot is not None
            ),
            SaveVote(term=stored.term, voted_for=stored.voted_for),
        ]
        if entries:
            records.append(SaveEntries(entries=tuple(entries)))
        if snapshot is not None:
            self._write_file(
                snapshot_name(generation), [SaveSnapshot(snapshot=snapshot)]
            )
        return self._write_file(segment_name(generation), records)

    def _write_file(self, name, messages):
        raw = bytearray(MAGIC)
        for message in messages:
            raw += encode_record(message, len(raw))
        temporary = self._path / f"{name}.tmp"
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        descriptor = os.open(temporary, flags, 0o600)
        try:
            _write_all(descriptor, raw)
            self._sync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(temporary, self._path / name)
        self._sync_folder()
        return len(raw)

    def _sync_folder(self):
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._sync(descriptor)
        finally:
            os.close(descriptor)

    def _open(self, content):
        self._stored = content.stored
        self._entries = list(content.stored.entries)
        self._generation = content.generation
        with _disk_errors():
            self._reopen(content.generation, content.good_bytes)
            if content.torn_bytes:
                os.ftruncate(self._file, self._length)
                self._sync(self._file)

    def _reopen(self, generation, length):
        opened = os.open(self._path / segment_name(generation), os.O_WRONLY)
        if self._file is not None:
            os.close(self._file)
        self._file = opened
        self._length = length
        os.lseek(self._file, length, os.SEEK_SET)

    def _remove_other_files(self):
        kept = {
            segment_name(self._generation),
            snapshot_name(self._generation),
        }
        for name in os.listdir(self._path):
            ours = name.startswith(("log-", "snapshot-"))
            if ours and name not in kept:
                with contextlib.suppress(OSError):
                    os.unlink(self._path / name)

    def _take_lock(self):
        lock = open(self._path / "lock", "w")  # noqa: SIM115
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            lock.close()
            raise FolderLockedError(
                f"{self._path} is used by another process"
            ) from exc
        return lock

    def _note(self, write):
        if isinstance(write, SaveVote):
            self._stored = Stored(
                term=write.term,
                voted_for=write.voted_for,
                snapshot=self._stored.snapshot,
            )
        else:
            self._entries = add_entries(self._entries, write.entries)


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


def _write_all(descriptor, raw):
    view = memoryview(raw)
    while view:
        view = view[os.write(descriptor, view) :]


@contextlib.contextmanager
def _disk_errors():
    try:
        yield
    except OSError as exc:
        raise DiskFailedError(str(exc)) from exc
