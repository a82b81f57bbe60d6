"""Splitting of a stream's bytes into events."""

import time

import pytest

from currantdeal.entry.events import MAX_EVENT_BYTES, EventSplitter
from currantdeal.policy.answers.answer_end import Position

LINE_ENDS = {"LF": "\n", "CR LF": "\r\n", "CR": "\r"}


def _event(number, line_end):
    lines = (f"id: {number}", f"data: piece {number}", "", "")
    return line_end.join(lines).encode()


@pytest.mark.parametrize("line_end", LINE_ENDS.values(), ids=LINE_ENDS)
@pytest.mark.parametrize("size", [1, 2, 3, 7, 1_000])
def test_pieces_of_any_size_are_split_alike(line_end, size):
    """Guards against events whose ends fall between two reads."""
    body = b"".join(_event(n, line_end) for n in range(1, 5))
    splitter = EventSplitter()
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    assert b"".join(map(splitter.feed, pieces)) == body
    assert (splitter.count, splitter.last_id) == (4, "4")
    assert splitter.position is Position.BETWEEN_EVENTS


@pytest.mark.parametrize("line_end", LINE_ENDS.values(), ids=LINE_ENDS)
def test_each_cut_within_an_event_is_seen(line_end):
    """Guards against a broken-off stream that seems to end between events."""
    first, second = _event(1, line_end), _event(2, line_end)
    for size in range(1, len(second)):
        splitter = EventSplitter()
        splitter.feed(first + second[:size])
        assert splitter.position is Position.WITHIN_EVENT, second[:size]
        assert splitter.last_id == "1"


def test_blank_lines_between_events_belong_to_none():
    """Guards against whole streams that seem to end within an event."""
    splitter = EventSplitter()
    body = b"data: a\n\n\n\r\n"
    assert splitter.feed(body) == body
    assert splitter.position is Position.BETWEEN_EVENTS


@pytest.mark.parametrize("line_end", LINE_ENDS.values(), ids=LINE_ENDS)
@pytest.mark.parametrize("size", [65_536, 700_001, 3_000_000])
def test_event_longer_than_the_buffer(line_end, size):
    """Guards against a long event that counts as complete after a part."""
    long = line_end.join(("id: 2", "data: " + "x" * 2_500_000, "", ""))
    body = _event(1, line_end) + long.encode() + _event(3, line_end)
    splitter = EventSplitter()
    returned = b""
    for at in range(0, len(body), size):
        returned += splitter.feed(body[at : at + size])
        fed = min(len(body), at + size)
        if MAX_EVENT_BYTES + size < fed < 2_500_000:
            assert splitter.position is Position.WITHIN_EVENT
            assert (splitter.last_id, splitter.is_resumable) == ("1", False)
    assert returned == body
    assert (splitter.count, splitter.last_id) == (3, "3")
    assert splitter.position is Position.BETWEEN_EVENTS


def test_part_of_a_long_event_is_no_event():
    """Guards against a stream cut just after a part was passed on."""
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES)
    assert splitter.partial_event == b""
    assert splitter.position is Position.WITHIN_EVENT
    splitter.feed(b"id: 9\n")
    assert splitter.feed(b"\n").endswith(b"\n\n")
    assert (splitter.last_id, splitter.is_resumable) == ("1", True)


@pytest.mark.parametrize(
    "event_id", [b"a\0b", b"a\x0bb", b"a\x1fb", b"7" * 9_000]
)
def test_stream_whose_ids_fit_no_header_is_not_resumable(event_id):
    """Guards against a request for the rest that cannot be encoded."""
    splitter = EventSplitter()
    splitter.feed(b"id: " + event_id + b"\ndata: a\n\n")
    assert (splitter.last_id, splitter.is_resumable) == ("", False)


def test_stream_without_ids_is_not_resumable():
    """Guards against a resumed stream that repeats events."""
    splitter = EventSplitter()
    assert splitter.is_resumable
    splitter.feed(b"data: a\n\ndata: b\n\n")
    assert (splitter.count, splitter.is_resumable) == (2, False)


def test_stream_that_goes_on_after_an_event_may_have_no_more():
    """Guards against the empty rest of a stream that counts as lost."""
    assert EventSplitter().position is Position.BEFORE_FIRST_EVENT
    resumed = EventSplitter(resume_after="7")
    assert resumed.position is Position.BETWEEN_EVENTS


def _time_to_split_s(size_bytes):
    """Return the processor time that one event in small pieces takes."""
    pieces = [b"data: ", *[b"x" * 1_024] * (size_bytes // 1_024)]
    times_s = []
    for _ in range(3):
        splitter = EventSplitter()
        began_s = time.process_time()
        for piece in pieces:
            assert splitter.feed(piece) == b""
        times_s.append(time.process_time() - began_s)
    return min(times_s)


def test_a_long_event_takes_time_in_proportion_to_its_size():
    """Guards against an event in many pieces that blocks other requests."""
    ratio = _time_to_split_s(800_000) / _time_to_split_s(100_000)
    # In proportion it is 8; if each piece is searched with all before it, 64.
    assert ratio < 24.0
