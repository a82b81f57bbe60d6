"""Durable storage of a replica: its data folder, and small state files."""

from currantdeal.adapters.disk.errors import (
    DiskCorruptError,
    DiskError,
    DiskFailedError,
    DiskFullError,
    FolderLockedError,
)
from currantdeal.adapters.disk.folder import DataFolder
from currantdeal.adapters.disk.inspection import (
    FolderReport,
    inspect_folder,
)
from currantdeal.adapters.disk.replay import read_folder
from currantdeal.adapters.disk.state_file import StateFile

__all__ = [
    "DataFolder",
    "DiskCorruptError",
    "DiskError",
    "DiskFailedError",
    "DiskFullError",
    "FolderLockedError",
    "FolderReport",
    "StateFile",
    "inspect_folder",
    "read_folder",
]
