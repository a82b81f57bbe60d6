"""Ends of answers: what a caller may conclude from each, with real sockets."""

import asyncio

import pytest

from currantdeal.registry import Stage
from currantdeal.testing.answer_shapes import (
    OPEN_SHAPES,
    Answer,
    Close,
    Received,
    Shape,
    ShapedUpstream,
    events,
    parse_answer,
)
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import EVENTS, StandInUpstream

WHOLE = events(1, EVENTS)
TWO_EVENTS = len(events(1, 2))
LONG_EVENT = b"id: 1\ndata: " + b"x" * 2_500_000 + b"\n\n"

FRAMED_SHAPES = (Shape.LENGTH, Shape.CHUNKS)

WITHIN_AN_EVENT = {
    "first event": (WHOLE, 9),
    "later event": (WHOLE, TWO_EVENTS + 9),
    "last event": (WHOLE, len(WHOLE) - 4),
    "one line end short": (WHOLE, len(WHOLE) - 1),
    "CR LF": (events(1, 6, line_end="\r\n"), TWO_EVENTS + 17),
    "CR LF, one line end short": (
        events(1, 6, line_end="\r\n"),
        len(events(1, 6, line_end="\r\n")) - 2,
    ),
    "CR LF, one byte short": (
        events(1, 6, line_end="\r\n"),
        len(events(1, 6, line_end="\r\n")) - 1,
    ),
    "longer than the buffer": (LONG_EVENT, 1_500_000),
}

NOTE = request_bytes("/note/1", more=GENERATION, close=False)
DRAFT = request_bytes("/draft/1", more=GENERATION, close=False)
MENU = request_bytes("/menu/1", close=False)
ORDER = request_bytes("/order/1", close=False)
CLOSING = {
    "note": request_bytes("/note/1", more=GENERATION),
    "order": request_bytes("/order/1"),
}
REQUESTS = {"note": NOTE, "draft": DRAFT, "menu": MENU, "order": ORDER}


def _http_1_0(request):
    return request.replace(b"HTTP/1.1", b"HTTP/1.0", 1)


class _Scenario:
    """One request to an entry before two upstreams of each service.

    Parameters
    ----------
    answer : Answer
        Answer to the first run.
    second : Answer or None
        Answer to the next run; None for the default one.
    prefill, hold : Answer or None
        Answer to each prefill and to each reservation; None for the default.
    """

    def __init__(self, *, answer, second=None, prefill=None, hold=None):
        self._answers = [answer, second]
        self._prefill = prefill
        self._hold = hold
        self.runs = []
        self._forwarded = answer.forwarded
        self.health = None
        self.metrics = None

    def _answer_to(self, request):
        if request.is_prefill:
            return self._prefill
        if request.target == "/v1/hold-take":
            return self._hold
        if request.is_system_call:
            return None
        self.runs.append(request)
        return self._answers.pop(0) if self._answers else None

    async def play(self, request):
        """Return the ``CallerAnswer`` to a request."""
        upstreams = [
            ShapedUpstream(upstream=name, answer_to=self._answer_to)
            for name in ("u1", "u2", "u3")
        ]
        prefill = ShapedUpstream(upstream="p1", answer_to=self._answer_to)
        async with entry_world() as world:
            for standin in (prefill, *upstreams):
                await standin.start()
            world.announce(prefill, service="model", stage=Stage.PREFILL)
            for standin in upstreams:
                if b"/menu/" in request or b"/order/" in request:
                    world.announce(standin)
                else:
                    world.announce(
                        standin, service="model", stage=Stage.DECODE
                    )
            raw = await self._exchange(world, request)
            await asyncio.sleep(0.05)
            self.metrics = world.context.metrics.render()[1]
        return parse_answer(raw)

    async def _exchange(self, world, request):
        """Return what a caller receives until the answer or connection ends.

        A framed answer leaves the connection open, which the end of the idle
        time would close.
        """
        reader, writer = await world.send(request)
        raw = b""
        try:
            async with asyncio.timeout(5.0):
                while data := await reader.read(1 << 20):
                    raw += data
                    if self._forwarded and raw.partition(b"\r\n\r\n")[2]:
                        self._forwarded.set()
                    if _is_framed_end(raw):
                        break
        except ConnectionError:
            raw += b"<reset>"
        writer.close()
        return raw


