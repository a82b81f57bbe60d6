"""Errors of the data folder."""

from currantdeal.adapters.errors import AdapterError


class DiskError(AdapterError):
    """Base class of the data folder's errors."""


class DiskCorruptError(DiskError):
    """The folder's files fail their checksums or are inconsistent.

    No repair is attempted, because the damaged records may contain
    acknowledged entries.  Replace the replica by an empty one, which catches
    up from the others.
    """


class DiskFullError(DiskError):
    """The disk is full; nothing was written, and a retry may succeed."""


class DiskFailedError(DiskError):
    """A write or sync failed; the content of the disk is now unknown."""


class FolderLockedError(DiskError):
    """Another process holds the folder's lock."""
