"""Reports on a data folder to operators, without changing it."""

from dataclasses import dataclass
from pathlib import Path

from currantdeal.adapters.disk.errors import DiskError
from currantdeal.adapters.disk.replay import read_folder


@dataclass(frozen=True, kw_only=True)
class FolderReport:
    """Summary of a data folder's content.

    Parameters
    ----------
    blank : bool
        True if the replica has no state and has to catch up.
    torn_bytes : int
        Length of a torn tail, left by a crash; truncated at the next start.
    """

    generation: int
    term: int
    voted_for: str
    blank: bool
    snapshot_index: int
    snapshot_bytes: int
    last_index: int
    records: int
    segment_bytes: int
    torn_bytes: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


def inspect_folder(path):
    """Return a report; verifies the checksum of every record.

    Raises
    ------
    DiskError
        If the folder does not exist, is empty, or is damaged.
    """
    content = _read(path)
    stored = content.stored
    snapshot = stored.snapshot
    start = snapshot.index if snapshot else 0
    return FolderReport(
        generation=content.generation,
        term=stored.term,
        voted_for=stored.voted_for or "",
        blank=snapshot is None,
        snapshot_index=start,
        snapshot_bytes=len(snapshot.data) if snapshot else 0,
        last_index=stored.entries[-1].index if stored.entries else start,
        records=content.records,
        segment_bytes=content.good_bytes,
        torn_bytes=content.torn_bytes,
        voters=snapshot.configuration.voter_names if snapshot else (),
        learners=snapshot.configuration.learner_names if snapshot else (),
    )


def _read(path):
    if not Path(path).is_dir():
        raise DiskError(f"{path} is not a folder")
    content = read_folder(path)
    if content is None:
        raise DiskError(f"{path} contains no log segment of a replica")
    return content
