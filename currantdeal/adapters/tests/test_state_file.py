import errno

import pytest

from currantdeal.adapters.disk import (
    DiskCorruptError,
    DiskFailedError,
    StateFile,
)


def test_corrupt_content_is_rejected(tmp_path):
    """Guards against reading records that the disk has corrupted."""
    path = tmp_path / "state"
    StateFile(path=path).write(b"known requests")
    raw = bytearray(path.read_bytes())
    raw[-1] ^= 1
    path.write_bytes(raw)
    with pytest.raises(DiskCorruptError):
        StateFile(path=path).read()


@pytest.mark.parametrize("length", [0, 1, 8, 9])
def test_truncated_content_is_rejected(tmp_path, length):
    """Guards against reading a torn write as a complete file."""
    path = tmp_path / "state"
    StateFile(path=path).write(b"known requests")
    path.write_bytes(path.read_bytes()[:length])
    with pytest.raises(DiskCorruptError):
        StateFile(path=path).read()


def test_previous_content_is_kept_when_a_write_fails(tmp_path):
    """Guards against losing the records when the disk is full."""
    path = tmp_path / "state"
    StateFile(path=path).write(b"before")

    def full(descriptor):
        raise OSError(errno.ENOSPC, "no space left on device")

    with pytest.raises(DiskFailedError):
        StateFile(path=path, sync=full).write(b"after")
    assert StateFile(path=path).read() == b"before"
