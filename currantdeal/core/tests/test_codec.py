import pytest

from currantdeal.core import Codec, CodecError, Label, Work

CODEC = Codec(classes=(Label,))


def test_only_registered_classes_are_encoded():
    with pytest.raises(CodecError):
        CODEC.encode(object())


@pytest.mark.parametrize("raw", [b"", b"\x93", b"\x92\xa5Other\x80"])
def test_undecodable_bytes_are_rejected(raw):
    with pytest.raises(CodecError):
        CODEC.decode(raw)


def test_unknown_class_is_rejected():
    raw = Codec(classes=(Label, Work)).encode(Label(name="a"))
    with pytest.raises(CodecError):
        Codec(classes=(Work,)).decode(raw)
