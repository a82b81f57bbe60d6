"""Load pattern: engines stand still together, or some of them go dark."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy.health.silence_scope import (
    MAX_HOLD_GAPS,
    EntryFacts,
    Pause,
    SilenceScope,
    SilentStream,
    are_prefills_silent,
    scope_of_silence,
)
from currantdeal.policy.health.tests.builders import (
    GAP_S,
    a_stream,
    an_engine,
    engines,
    facts,
)

STREAM, ENGINE, COMMON = SilenceScope
ANY_GAPS = st.floats(0.0, 30.0)
ENGINES = st.lists(
    st.tuples(ANY_GAPS, ANY_GAPS, ANY_GAPS, st.integers(0, 2)), max_size=8
)


def _in(data_center, *names, silent_gaps=4.0):
    return [an_engine(n, silent_gaps, data_center=data_center) for n in names]


@pytest.mark.parametrize(
    ("known", "silent_gaps", "scope"),
    [
        pytest.param(facts(), 4, STREAM, id="nothing is known"),
        pytest.param(engines(4), 4, ENGINE, id="a single engine"),
        pytest.param(engines(0.1), 4, STREAM, id="a single one speaks"),
        pytest.param(engines(4, 0.1), 4, ENGINE, id="one of two"),
        pytest.param(engines(0.1, 4), 4, STREAM, id="the other of two"),
        pytest.param(engines(4, 3.5), 4, COMMON, id="both of two"),
        pytest.param(engines(8, 7.5), 8, ENGINE, id="both for long"),
        pytest.param(engines(4, 3, 4, 5), 4, COMMON, id="all"),
        pytest.param(engines(16, 15, 16), 16, COMMON, id="all for long"),
        pytest.param(engines(4, 4, 0.1, 0.5), 4, ENGINE, id="half"),
        pytest.param(engines(*3 * [4], 0.1), 4, ENGINE, id="one in four left"),
        pytest.param(engines(*8 * [4], 0.1), 4, COMMON, id="nearly all"),
        pytest.param(engines(*8 * [9], 0.1), 9, ENGINE, id="they are dark"),
        pytest.param(engines(4, 4, *9 * [0.1]), 4, ENGINE, id="18% dark"),
        pytest.param(engines(4, 4, 4, *7 * [0.1]), 4, ENGINE, id="30% dark"),
        pytest.param(engines(4, 40, 40), 4, ENGINE, id="others dark before"),
        pytest.param(
            engines(4, 40, 3, 4), 4, COMMON, id="one of them dark before"
        ),
    ],
)
def test_scope_by_silence_of_engines(known, silent_gaps, scope):
    assert scope_of_silence(a_stream(silent_gaps), known) is scope


@pytest.mark.parametrize(
    ("other", "scope"), [(0.1, ENGINE), (4.0, COMMON), (40.0, COMMON)]
)
def test_dark_data_center_is_left_while_another_speaks(other, scope):
    """Guards against streams that are held at a data centre without power."""
    here = _in("dc1", "d1", "d2", "d3", "d4", "d5", "d6", "d7")
    known = facts(*here, *_in("dc2", "e1", silent_gaps=other))
    assert scope_of_silence(a_stream(), known) is scope


def test_silent_engine_among_speaking_ones_of_its_data_center_is_left():
    """Guards against blaming a link to elsewhere for a dark engine here."""
    here = (an_engine("d1", 4), an_engine("d2"))
    away = _in("dc2", *"abcdefgh")
    assert scope_of_silence(a_stream(), facts(*here, *away)) is ENGINE


@pytest.mark.parametrize(
    ("ended", "scope"), [(0.0, COMMON), (1.9, COMMON), (2.0, ENGINE)]
)
def test_engines_that_speak_again_show_little_for_a_moment(ended, scope):
    """Guards against moving all streams as the first engine goes on."""
    back = [
        an_engine(f"b{n}", 0.1, paused=(5.0 - ended, ended)) for n in range(3)
    ]
    known = facts(an_engine("d1", 5), *back)
    assert scope_of_silence(a_stream(5), known) is scope


@pytest.mark.parametrize(("ended", "scope"), [(0.5, COMMON), (2.0, STREAM)])
def test_other_streams_of_an_engine_that_speaks_again_are_awaited(
    ended, scope
):
    """Guards against moving a stream whose engine has just gone on."""
    paused = {"silent_gaps": 0.1, "paused": (4.0, ended)}
    known = facts(*(an_engine(f"d{n}", **paused) for n in range(1, 5)))
    assert scope_of_silence(a_stream(4.5), known) is scope


def test_pause_that_began_at_another_time_has_another_cause():
    """Guards against holding a stream for pauses of a busy service."""
    other = an_engine("d2", 0.1, paused=(2.0, 0.5))
    known = facts(an_engine("d1", 6), other, an_engine("d3", 3))
    assert scope_of_silence(a_stream(6), known) is ENGINE


@pytest.mark.parametrize(
    ("others", "scope"), [(0.1, STREAM), (4.0, COMMON), (9.0, COMMON)]
)
def test_wait_for_a_first_event_is_not_silence_of_an_engine(others, scope):
    """Guards against taking prefills for engines that stand still."""
    starting = {"runs": 0, "silence_s": 0.0, "spoke_s": float("inf")}
    own = an_engine("d1", **starting)
    rest = [an_engine(f"e{n}", others) for n in range(4)]
    assert scope_of_silence(a_stream(), facts(own, *rest)) is scope
    still = [an_engine(f"e{n}", **starting) for n in range(9)]
    known = facts(an_engine("d1", 4), *still, an_engine("d2"))
    assert scope_of_silence(a_stream(), known) is ENGINE


def test_engine_with_slow_streams_is_not_silent_between_their_events():
    """Guards against a common cause seen in routes with long gap targets."""
    slow = [an_engine(f"e{n}", 4, gap_target_s=3 * GAP_S) for n in range(4)]
    assert scope_of_silence(a_stream(), facts(an_engine("d1", 4), *slow)) is (
        ENGINE
    )


@pytest.mark.parametrize(
    ("length", "ended", "silent_gaps", "scope"),
    [
        (6.0, 0.0, 9, COMMON),
        (6.0, 1.9, 9, COMMON),
        (6.0, 2.0, 9, ENGINE),
        (4.0, 0.0, 9, ENGINE),
        (0.9, 0.0, 1, STREAM),
    ],
)
def test_silence_of_this_process(length, ended, silent_gaps, scope):
    pause = Pause(length_s=length * GAP_S, ended_s=ended * GAP_S)
    known = facts(an_engine("d1", silent_gaps), own_pause=pause)
    assert scope_of_silence(a_stream(silent_gaps), known) is scope


@given(ENGINES, st.integers(0, 2), st.floats(MAX_HOLD_GAPS, 99.0))
def test_engine_that_speaks_ends_any_hold(others, place, silent_gaps):
    """Guards against streams that are held at a dark engine for good."""
    rest = [
        an_engine(f"e{n}", gaps, paused=paused, data_center=f"dc{at}")
        for n, (gaps, *paused, at) in enumerate(others)
    ]
    speaking = an_engine("s", 0.5, data_center=f"dc{place}")
    dark = an_engine("d1", silent_gaps)
    known = facts(dark, speaking, *rest)
    assert scope_of_silence(a_stream(silent_gaps), known) is ENGINE


def _scaled(others, unit_s):
    return EntryFacts(
        decode=tuple(
            an_engine(
                f"d{n}",
                silence_s=gaps * unit_s,
                spoke_s=gaps * unit_s,
                pause=Pause(length_s=length * unit_s, ended_s=ended * unit_s),
                data_center=f"dc{place}",
            )
            for n, (gaps, length, ended, place) in enumerate(others, 1)
        )
    )


@given(ENGINES, st.integers(-4, 4), ANY_GAPS)
def test_thresholds_scale_with_the_gap_target(others, exponent, silent_gaps):
    """Guards against durations that suit the routes of one deployment."""
    found = set()
    for unit_s in (1.0, 2.0**exponent):  # a power of two rounds nothing
        stream = SilentStream(
            upstream="d1",
            silence_s=silent_gaps * unit_s,
            gap_target_s=unit_s,
        )
        found.add(scope_of_silence(stream, _scaled(others, unit_s)))
    assert len(found) == 1


@pytest.mark.parametrize(
    ("waits", "spoke", "silent"),
    [
        ((0.5, 0.1), (9.0, 9.0), False),
        ((0.7, 0.1), (9.0, 9.0), True),
        ((0.7, 0.0), (9.0, 0.2), False),
        ((0.0, 0.0), (9.0, 9.0), False),
    ],
)
def test_prefill_engines_are_silent_if_none_answers(waits, spoke, silent):
    prefill = tuple(
        an_engine(f"p{n}", silence_s=w, spoke_s=s, runs=int(w > 0))
        for n, (w, s) in enumerate(zip(waits, spoke, strict=True))
    )
    known = EntryFacts(prefill=prefill)
    assert are_prefills_silent(known, expected_s=0.3) is silent
