"""Stores the crash records of a control instance on its disk."""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import structlog

from currantdeal.adapters.disk import DiskError
from currantdeal.core import Codec, CodecError
from currantdeal.policy.crash_registry import SuspectRecord

RETRY_S = 1.0
"""Pause before a failed write is retried."""

WRITE_INTERVAL_S = 0.2
"""Pause between two writes; changes in between are written together."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class SavedCrashes:
    """Content of the file."""

    records: tuple[SuspectRecord, ...]


_CODEC = Codec(classes=(SavedCrashes,))


class CrashStore:
    """Writes the records after each change, on a separate thread.

    The other instances and the entries hold copies of the records, so that
    the loss of one disk loses none.

    Parameters
    ----------
    file : currantdeal.adapters.disk.StateFile
        File that holds the records.
    """

    def __init__(self, *, file):
        """Write nothing before ``run``."""
        self._file = file
        self._records = ()
        self._changed = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="crashes")

    def load(self):
        """Return the records in the file, or none if it cannot be read."""
        try:
            raw = self._file.read()
            return _CODEC.decode(raw).records if raw else ()
        except (DiskError, CodecError) as exc:
            _log.error("crashes-unreadable", why=str(exc))
            return ()

    def save(self, records):
        """Schedule the records for writing."""
        self._records = records
        self._changed.set()

    async def run(self):
        """Write changed records until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._changed.wait()
            self._changed.clear()
            raw = _CODEC.encode(SavedCrashes(records=self._records))
            try:
                await loop.run_in_executor(self._thread, self._file.write, raw)
                await asyncio.sleep(WRITE_INTERVAL_S)
            except DiskError as exc:
                _log.error("crashes-unsaved", why=str(exc))
                self._changed.set()
                await asyncio.sleep(RETRY_S)
