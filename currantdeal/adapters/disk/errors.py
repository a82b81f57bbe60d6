"""Errors of the data folder."""

from currantdeal.adapters.errors import AdapterError


class DiskError(AdapterError):
    """Base of the data folder's errors."""


class DiskCorruptError(DiskError):
    """The folder's files contradict their checksums or each other.

    Nothing is repaired by guess: what was acknowledged may be among the
    damaged records.  The replica is to be replaced by an empty one, which
    learns from the others.
    """


class DiskFullError(DiskError):
    """There is no room; nothing was written, and a retry may succeed."""


class DiskFailedError(DiskError):
    """A write or sync failed; what is on disk is not known any more."""


class FolderLockedError(DiskError):
    """Another process uses the folder."""
