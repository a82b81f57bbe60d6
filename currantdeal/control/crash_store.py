"""Keeps the crash book of a control instance on its disk."""

import asyncio
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import structlog

from currantdeal.adapters.disk import DiskError
from currantdeal.core import Codec, CodecError
from currantdeal.policy.crash_book import SuspectRecord

RETRY_S = 1.0
"""Pause before a failed write is tried again."""

PAUSE_S = 0.2
"""Pause between two writes, in which changes are gathered."""

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, kw_only=True)
class SavedCrashes:
    """Content of the file."""

    records: tuple[SuspectRecord, ...]


_CODEC = Codec(classes=(SavedCrashes,))


class CrashStore:
    """Writes the records after each change, on a thread of its own.

    What is lost with one disk is known to the other instances and to entries.

    Parameters
    ----------
    file : currantdeal.adapters.disk.StateFile
        Holds the records.
    """

    def __init__(self, *, file):
        """Write nothing before ``run``."""
        self._file = file
        self._records = ()
        self._changed = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="crashes")

    def load(self):
        """Return the records of the file; none if it cannot be read."""
        try:
            raw = self._file.read()
            return _CODEC.decode(raw).records if raw else ()
        except (DiskError, CodecError) as exc:
            _log.error("crashes-unreadable", why=str(exc))
            return ()

    def save(self, records):
        """Have records written soon."""
        self._records = records
        self._changed.set()

    async def run(self):
        """Write, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._changed.wait()
            self._changed.clear()
            raw = _CODEC.encode(SavedCrashes(records=self._records))
            try:
                await loop.run_in_executor(self._thread, self._file.write, raw)
                await asyncio.sleep(PAUSE_S)
            except DiskError as exc:
                _log.error("crashes-unsaved", why=str(exc))
                self._changed.set()
                await asyncio.sleep(RETRY_S)
