"""Stores a replica's durable state in a folder: snapshot, log and lock.

A generation is a snapshot and the log segment of the writes after it.  A new
snapshot starts the next generation: its files are written under temporary
names, synced and renamed, and the folder is synced, before the previous
generation is deleted.  So the highest generation that has a segment is
complete at any time, also after a crash.
"""

import contextlib
import errno
import fcntl
import os
from pathlib import Path

from currantdeal.adapters.disk.errors import (
    DiskFailedError,
    DiskFullError,
    FolderLockedError,
)
from currantdeal.adapters.disk.records import (
    MAGIC,
    SegmentStart,
    encode_record,
)
from currantdeal.adapters.disk.replay import (
    FolderContent,
    add_entries,
    read_folder,
    segment_name,
    snapshot_name,
)
from currantdeal.consensus import (
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Stored,
)

_FULL = (errno.ENOSPC, errno.EDQUOT)


class DataFolder:
    """Durable state of a replica.

    Parameters
    ----------
    path : str or Path
        The folder; created if it does not exist.
    sync : callable
        Takes a file descriptor and returns when its content is durable.

    Raises
    ------
    FolderLockedError
        If another process holds the folder's lock.
    DiskCorruptError
        If the folder's files are damaged.
    """

    def __init__(self, *, path, sync=os.fsync):
        """Lock and read the folder, and truncate a torn tail."""
        self._path = Path(path)
        self._sync = sync
        self._failed = False
        self._file = None
        with _disk_errors():
            self._path.mkdir(parents=True, exist_ok=True)
            self._lock = self._acquire_lock()
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
        """The state a replica starts from, as of the last successful write."""
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
        """Write and sync; on return all the writes are durable.

        Raises
        ------
        DiskFullError
            If the disk is full; nothing is written, and a retry may succeed.
        DiskFailedError
            If a write or sync failed; the folder accepts no more writes.
        """
        if self._failed:
            raise DiskFailedError("an earlier write or sync failed")
        batch = []
        for write in writes:
            if isinstance(write, SaveSnapshot):
                self._append(batch)
                batch = []
                self._save_snapshot(write)
            else:
                batch.append(write)
        self._append(batch)

    def close(self):
        """Close the files and release the lock."""
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
            self._roll_back(exc)
        self._sync_or_fail(self._file)
        self._length += len(raw)
        for write in writes:
            self._apply(write)

    def _roll_back(self, exc):
        # A partly written record must be truncated before the next one is
        # appended.  Otherwise the next start finds a damaged record in the
        # middle of a log whose later records were acknowledged.
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
            # After a failed sync the kernel may drop the dirty pages and
            # report success for the next sync.  An acknowledged entry would
            # then be lost in a power failure.  So no sync is tried again.
            self._failed = True
            raise DiskFailedError(str(exc)) from exc

    def _save_snapshot(self, write):
        snapshot = write.snapshot
        kept = [] if write.discard else self._entries
        entries = [e for e in kept if e.index > snapshot.index]
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
            # The previous generation is still complete.  After a failed sync
            # it is undefined which of the two a restart will find.
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
            owned = name.startswith(("log-", "snapshot-"))
            if owned and name not in kept:
                with contextlib.suppress(OSError):
                    os.unlink(self._path / name)

    def _acquire_lock(self):
        lock = open(self._path / "lock", "w")  # noqa: SIM115
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            lock.close()
            raise FolderLockedError(
                f"{self._path} is used by another process"
            ) from exc
        return lock

    def _apply(self, write):
        if isinstance(write, SaveVote):
            self._stored = Stored(
                term=write.term,
                voted_for=write.voted_for,
                snapshot=self._stored.snapshot,
            )
        else:
            self._entries = add_entries(self._entries, write.entries)


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
