"""What decoders of outside bytes accept can be passed on wherever it goes."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.core.errors import DialectError
from currantdeal.node.answer_parser import AnswerParser
from currantdeal.node.dialect import ForwardingOptions, StageOrder
from currantdeal.node.extra_answers import ExtraAnswerLog
from currantdeal.node.head import RequestHead
from currantdeal.node.messages import UpstreamsNotice
from currantdeal.node.peers import FrameKind, pack_frame
from currantdeal.platform.calls import PlatformCalls
from currantdeal.platform.control import PlatformControl
from currantdeal.registry import Stage

CONTROL = PlatformControl()
BOUNDED = settings(max_examples=150, derandomize=True, deadline=None)

TEXTS = st.one_of(
    st.text(max_size=20),
    st.sampled_from(
        ("", " ", "a b", "a\r\nX: y", "\x00", "\ufffd", "\ud800", "a/b", "?")
    ),
)
NUMBERS = st.one_of(
    st.integers(),
    st.floats(allow_nan=False),
    st.sampled_from((-1, 2**63, 10**40, 1e300)),
)
VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), TEXTS, NUMBERS),
    lambda inner: st.one_of(
        st.lists(inner, max_size=2), st.dictionaries(TEXTS, inner, max_size=2)
    ),
    max_leaves=4,
)
HEARTBEATS = st.fixed_dictionaries(
    {},
    optional={
        "Service": st.one_of(st.just("model"), VALUES),
        "Address": st.one_of(st.just("10.0.0.1:80"), VALUES),
        "Zone": st.one_of(st.just("a"), VALUES),
        "Slots": st.one_of(st.just(4), VALUES),
        "State": st.one_of(st.just("ready"), VALUES),
        "Sequence": st.one_of(st.just(1), VALUES),
        "born": st.one_of(st.just(1_000), VALUES),
        "Version": VALUES,
        "ColdRemainingMs": VALUES,
        "Stage": st.one_of(st.just("prefill"), VALUES),
    },
)
VALID = {
    "Service": "model",
    "Address": "10.0.0.1:80",
    "Zone": "a",
    "Slots": 4,
    "State": "ready",
    "Sequence": 1,
    "born": 1_000,
}


def _send(outgoing):
    """Encode a request as a connection does."""
    parser = AnswerParser(
        address="u", extra_answers=ExtraAnswerLog(), clock=lambda: 0.0
    )
    return parser.begin(outgoing)


def _pass_on(record):
    """Encode a record for each place that it goes to."""
    calls = PlatformCalls()
    order = StageOrder(
        upstream=record.upstream,
        stage=Stage.DECODE,
        holder="c1",
        fencing_number=1,
    )
    _send(calls.change_stage(record.address, order))
    _send(
        calls.reserve(
            record.address, tokens=1, hold_s=1.0, upstream=record.upstream
        )
    )
    head = RequestHead(
        method="GET", target="/", headers=((b"host", b"cakes.example"),)
    )
    options = ForwardingOptions(upstream=record.upstream, time_left_s=1.0)
    _send(calls.outgoing(head, b"", options))
    pack_frame(FrameKind.NOTICE, 0, UpstreamsNotice(upstreams=(record,)))


def _announce(target, body):
    """Return the record of a heartbeat, or None if it is refused."""
    head = RequestHead(method="PUT", target=target, headers=())
    try:
        operation = CONTROL.read_operation(head)
        if operation is None:
            return None
        return CONTROL.read_announcement(operation.upstream, body)
    except DialectError:
        return None


@BOUNDED
@given(
    name=st.text(
        alphabet=st.characters(min_codepoint=33, max_codepoint=126), max_size=9
    ),
    content=HEARTBEATS,
)
def test_an_accepted_heartbeat_can_be_passed_on(name, content):
    """Guards against a record that ends each process that uses it."""
    body = json.dumps(content).encode()
    record = _announce(f"/v1/instances/{name}", body)
    if record is not None:
        _pass_on(record)


@pytest.mark.parametrize(
    "name", ["%ff%fe%fd", "%00", "%0d%0aX:1", "%F0%9F%8D%B0", "%20", "", "%80"]
)
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_an_instance_id_that_is_no_name_is_refused(method, name):
    """Guards against an id that fits into no header of a request."""
    head = RequestHead(
        method=method, target=f"/v1/instances/{name}", headers=()
    )
    with pytest.raises(DialectError):
        CONTROL.read_operation(head)
    assert _announce(head.target, json.dumps(VALID).encode()) is None


@BOUNDED
@given(raw=st.binary(max_size=60))
def test_bytes_in_place_of_an_answer_are_refused(raw):
    """Guards against an exception that is no error of the dialect."""
    calls = PlatformCalls()
    for read in (calls.read_reservation, calls.read_prefill):
        with pytest.raises(DialectError):
            read(raw)
    assert _announce("/v1/instances/i-1", raw) is None


@BOUNDED
@given(name=TEXTS)
def test_an_accepted_handle_or_reservation_can_be_sent(name):
    """Guards against a handle that adds a header or names another path."""
    calls = PlatformCalls()
    body = json.dumps({"Hold": name, "KvHandle": name}).encode()
    try:
        hold, handle = calls.read_reservation(body), calls.read_prefill(body)
    except DialectError:
        return
    head = RequestHead(
        method="GET", target="/", headers=((b"host", b"cakes.example"),)
    )
    options = ForwardingOptions(
        upstream="u",
        time_left_s=1.0,
        reservation=hold,
        kv_source=f"10.0.0.1:80/{handle}",
    )
    _send(calls.outgoing(head, b"", options))
    for call in (
        calls.release_reservation("u", hold),
        calls.release_prefill("u", handle),
    ):
        _send(call)
        assert call.target.count("/") == 3
        assert not set(call.target) & set("?#%")
