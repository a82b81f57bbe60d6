"""Encodes and scans the records of a file: length, checksums, body.

The header has a checksum of its own, which distinguishes two faults.  If a
file ends within a record whose header is intact, a crash interrupted the
write (torn write), and the record was never acknowledged.  If a complete
record fails its checksum, it was damaged later and may have been
acknowledged.  Without the header's checksum a damaged length would look like
a torn record.
"""

import struct
from dataclasses import dataclass

import xxhash

from currantdeal.adapters.disk.errors import DiskCorruptError
from currantdeal.consensus import SaveEntries, SaveSnapshot, SaveVote
from currantdeal.core import Codec, CodecError

MAGIC = b"currant1"
_HEADER = struct.Struct("<IQ")
_HEADER_SUM = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _HEADER_SUM.size


@dataclass(frozen=True, kw_only=True)
class SegmentStart:
    """First record of a segment.

    Parameters
    ----------
    generation : int
        Number of the segment; increases with every snapshot.
    has_snapshot : bool
        True if a snapshot of the same generation precedes it.
    """

    generation: int
    has_snapshot: bool


RECORD_CODEC = Codec(
    classes=(SegmentStart, SaveVote, SaveEntries, SaveSnapshot)
)


@dataclass(frozen=True, kw_only=True)
class ScannedRecord:
    """A decoded record and its byte range in the file."""

    offset: int
    end: int
    message: SegmentStart | SaveVote | SaveEntries | SaveSnapshot


@dataclass(frozen=True, kw_only=True)
class Scan:
    """Result of scanning a file.

    Parameters
    ----------
    records : tuple of ScannedRecord
        All complete records.
    good_bytes : int
        Length of the file without a torn tail.
    torn_bytes : int
        Length of the torn tail.
    """

    records: tuple[ScannedRecord, ...]
    good_bytes: int
    torn_bytes: int


def encode_record(message, offset):
    """Return the bytes of a record to be written at an offset.

    The offset is the seed of the checksums, so that a record written to a
    wrong place fails the check.
    """
    body = RECORD_CODEC.encode(message)
    header = _HEADER.pack(len(body), _body_sum(body, offset))
    return header + _HEADER_SUM.pack(_header_sum(header, offset)) + body


def scan(raw, *, name):
    """Decode the records in a file's bytes.

    Raises
    ------
    DiskCorruptError
        If a complete record is damaged.
    """
    if raw[: len(MAGIC)] != MAGIC:
        raise DiskCorruptError(f"{name}: not a currantdeal data file")
    records = []
    offset = len(MAGIC)
    while offset < len(raw):
        record = _record_at(raw, offset, name)
        if record is None:
            break
        records.append(record)
        offset = record.end
    return Scan(
        records=tuple(records),
        good_bytes=offset,
        torn_bytes=len(raw) - offset,
    )


def _record_at(raw, offset, name):
    start = offset + HEADER_BYTES
    if start > len(raw):
        return None
    header = raw[offset : offset + _HEADER.size]
    (found,) = _HEADER_SUM.unpack(raw[offset + _HEADER.size : start])
    if found != _header_sum(header, offset):
        raise DiskCorruptError(f"{name}: damaged header at byte {offset}")
    length, body_sum = _HEADER.unpack(header)
    if start + length > len(raw):
        return None
    body = raw[start : start + length]
    if body_sum != _body_sum(body, offset):
        raise DiskCorruptError(f"{name}: damaged record at byte {offset}")
    try:
        message = RECORD_CODEC.decode(body)
    except CodecError as exc:
        raise DiskCorruptError(f"{name}: byte {offset}: {exc}") from exc
    return ScannedRecord(offset=offset, end=start + length, message=message)


def _body_sum(body, offset):
    return xxhash.xxh3_64_intdigest(body, seed=offset)


def _header_sum(header, offset):
    return xxhash.xxh32_intdigest(header, seed=offset & 0xFFFFFFFF)
