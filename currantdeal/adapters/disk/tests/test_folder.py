import errno
import os
import shutil

import pytest

from currantdeal.adapters.disk import (
    DataFolder,
    DiskCorruptError,
    DiskFailedError,
    DiskFullError,
    FolderLockedError,
    folder,
    inspect_folder,
)
from currantdeal.adapters.disk.records import HEADER_BYTES, scan
from currantdeal.consensus import (
    Configuration,
    Entry,
    EntryKind,
    Replica,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Snapshot,
)

FIRST_SET = Configuration(voters=(Replica(instance="i1", address="a"),))


def entry(index, *, term=1):
    return Entry(
        index=index,
        term=term,
        kind=EntryKind.COMMAND,
        data=b"order %d" % index,
    )


def entries(*indexes, term=1):
    found = tuple(entry(index, term=term) for index in indexes)
    return SaveEntries(entries=found)


def snapshot(index, *, discard=False):
    found = Snapshot(
        index=index, term=1, configuration=FIRST_SET, data=b"state"
    )
    return SaveSnapshot(snapshot=found, discard=discard)


@pytest.fixture
def path(tmp_path):
    return tmp_path / "data"


@pytest.fixture
def written(path):
    """Return the path of a folder with a snapshot and four more records."""
    disk = DataFolder(path=path)
    disk.save((snapshot(0),))
    disk.save((SaveVote(term=1, voted_for="i1"),))
    for index in (1, 2, 3):
        disk.save((entries(index),))
    disk.close()
    return path


def segment(path):
    return next(path.glob("log-*"))


def reopen(path):
    disk = DataFolder(path=path)
    disk.close()
    return disk.stored


def test_saved_state_is_restored_after_a_restart(written):
    stored = reopen(written)
    assert (stored.term, stored.voted_for) == (1, "i1")
    assert [e.index for e in stored.entries] == [1, 2, 3]
    assert stored.snapshot.configuration == FIRST_SET


def test_later_entries_replace_earlier_ones(written):
    disk = DataFolder(path=written)
    disk.save((entries(2, 3, 4, term=2), entries(3, term=3)))
    disk.close()
    assert [(e.index, e.term) for e in reopen(written).entries] == [
        (1, 1),
        (2, 2),
        (3, 3),
    ]


@pytest.mark.parametrize("discard", [False, True])
def test_snapshot_replaces_entries(written, discard):
    disk = DataFolder(path=written)
    disk.save((entries(4), snapshot(3, discard=discard)))
    disk.close()
    stored = reopen(written)
    assert stored.snapshot.index == 3
    assert [e.index for e in stored.entries] == ([] if discard else [4])
    assert len(list(written.glob("log-*"))) == 1


def test_segment_truncated_anywhere_keeps_every_complete_record(
    written, tmp_path
):
    """The power fails while a record is written.

    All records acknowledged before must be kept; the torn record is
    truncated.
    """
    raw = segment(written).read_bytes()
    ends = [rec.end for rec in scan(raw, name="log").records]
    for length in range(ends[0], len(raw)):
        copy = tmp_path / "copy"
        shutil.copytree(written, copy)
        segment(copy).write_bytes(raw[:length])
        complete = sum(end <= length for end in ends)
        assert len(reopen(copy).entries) == max(0, complete - 3)
        assert segment(copy).stat().st_size == ends[complete - 1]
        shutil.rmtree(copy)


def test_flipped_bit_in_any_record_is_refused(written):
    """A disk returns a byte that was never written (bit rot).

    Starting from a guessed state could lose an acknowledged order.
    """
    for name in (segment(written), next(written.glob("snapshot-*"))):
        raw = name.read_bytes()
        for rec in scan(raw, name="log").records:
            for place in range(rec.offset, rec.end):
                if rec.end - rec.offset > 200 and place % 7:
                    continue
                damaged = bytearray(raw)
                damaged[place] ^= 1 << (place % 8)
                name.write_bytes(damaged)
                with pytest.raises(DiskCorruptError):
                    DataFolder(path=written)
        name.write_bytes(raw)
    assert len(reopen(written).entries) == 3


def test_record_missing_in_the_middle_is_refused(written):
    """A whole record is lost, which leaves a gap before the next one."""
    raw = segment(written).read_bytes()
    rec = scan(raw, name="log").records[-2]
    segment(written).write_bytes(raw[: rec.offset] + raw[rec.end :])
    with pytest.raises(DiskCorruptError):
        DataFolder(path=written)


def test_missing_snapshot_is_refused(written):
    """A snapshot is deleted; the replica must not start from empty state."""
    next(written.glob("snapshot-*")).unlink()
    with pytest.raises(DiskCorruptError):
        DataFolder(path=written)


def test_two_processes_cannot_use_one_folder(written):
    """An operator starts a second daemon on the same folder by mistake.

    Both would write to one log, and neither would have the other's votes.
    """
    disk = DataFolder(path=written)
    with pytest.raises(FolderLockedError):
        DataFolder(path=written)
    disk.close()


def test_no_write_is_accepted_after_a_failed_sync(written):
    """The disk reports an error for one sync and success for the next.

    The kernel has dropped the data by then.  A retry would acknowledge an
    entry that is lost in a power failure.
    """
    broken = []

    def sync(descriptor):
        if broken:
            broken.pop()
            raise OSError(errno.EIO, "input/output error")
        os.fsync(descriptor)

    disk = DataFolder(path=written, sync=sync)
    broken.append(True)
    for _ in range(2):
        with pytest.raises(DiskFailedError):
            disk.save((entries(4),))
    disk.close()


def test_full_disk_refuses_writes_and_loses_nothing(written, monkeypatch):
    """The disk is full in the middle of a record, and later has space again.

    If the partial record stayed in the file, the next start would fail.
    """
    disk = DataFolder(path=written)
    write = os.write

    def half_write(descriptor, raw):
        write(descriptor, raw[:-1])
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(folder.os, "write", half_write)
    for change in (entries(4, 5, 6), snapshot(3)):
        with pytest.raises(DiskFullError):
            disk.save((change,))
    monkeypatch.setattr(folder.os, "write", write)
    disk.save((entries(4),))
    disk.close()
    assert [e.index for e in reopen(written).entries] == [1, 2, 3, 4]


def test_every_write_is_synced_before_save_returns(path):
    """The power fails right after an acknowledgement.

    The files must be synced by then, and for new files the folder as well.
    """
    synced = []

    def sync(descriptor):
        os.fsync(descriptor)
        synced.append(os.readlink(f"/proc/self/fd/{descriptor}"))

    disk = DataFolder(path=path, sync=sync)
    assert synced[-1] == str(path)
    disk.save((entries(1), SaveVote(term=2, voted_for=None)))
    assert synced[-1] == str(segment(path))
    count = len(synced)
    disk.save((snapshot(1),))
    assert synced[count + 1] == synced[count + 3] == str(path)
    disk.close()


def test_report_shows_a_torn_tail_without_truncating_it(written):
    raw = segment(written).read_bytes()
    segment(written).write_bytes(raw[: -HEADER_BYTES // 2])
    report = inspect_folder(written)
    assert (report.term, report.last_index) == (1, 2)
    assert report.torn_bytes > 0
    assert len(segment(written).read_bytes()) == len(raw) - HEADER_BYTES // 2
