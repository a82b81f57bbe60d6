"""The table of ends of answers, without network or time."""

import itertools

import pytest

from currantdeal.policy.answers.answer_end import (
    Completeness,
    Ending,
    Framing,
    Position,
    completeness,
    framing_of,
    framing_of_buffered,
    framing_of_stream,
    may_end,
    orderly_ending,
)

WHOLE, UNKNOWN, BROKEN_OFF = Completeness

CHUNKED = (b"transfer-encoding", b"chunked")
SIZED = (b"content-length", b"5")


@pytest.mark.parametrize(
    ("method", "status", "headers", "expected"),
    [
        ("GET", 200, (SIZED,), Framing.LENGTH),
        ("GET", 200, (CHUNKED,), Framing.CHUNKS),
        ("GET", 200, (SIZED, CHUNKED), Framing.CHUNKS),
        ("GET", 200, (), Framing.CONNECTION),
        ("POST", 500, (), Framing.CONNECTION),
        ("HEAD", 200, (), Framing.LENGTH),
        ("HEAD", 200, (CHUNKED,), Framing.LENGTH),
        ("GET", 204, (), Framing.LENGTH),
        ("GET", 304, (), Framing.LENGTH),
    ],
)
def test_framing_of_a_response(method, status, headers, expected):
    found = framing_of(method=method, status=status, headers=headers)
    assert found is expected


RECEIVED = [
    (framing, ending, position)
    for framing, ending, position in itertools.product(
        Framing, Ending, Position
    )
    if (framing, ending) != (Framing.CONNECTION, Ending.FRAMED)
]


@pytest.mark.parametrize(("framing", "ending", "position"), RECEIVED)
def test_completeness_is_never_more_than_what_is_known(
    framing, ending, position
):
    """Guards against an answer that counts as whole without a proof."""
    found = completeness(framing, ending, position)
    if ending is Ending.LOST or position is Position.WITHIN_EVENT:
        assert found is BROKEN_OFF
    elif ending is Ending.FRAMED:
        assert found is WHOLE
    else:
        is_open = framing is Framing.CONNECTION
        has_begun = position is not Position.BEFORE_FIRST_EVENT
        assert found is (UNKNOWN if is_open and has_begun else BROKEN_OFF)


def test_an_answer_without_framing_cannot_end_as_framed():
    with pytest.raises(ValueError, match="has no end"):
        completeness(
            Framing.CONNECTION, Ending.FRAMED, Position.BETWEEN_EVENTS
        )


@pytest.mark.parametrize("framing", Framing)
def test_ending_of_an_answer_that_was_received_to_its_end(framing):
    found = completeness(
        framing, orderly_ending(framing), Position.BETWEEN_EVENTS
    )
    assert found is (UNKNOWN if framing is Framing.CONNECTION else WHOLE)


@pytest.mark.parametrize("first", Framing)
@pytest.mark.parametrize("last", Completeness)
@pytest.mark.parametrize("reads_chunks", [True, False])
def test_caller_is_told_no_more_than_is_known(first, last, reads_chunks):
    """Guards against an end that states an unknown answer to be whole."""
    framing = framing_of_stream(first, reads_chunks=reads_chunks)
    assert framing is not Framing.CHUNKS or reads_chunks
    if framing is Framing.CHUNKS:
        assert may_end(framing, last) is (last is WHOLE)
    else:
        assert may_end(framing, last) is (last is not BROKEN_OFF)


def test_framing_of_a_buffered_answer():
    """Guards against a length for an answer that may be incomplete."""
    assert framing_of_buffered(WHOLE) is Framing.LENGTH
    assert framing_of_buffered(UNKNOWN) is Framing.CONNECTION
    with pytest.raises(ValueError, match="broken off"):
        framing_of_buffered(BROKEN_OFF)
