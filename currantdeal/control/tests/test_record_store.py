import asyncio

from currantdeal.adapters.disk import DiskCorruptError, DiskFailedError
from currantdeal.control import record_store
from currantdeal.control.record_store import RecordStore, SavedCrashes
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.testing.waiting import eventually

RECORD = SuspectRecord(
    fingerprint=b"poison", crashes=(Crash(upstream="u1", started_ms=1),)
)


class _File:
    """A file whose first writes fail."""

    def __init__(self, *, failures=0):
        self.content = None
        self._failures = failures

    def read(self):
        return self.content

    def write(self, content):
        if self._failures:
            self._failures -= 1
            raise DiskFailedError("no space left on device")
        self.content = content


class _Damaged:
    def read(self):
        raise DiskCorruptError("the checksum is wrong")


def _store(file):
    return RecordStore(file=file, content_type=SavedCrashes)


async def _save(file):
    store = _store(file)
    task = asyncio.ensure_future(store.run())
    store.save((RECORD,))
    await eventually(lambda: file.content, what="the file")
    task.cancel()


def test_records_are_read_back():
    file = _File()
    asyncio.run(_save(file))
    assert _store(file).load() == (RECORD,)


def test_failed_write_is_retried(monkeypatch):
    """Guards against a full disk after which no record is saved any more."""
    monkeypatch.setattr(record_store, "RETRY_S", 0.01)
    file = _File(failures=3)
    asyncio.run(_save(file))
    assert _store(file).load() == (RECORD,)


def test_unreadable_file_does_not_prevent_a_start():
    """Guards against a damaged file that makes every start fail."""
    assert _store(_Damaged()).load() == ()
    file = _File()
    file.content = b"of another release"
    assert _store(file).load() == ()
