"""Stores records of a control instance on its disk.

The other instances and the entries hold copies of the records, so that the
loss of one disk loses none.  The copies alone would not outlast a restart of
all processes at once.
"""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import structlog

from currantdeal.adapters.disk import DiskError
from currantdeal.core import Codec, CodecError
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.registry import UpstreamRecord

RETRY_S = 1.0
"""Pause before a failed write is retried."""

WRITE_INTERVAL_S = 0.2
"""Pause between two writes; changes in between are written together."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class SavedCrashes:
    """Content of the file of requests that crash upstreams."""

    records: tuple[SuspectRecord, ...]


@dataclass(frozen=True, kw_only=True)
class SavedLeaves:
    """Content of the file of upstreams that have left."""

    records: tuple[UpstreamRecord, ...]


RECORDS_CODEC = Codec(classes=(SavedCrashes, SavedLeaves))


class RecordStore:
    """Writes records after each change, on a separate thread.

    Parameters
    ----------
    file : currantdeal.adapters.disk.StateFile
        File that holds the records.
    content_type : type
        ``SavedCrashes`` or ``SavedLeaves``.
    """

    def __init__(self, *, file, content_type):
        """Write nothing before ``run``."""
        self._file = file
        self._content_type = content_type
        self._records = ()
        self._changed = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="records")

    def load(self):
        """Return the records in the file, or none if it cannot be read."""
        try:
            raw = self._file.read()
            return RECORDS_CODEC.decode(raw).records if raw else ()
        except (DiskError, CodecError) as exc:
            self._log_error("records-unreadable", exc)
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
            raw = RECORDS_CODEC.encode(
                self._content_type(records=self._records)
            )
            try:
                await loop.run_in_executor(self._thread, self._file.write, raw)
                await asyncio.sleep(WRITE_INTERVAL_S)
            except DiskError as exc:
                self._log_error("records-unsaved", exc)
                self._changed.set()
                await asyncio.sleep(RETRY_S)

    def _log_error(self, event, error):
        content = self._content_type.__name__
        _log.error(event, content=content, why=str(error))
