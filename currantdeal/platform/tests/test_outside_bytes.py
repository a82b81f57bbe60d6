"""What decoders of outside bytes accept can be passed on wherever it goes."""

import json
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantdeal.control.demand_tracker import DemandTracker
from currantdeal.core.errors import DialectError
from currantdeal.node.answer_parser import AnswerParser
from currantdeal.node.dialect import ForwardingOptions, StageOrder
from currantdeal.node.extra_answers import ExtraAnswerLog
from currantdeal.node.head import RequestHead, ResponseHead
from currantdeal.node.messages import UpstreamsNotice
from currantdeal.node.peers import FrameKind, pack_frame
from currantdeal.platform import headers as header_names
from currantdeal.platform.calls import PlatformCalls
from currantdeal.platform.control import PlatformControl
from currantdeal.policy.memory.decode_memory import (
    GenerationSize,
    tokens_to_reserve,
)
from currantdeal.registry import Stage
from currantdeal.routing import InvalidConfigError, RouteTable, check_config
from currantdeal.testing.entry_world import config_body

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


ANSWER_HEADERS = (
    header_names.INSTANCE,
    header_names.LOAD,
    header_names.RATE_LIMIT,
    header_names.SIGNATURE,
    b"content-type",
)
HEADER_VALUES = st.one_of(
    st.binary(max_size=20).map(
        lambda raw: bytes(b for b in raw if b > 31 and b != 127).strip()
    ),
    st.sampled_from(
        (b"", b"-1", b"1e400", b"nan", b"9" * 40, b"3,4", b"\xb2")
    ),
)
CALLER_HEADERS = st.dictionaries(
    st.sampled_from(
        (
            header_names.REQUEST_ID,
            header_names.DEADLINE,
            header_names.TOKEN_COUNTS,
            header_names.LENGTH_HINT,
            header_names.LAST_EVENT_ID,
            header_names.AUTHORIZATION,
            header_names.KV_SOURCE,
            b"connection",
            b"x-other",
        )
    ),
    HEADER_VALUES,
)


@BOUNDED
@given(headers=CALLER_HEADERS)
def test_an_accepted_request_can_be_sent(headers):
    """Guards against a header of a caller that closes its own connection."""
    calls = PlatformCalls()
    head = RequestHead(
        method="GET",
        target="/",
        headers=((b"host", b"cakes.example"), *headers.items()),
    )
    try:
        call = calls.read_caller(head)
    except DialectError:
        return
    options = ForwardingOptions(
        upstream="u", time_left_s=1.0, resume_after=call.resume_after
    )
    _send(calls.outgoing(head, b"", options))


@BOUNDED
@given(headers=st.dictionaries(st.sampled_from(ANSWER_HEADERS), HEADER_VALUES))
def test_each_head_of_an_answer_can_be_read(headers):
    """Guards against an answer that raises where it is read."""
    head = ResponseHead(status=200, headers=tuple(headers.items()))
    metadata = PlatformCalls().read_response(head)
    assert metadata.limit_per_s is None or metadata.limit_per_s >= 0.0


CONFIG = json.loads(config_body())


@BOUNDED
@given(data=st.data())
def test_an_accepted_configuration_can_be_used(data):
    """Guards against a configuration that ends whoever applies it."""
    config = json.loads(json.dumps(CONFIG))
    parts = (
        config["Limits"],
        *config["Routes"],
        *config["Services"],
        config["Services"][1]["Engine"],
        config,
    )
    for _ in range(data.draw(st.integers(1, 3))):
        part = data.draw(st.sampled_from(parts))
        part[data.draw(st.sampled_from(sorted(part)))] = data.draw(VALUES)
    body = json.dumps(config).encode()
    try:
        decoded = CONTROL.read_config(body)
        check_config(decoded)
    except (DialectError, InvalidConfigError):
        return
    table = RouteTable(config=decoded)
    table.find("cakes.example", "/menu/1")
    calls = PlatformCalls()
    for service in table.services:
        _send(calls.check_health("10.0.0.1:80", service.health_path))
        _use_engine(calls, service)


def _use_engine(calls, service):
    tracker = DemandTracker(clock=lambda: 0.0)
    tracker.update_config(SimpleNamespace(services=(service,)))
    tracker.switch_s(service.name)
    if service.engine is not None:
        size = GenerationSize(
            prompt_tokens=9, max_output_tokens=9, expected_output_tokens=0
        )
        _send(
            calls.reserve(
                "10.0.0.1:80",
                tokens=tokens_to_reserve(size, service.engine.kv_tokens),
                hold_s=service.engine.hold_s,
                upstream="u",
            )
        )
