"""The one data folder of a replica."""

from currantdeal.adapters.disk.errors import (
    DiskCorruptError,
    DiskError,
    DiskFailedError,
    DiskFullError,
    FolderLockedError,
)
from currantdeal.adapters.disk.folder import DataFolder, read_folder
from currantdeal.adapters.disk.inspection import (
    FolderReport,
    inspect_folder,
)

__all__ = [
    "DataFolder",
    "DiskCorruptError",
    "DiskError",
    "DiskFailedError",
    "DiskFullError",
    "FolderLockedError",
    "FolderReport",
    "inspect_folder",
    "read_folder",
]