def _is_framed_end(raw):
    head, found, _ = raw.partition(b"\r\n\r\n")
    head = head.lower()
    framed = b"content-length" in head or b"transfer-encoding" in head
    return (
        bool(found) and framed and parse_answer(raw).received is Received.WHOLE
    )


def _play(request, **answers):
    scenario = _Scenario(**answers)
    return scenario, asyncio.run(scenario.play(request))


@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("kind", ["note", "draft"])
def test_whole_stream_arrives_whole(kind, shape):
    """Guards against whole streams that are cut for want of a framing."""
    scenario, answer = _play(
        REQUESTS[kind], answer=Answer(body=WHOLE, shape=shape)
    )
    expected = Received.WHOLE if shape in FRAMED_SHAPES else Received.OPEN
    assert answer.received is expected
    assert (answer.status, answer.body) == (200, WHOLE)
    assert len(scenario.runs) == 1


@pytest.mark.parametrize("close", Close)
@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("case", WITHIN_AN_EVENT)
def test_stream_that_ends_within_an_event_is_cut(case, shape, close):
    """Guards against a broken-off stream that looks complete."""
    body, sent = WITHIN_AN_EVENT[case]
    _, answer = _play(
        NOTE, answer=Answer(body=body, sent=sent, shape=shape, close=close)
    )
    if answer.status == 200:
        assert answer.received is Received.CUT
        assert body.startswith(answer.body)
    else:
        assert answer.status == 502


@pytest.mark.parametrize("shape", Shape)
def test_stream_that_is_reset_between_events_is_cut(shape):
    """Guards against a reset that is taken for an orderly end."""
    _, answer = _play(
        NOTE,
        answer=Answer(
            body=WHOLE, sent=TWO_EVENTS, shape=shape, close=Close.RESET
        ),
    )
    assert (answer.status, answer.received) == (200, Received.CUT)
    assert answer.body == WHOLE[:TWO_EVENTS]


@pytest.mark.parametrize("shape", Shape)
def test_stream_closed_between_events_is_not_stated_whole(shape):
    """Guards against a framing that states what nobody can know."""
    _, answer = _play(
        NOTE,
        answer=Answer(
            body=WHOLE, sent=TWO_EVENTS, shape=shape, close=Close.FIN
        ),
    )
    expected = Received.CUT if shape in FRAMED_SHAPES else Received.OPEN
    assert (answer.status, answer.received) == (200, expected)
    assert answer.body == WHOLE[:TWO_EVENTS]


@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_stream_closed_before_its_first_event_fails(shape):
    """Guards against an empty answer for a generation that never started."""
    _, answer = _play(NOTE, answer=Answer(body=WHOLE, sent=0, shape=shape))
    assert answer.status == 502


@pytest.mark.parametrize("close", Close)
@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("case", WITHIN_AN_EVENT)
def test_broken_off_stream_is_resumed_once_and_exactly(case, shape, close):
    """Guards against resumable streams that are given up or joined wrongly."""
    body, sent = WITHIN_AN_EVENT[case]
    is_long = case == "longer than the buffer"
    scenario, answer = _play(
        DRAFT,
        answer=Answer(
            body=body,
            sent=sent,
            shape=shape,
            close=close,
            # A reset discards what the entry has not read.
            forwarded=asyncio.Event() if is_long else None,
        ),
    )
    if is_long:
        # A part of the event has been forwarded, and no other run goes on
        # within an event.
        assert (answer.received, len(scenario.runs)) == (Received.CUT, 1)
        assert body.startswith(answer.body)
        return
    is_open = shape in OPEN_SHAPES and case != "first event"
    expected = Received.OPEN if is_open else Received.WHOLE
    assert (answer.status, answer.received) == (200, expected)
    assert answer.body.replace(b"\r\n", b"\n") == WHOLE
    assert len(scenario.runs) == 2


