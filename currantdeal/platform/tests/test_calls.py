import pytest

from currantdeal.node.head import RequestHead, ResponseHead
from currantdeal.platform import headers as header_names
from currantdeal.platform.calls import PlatformCalls


def _shared_parts(value):
    head = RequestHead(
        method="POST",
        target="/",
        headers=((b"x-currantdeal-prefix-hash", value),),
    )
    return PlatformCalls().read_caller(head).shared_parts


def test_health_check_uses_the_configured_path():
    call = PlatformCalls().check_health("10.0.0.1:80", "/healthz")
    assert (call.method, call.target) == ("GET", "/healthz")


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"", ()),
        (b"5c1e:800", ()),
        (b"5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        (b"5C1E:800, 91bd:410 ,5c1e:9,e440:250", ("5c1e", "91bd")),
        (b"5c1e,\xff:1,:4,91bd:-1,91bd:410,e440", ("91bd",)),
        (b",,,", ()),
    ],
)
def test_shared_parts_are_the_well_formed_ones_before_the_last(value, parts):
    assert _shared_parts(value) == parts


def test_number_of_shared_parts_is_bounded():
    """Guards against memory and messages that grow with a long header."""
    value = b",".join(b"%x:1" % n for n in range(10_000))
    assert len(_shared_parts(value)) == 16


@pytest.mark.parametrize(
    ("text", "pace"),
    [("3,1,8", None), ("3, 1, 8, 250", 2.5), ("3,1,8,soon", None)],
)
def test_load_is_read_with_and_without_a_pace(text, pace):
    """Guards against a load that is lost because of a fourth figure."""
    head = ResponseHead(
        status=200, headers=((header_names.LOAD, text.encode()),)
    )
    load = PlatformCalls().read_response(head).load
    assert (load.running, load.waiting, load.slots) == (3, 1, 8)
    assert load.pace == pace


@pytest.mark.parametrize("text", ["", "3,1", "3,1,x", "3,1,8,100,5"])
def test_malformed_load_is_ignored(text):
    head = ResponseHead(
        status=200, headers=((header_names.LOAD, text.encode()),)
    )
    assert PlatformCalls().read_response(head).load is None
