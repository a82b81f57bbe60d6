import errno

import pytest

from currantdeal.adapters.disk import (
    DiskCorruptError,
    DiskFailedError,
    StateFile,
)


def test_damaged_content_is_not_believed(tmp_path):
    """Guards against records that a disk has changed."""
    path = tmp_path / "state"
    StateFile(path=path).write(b"known requests")
    raw = bytearray(path.read_bytes())
    raw[-1] ^= 1
    path.write_bytes(raw)
    with pytest.raises(DiskCorruptError):
        StateFile(path=path).read()


@pytest.mark.parametrize("length", [0, 1, 8, 9])
def test_torn_content_is_not_believed(tmp_path, length):
    """Guards against a part of the records that looks whole."""
    path = tmp_path / "state"
    StateFile(path=path).write(b"known requests")
    path.write_bytes(path.read_bytes()[:length])
    with pytest.raises(DiskCorruptError):
        StateFile(path=path).read()


def test_content_before_is_kept_when_a_write_fails(tmp_path):
    """Guards against a full disk that takes away what was known."""
    path = tmp_path / "state"
    StateFile(path=path).write(b"before")

    def full(descriptor):
        raise OSError(errno.ENOSPC, "no space left on device")

    with pytest.raises(DiskFailedError):
        StateFile(path=path, sync=full).write(b"after")
    assert StateFile(path=path).read() == b"before"