@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_resumed_run_does_not_state_more_than_it_knows(shape):
    """Guards against the end of a resumed run that is taken for the whole."""
    scenario, answer = _play(
        DRAFT,
        answer=Answer(body=WHOLE, sent=TWO_EVENTS + 9, close=Close.FIN),
        second=Answer(body=events(3, EVENTS), shape=shape),
    )
    assert (answer.status, answer.received) == (200, Received.CUT)
    assert answer.body == WHOLE
    assert len(scenario.runs) == 2


@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_resumed_run_that_breaks_off_is_cut(shape):
    """Guards against a second broken-off run that looks complete."""
    _, answer = _play(
        DRAFT,
        answer=Answer(body=WHOLE, sent=TWO_EVENTS + 9, shape=shape),
        second=Answer(body=events(3, EVENTS), sent=9, shape=shape),
    )
    assert (answer.status, answer.received) == (200, Received.CUT)
    assert answer.body == WHOLE[:TWO_EVENTS]


@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_lost_open_run_counts_like_any_other(shape):
    """Guards against crashes that health and the crash book do not see."""
    scenario, _ = _play(
        NOTE, answer=Answer(body=WHOLE, sent=TWO_EVENTS + 9, shape=shape)
    )
    assert b"runs_lost_total" in scenario.metrics


@pytest.mark.parametrize("crashes", [True, False])
@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_crash_that_closes_in_order_is_seen(shape, crashes):
    """Guards against a crash book without crashes between two events."""
    scenario, _ = _play(
        NOTE,
        answer=Answer(
            body=WHOLE, sent=TWO_EVENTS, shape=shape, crashes=crashes
        ),
    )
    lost = b'runs_lost_total{crashed="true"}' in scenario.metrics
    assert lost is crashes


async def _crash_repeatedly(kind, shape, requests, *, status=200):
    """Return the statuses of one request that crashes each upstream."""
    sent = 0 if (kind, status) == ("note", 200) else None

    def answer_to(request):
        if request in prefill.requests or request.target.startswith("/v1/"):
            return None
        return Answer(
            body=WHOLE, sent=sent, shape=shape, status=status, crashes=True
        )

    prefill = StandInUpstream(upstream="p1")
    engines = [
        ShapedUpstream(upstream=f"u{number}", answer_to=answer_to)
        for number in range(requests)
    ]
    statuses = []
    async with entry_world() as world:
        for standin in (prefill, *engines):
            await standin.start()
        if kind == "note":
            world.announce_engines(prefill, *engines)
        else:
            for standin in engines:
                world.announce(standin)
        for _ in range(requests):
            raw = await world.exchange(CLOSING[kind])
            statuses.append(parse_answer(raw).status)
            # The check for a crash runs in the background.
            await asyncio.sleep(0.1)
    return statuses


@pytest.mark.parametrize("kind", ["note", "order"])
@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_crashes_that_close_in_order_lead_to_quarantine(shape, kind):
    """Guards against a query of death whose crashes look like answers."""
    answered = 502 if kind == "note" else 200
    statuses = asyncio.run(_crash_repeatedly(kind, shape, 5))
    assert statuses == [answered] * 3 + [429] * 2


@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_crashes_behind_open_errors_lead_to_quarantine(shape):
    """Guards against an error's open end that counts as a completed run."""
    statuses = asyncio.run(_crash_repeatedly("note", shape, 5, status=500))
    assert statuses == [500] * 3 + [429] * 2


@pytest.mark.parametrize("shape", [Shape.CHUNKS, *OPEN_SHAPES])
def test_stream_to_an_http_1_0_caller_is_cut(shape):
    """Guards against a caller without chunks that takes a cut for an end."""
    request = _http_1_0(NOTE)
    broken = Answer(body=WHOLE, sent=TWO_EVENTS + 9, shape=shape)
    assert _play(request, answer=broken)[1].received is Received.CUT
    whole = _play(request, answer=Answer(body=WHOLE, shape=shape))[1]
    assert (whole.received, whole.body) == (Received.OPEN, WHOLE)


