"""Bounds on the memory of the answers that are being received."""

from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from currantdeal.node.buffered_answers import (
    MEASURE_INTERVAL_S,
    SHARED_PART,
    SLOW_S,
    BufferedAnswers,
)

LIMIT_BYTES = 100


@dataclass(eq=False, kw_only=True)
class _Connection:
    given_up: list = field(default_factory=list)

    def give_up(self):
        self.given_up.append(self)


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 2 * LIMIT_BYTES)),
        max_size=60,
    )
)
def test_answers_never_exceed_the_limit_together(changes):
    """Guards against memory that grows with the number of answers."""
    answers = BufferedAnswers(limit_bytes=LIMIT_BYTES)
    connections = [_Connection() for _ in range(6)]
    for number, size_bytes in changes:
        answers.record(connections[number], size_bytes)
        assert 0 <= answers.total_bytes <= LIMIT_BYTES
    for connection in connections:
        answers.record(connection, 0)
    assert answers.total_bytes == 0


def test_the_largest_answer_is_given_up():
    """Guards against endless answers that displace the small ones."""
    answers = BufferedAnswers(limit_bytes=LIMIT_BYTES)
    endless, small = _Connection(), _Connection()
    answers.record(endless, 80)
    answers.record(small, 40)
    assert endless.given_up
    assert not small.given_up
    assert answers.total_bytes == 40


class _Caller:
    def __init__(self, unsent):
        self.unsent = unsent
        self.given_up = False

    def give_up(self):
        self.given_up = True


def test_answer_that_was_taken_meanwhile_is_not_given_up():
    """Guards against sizes that are recorded only when bytes are written."""
    answers = BufferedAnswers(limit_bytes=100, measure=lambda c: c.unsent)
    taking, idle = _Caller(90), _Caller(60)
    answers.record(taking, taking.unsent)
    taking.unsent = 1
    answers.record(idle, idle.unsent)
    assert not taking.given_up and not idle.given_up
    assert answers.total_bytes == 61


@given(st.lists(st.integers(0, 5), max_size=200))
def test_answers_that_keep_to_their_allowance_leave_a_part(order):
    """Guards against slow callers whose answers displace those of others."""
    answers = BufferedAnswers(limit_bytes=LIMIT_BYTES)
    connections = [_Connection() for _ in range(6)]
    sizes = [0] * len(connections)
    for number in order:
        if sizes[number] < answers.allowance(LIMIT_BYTES // 2):
            sizes[number] += 1
            answers.record(connections[number], sizes[number])
    assert sum(sizes) <= SHARED_PART * LIMIT_BYTES
    assert not any(connection.given_up for connection in connections)


def test_caller_who_reads_is_not_displaced_by_many_who_do_not():
    """Guards against a large answer that costs more than many small ones."""
    now_s = 1.0
    answers = BufferedAnswers(
        limit_bytes=100, measure=lambda c: c.unsent, clock=lambda: now_s
    )
    stalled = [_Caller(unsent=size) for size in (10, 30, 20, 30)]
    for caller in stalled:
        answers.record(caller, caller.unsent)
    now_s += SLOW_S
    reader = _Caller(unsent=60)
    answers.record(reader, reader.unsent)
    assert not reader.given_up
    assert [c.given_up for c in stalled] == [False, True, False, True]


def test_allowance_is_of_what_is_left_now():
    """Guards against memory that counts as used long after it was taken."""
    now_s = 1.0
    answers = BufferedAnswers(
        limit_bytes=100, measure=lambda c: c.unsent, clock=lambda: now_s
    )
    caller = _Caller(unsent=75)
    answers.record(caller, 75)
    assert answers.allowance(50) == 0
    caller.unsent = 10
    now_s += MEASURE_INTERVAL_S
    assert answers.allowance(50) == 50


def test_small_answers_are_not_given_up_in_vain():
    """Guards against large answers at once that cost all slow callers theirs.

    One of the large ones has to be given up in any case.
    """
    now_s = 1.0
    answers = BufferedAnswers(
        limit_bytes=100, measure=lambda c: c.unsent, clock=lambda: now_s
    )
    slow = [_Caller(unsent=2) for _ in range(5)]
    for caller in slow:
        answers.record(caller, caller.unsent)
    now_s += SLOW_S
    large = [_Caller(unsent=40) for _ in range(3)]
    for caller in large:
        answers.record(caller, caller.unsent)
    assert not any(caller.given_up for caller in slow)
    assert sum(caller.given_up for caller in large) == 1
    assert answers.total_bytes == 90
