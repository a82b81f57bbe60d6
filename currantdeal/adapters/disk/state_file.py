"""Stores a small state in one file that is replaced atomically."""

import os
import struct
from pathlib import Path

import xxhash

from currantdeal.adapters.disk.errors import (
    DiskCorruptError,
    DiskFailedError,
)

_SUM = struct.Struct("<Q")


class StateFile:
    """Bytes that persist over restarts of a process.

    Parameters
    ----------
    path : str or Path
        The file; its folder must exist on a write.
    sync : callable
        Takes a file descriptor and returns when its content is durable.

    Examples
    --------
    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as folder:
    ...     file = StateFile(path=f"{folder}/state")
    ...     before = file.read()
    ...     file.write(b"known")
    ...     before, StateFile(path=f"{folder}/state").read()
    (None, b'known')
    """

    def __init__(self, *, path, sync=os.fsync):
        """Store the path; opens no file."""
        self._path = Path(path)
        self._sync = sync

    def read(self):
        """Return the content, or None if the file was never written.

        Raises
        ------
        DiskCorruptError
            If the content does not match its checksum.
        DiskFailedError
            If it cannot be read.
        """
        try:
            raw = self._path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as exc:
            raise DiskFailedError(str(exc)) from exc
        content = raw[_SUM.size :]
        if raw[: _SUM.size] != _checksum(content):
            raise DiskCorruptError(
                f"{self._path}: the checksum does not match"
            )
        return content

    def write(self, content):
        """Replace the content; durable on return.

        Raises
        ------
        DiskFailedError
            If it could not be written; the previous content is kept.
        """
        temporary = self._path.with_name(f"{self._path.name}.tmp")
        try:
            with temporary.open("wb") as file:
                file.write(_checksum(content) + content)
                file.flush()
                self._sync(file.fileno())
            temporary.rename(self._path)
            self._sync_folder()
        except OSError as exc:
            raise DiskFailedError(str(exc)) from exc

    def _sync_folder(self):
        flags = os.O_RDONLY | os.O_DIRECTORY
        descriptor = os.open(self._path.parent, flags)
        try:
            self._sync(descriptor)
        finally:
            os.close(descriptor)


def _checksum(content):
    return _SUM.pack(xxhash.xxh64_intdigest(content))