@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("kind", ["menu", "order"])
def test_whole_plain_answer_arrives_whole(kind, shape):
    """Guards against plain answers that are stated whole without a framing."""
    scenario, answer = _play(
        REQUESTS[kind],
        answer=Answer(body=b"a menu", shape=shape, content_type="text/plain"),
    )
    expected = Received.WHOLE if shape in FRAMED_SHAPES else Received.OPEN
    assert answer.received is expected
    assert (answer.status, answer.body) == (200, b"a menu")
    assert len(scenario.runs) == 1


@pytest.mark.parametrize("close", [Close.FIN, Close.RESET])
@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("kind", ["menu", "order"])
def test_plain_answer_that_breaks_off(kind, shape, close):
    """Guards against a short plain answer that looks complete."""
    short = Answer(
        body=b"a menu",
        sent=3,
        shape=shape,
        close=close,
        content_type="text/plain",
    )
    scenario, answer = _play(REQUESTS[kind], answer=short)
    if shape in OPEN_SHAPES and close is Close.FIN:
        assert (answer.received, answer.body) == (Received.OPEN, b"a m")
    elif kind == "menu":
        assert (answer.received, answer.body) == (Received.WHOLE, b"ok")
        assert len(scenario.runs) == 2
    else:
        assert (answer.status, len(scenario.runs)) == (502, 1)


@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("kind", ["menu", "order"])
def test_events_of_a_plain_answer_that_end_within_one(kind, shape):
    """Guards against a buffered stream that ends within an event."""
    short = Answer(body=WHOLE, sent=TWO_EVENTS + 9, shape=shape)
    scenario, answer = _play(REQUESTS[kind], answer=short)
    if kind == "menu":
        assert (answer.received, answer.body) == (Received.WHOLE, b"ok")
        assert len(scenario.runs) == 2
    else:
        assert (answer.status, len(scenario.runs)) == (502, 1)


@pytest.mark.parametrize("kind", ["note", "menu", "order"])
@pytest.mark.parametrize("shape", OPEN_SHAPES)
def test_open_error_answer_is_not_stated_whole(shape, kind):
    """Guards against an error's body that is framed as complete."""
    error = Answer(
        body=b"it failed",
        shape=shape,
        status=500,
        content_type="text/plain",
    )
    _, answer = _play(REQUESTS[kind], answer=error, second=error)
    assert (answer.status, answer.received) == (500, Received.OPEN)
    assert answer.body == b"it failed"


@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("sent", [None, 12])
def test_answer_to_a_prefill(shape, sent):
    """Guards against a handle that is read from a part of its message."""
    body = b'{"KvHandle": "kv-1", "Tokens": 9, "Version": 1}'
    handle = Answer(
        body=body, sent=sent, shape=shape, content_type="application/json"
    )
    scenario, answer = _play(NOTE, answer=Answer(body=WHOLE), prefill=handle)
    assert (answer.received, answer.body) == (Received.WHOLE, WHOLE)
    source = scenario.runs[0].get("X-Currantdeal-Kv-Source")
    assert source.endswith("/kv-1") is (sent is None)


@pytest.mark.parametrize("shape", Shape)
@pytest.mark.parametrize("sent", [None, 12])
def test_answer_to_a_reservation(shape, sent):
    """Guards against a reservation that is read from a part of its message."""
    grant = Answer(
        body=b'{"Hold": "hold-1"}',
        sent=sent,
        shape=shape,
        content_type="application/json",
    )
    scenario, answer = _play(NOTE, answer=Answer(body=WHOLE), hold=grant)
    if sent is None:
        assert (answer.received, answer.body) == (Received.WHOLE, WHOLE)
        assert scenario.runs[0].get("X-Currantdeal-Kv-Hold") == "hold-1"
    else:
        assert (answer.status, scenario.runs) == (503, [])


@pytest.mark.parametrize("shape", Shape)
def test_answer_without_events_is_not_split(shape):
    """Guards against a generation's plain answer taken for a stream."""
    body = b'{"text": "a\\n\\nb"}\n\nrest'
    answer = _play(
        NOTE,
        answer=Answer(body=body, shape=shape, content_type="application/json"),
    )[1]
    expected = Received.WHOLE if shape in FRAMED_SHAPES else Received.OPEN
    assert (answer.received, answer.body) == (expected, body)
