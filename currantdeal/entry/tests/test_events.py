"""Splitting of a stream's bytes into events."""

import pytest

from currantdeal.entry.events import EventSplitter
from currantdeal.policy.answer_end import Position

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
