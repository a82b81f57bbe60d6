"""What decoders of messages and files accept, they can encode again."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from currantdeal.adapters.disk.records import RECORD_CODEC
from currantdeal.adapters.replication.entries import (
    COMMAND_CODEC,
    RESULT_CODEC,
)
from currantdeal.consensus.messages import (
    CONFIGURATION_CODEC,
    MESSAGE_CODEC,
)
from currantdeal.control.deployment_state import DEPLOYMENT_CODEC
from currantdeal.control.record_store import RECORDS_CODEC
from currantdeal.core import Codec, CodecError, LoadReport
from currantdeal.membership.errors import WireError
from currantdeal.membership.home_messages import HOME_CODEC
from currantdeal.membership.load_wire import decode_loads, encode_loads
from currantdeal.membership.messages import Exchange
from currantdeal.membership.tests.builders import build_member
from currantdeal.membership.wire import decode_message, encode_message
from currantdeal.node.errors import SettingsFileError
from currantdeal.node.messages import PEER_CODEC
from currantdeal.node.settings import read_settings
from currantdeal.state import Applied, ClusterState
from currantdeal.state.errors import SnapshotError
from currantdeal.state.fifo import fifo_of
from currantdeal.state.snapshot import decode_state, encode_state

CODECS = {
    "between processes": PEER_CODEC,
    "of replicas": MESSAGE_CODEC,
    "replica set": CONFIGURATION_CODEC,
    "committed state": DEPLOYMENT_CODEC,
    "records of upstreams and crashes": RECORDS_CODEC,
    "log on disk": RECORD_CODEC,
    "homes": HOME_CODEC,
    "commands": COMMAND_CODEC,
    "results": RESULT_CODEC,
}
MESSAGES = [
    pytest.param(codec, cls, id=f"{name}-{cls.__name__}")
    for name, codec in CODECS.items()
    for cls in codec.classes
]
NESTED = b"\x91" * 100_000
CHANGES = st.tuples(
    st.integers(0, 400),
    st.integers(0, 3),
    st.one_of(
        st.binary(max_size=4),
        st.sampled_from((b"\xcf" + b"\xff" * 8, b"\xff", NESTED)),
    ),
)
BOUNDED = settings(max_examples=12, derandomize=True, deadline=None)
THOROUGH = settings(BOUNDED, max_examples=300)

STATE = ClusterState(
    results=Map({"request-1": Applied(version=1)}),
    result_order=fifo_of(("request-1",)),
)

# Messages hold integers of 64 bits.
st.register_type_strategy(int, st.integers(-(2**63), 2**63 - 1))


def _changed(raw, change):
    """Replace bytes of a message at a place."""
    place, removed, inserted = change
    place %= len(raw) + 1
    return raw[:place] + inserted + raw[place + removed :]


def _is_kept(raw, decode, encode, error):
    """Return whether bytes are refused, or mean the same encoded again."""
    try:
        message = decode(raw)
    except error:
        return True
    again = encode(message)
    return encode(decode(again)) == again


@pytest.mark.parametrize(("codec", "cls"), MESSAGES)
@BOUNDED
@given(data=st.data())
def test_an_accepted_message_can_be_encoded(codec, cls, data):
    raw = codec.encode(data.draw(st.from_type(cls)))
    changed = _changed(raw, data.draw(CHANGES))
    assert _is_kept(raw, codec.decode, codec.encode, ())
    assert _is_kept(changed, codec.decode, codec.encode, CodecError)


@pytest.mark.parametrize("codec", CODECS.values(), ids=CODECS)
def test_a_message_that_is_nested_too_deeply_is_refused(codec):
    """Guards against an error that no layer expects of its decoder."""
    name = codec.classes[0].__name__.encode()
    head = b"\x92" + bytes([0xA0 + len(name)]) + name
    with pytest.raises(CodecError):
        codec.decode(head + NESTED)


def test_a_number_of_more_than_64_bits_is_refused():
    """Guards against an error that no layer expects of its encoder."""
    codec = Codec(classes=(LoadReport,))
    with pytest.raises(CodecError):
        codec.encode(LoadReport(upstream_id="d1", incarnation=2**70))


@THOROUGH
@given(change=CHANGES)
def test_an_accepted_datagram_can_be_encoded(change):
    """Guards against a datagram whose error the membership does not expect."""
    message = Exchange(
        sender=build_member(1), rumors=(build_member(2),), reply_wanted=True
    )
    raw = _changed(encode_message(message), change)
    assert _is_kept(raw, decode_message, encode_message, WireError)


@THOROUGH
@given(change=CHANGES)
def test_accepted_load_reports_can_be_encoded(change):
    raw = encode_loads([LoadReport(upstream_id="d1", incarnation=1)])
    changed = _changed(raw, change)
    assert _is_kept(changed, decode_loads, encode_loads, WireError)


@THOROUGH
@given(change=CHANGES)
def test_an_accepted_snapshot_can_be_encoded(change):
    raw = _changed(encode_state(STATE), change)
    assert _is_kept(raw, decode_state, encode_state, SnapshotError)


def test_a_snapshot_with_an_unknown_result_is_refused():
    """Guards against results whose error the state does not expect."""
    raw = encode_state(STATE).replace(b"Applied", b"Unknown")
    with pytest.raises(SnapshotError):
        decode_state(raw)


def test_settings_that_are_nested_too_deeply_are_refused(tmp_path):
    """Guards against a settings file that ends a process at its reload."""
    path = tmp_path / "settings.json"
    path.write_bytes(b'{"other":' + b"[" * 100_000)
    with pytest.raises(SettingsFileError):
        read_settings(path)
