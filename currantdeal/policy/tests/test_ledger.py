from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy import Ledger, LedgerGrant, LedgerLimits, LedgerRefusal
from currantdeal.policy.tests.builders import ask


def _ledger(pieces=100, **limits):
    return Ledger(limits=LedgerLimits(pieces_total=pieces, **limits))


def test_resent_request_reserves_once():
    """The answer to a reservation is lost and the entry asks again.

    Reserved twice, half of the memory would stay held for nobody.
    """
    ledger = _ledger()
    first = ledger.reserve(ask("r1", pieces=60), now_s=0.0)
    assert ledger.reserve(ask("r1", pieces=60), now_s=0.1) == first
    assert ledger.pieces_free == 40


def test_silent_entry_loses_its_grants():
    """An entry dies with requests in flight; their memory must come back."""
    ledger = _ledger()
    ledger.reserve(ask("r1", entry="i1"), now_s=0.0)
    ledger.reserve(ask("r2", entry="i2"), now_s=0.0)
    dropped = ledger.drop_entry("i1")
    assert [grant.ask.request_id for grant in dropped] == ["r1"]
    assert ledger.pieces_free == 90


def test_long_request_gets_its_turn_among_short_ones():
    """Short requests take every piece that comes free.

    A long one would never find enough at once and be refused in the end.
    """
    ledger = _ledger()
    for number in range(10):
        ledger.reserve(ask(f"s{number}", "short"), now_s=0.0)
    assert isinstance(
        ledger.reserve(ask("long", "patient", pieces=50), now_s=0.0),
        LedgerRefusal,
    )
    for number in range(5):
        now_s = 0.1 * number + 0.05
        ledger.release(f"s{number}")
        late = ledger.reserve(ask(f"t{number}", "short"), now_s=now_s)
        assert isinstance(late, LedgerRefusal)
        given = ledger.reserve(ask("long", "patient", pieces=50), now_s=now_s)
    assert isinstance(given, LedgerGrant)


def test_place_is_lost_by_whoever_asks_no_more():
    """A waiting request went to another engine or its entry died.

    Memory kept for it would stand idle.
    """
    ledger = _ledger()
    ledger.reserve(ask("r1", pieces=100), now_s=0.0)
    ledger.reserve(ask("gone", "other", pieces=100), now_s=0.0)
    ledger.release("r1")
    assert isinstance(
        ledger.reserve(ask("r2", pieces=10), now_s=0.1), LedgerRefusal
    )
    assert isinstance(
        ledger.reserve(ask("r2", pieces=10), now_s=0.5), LedgerGrant
    )


def test_standstill_ends_with_the_latest_stream():
    """All streams on an engine grew past what was expected and wait.

    None of them would ever end, and their callers hear nothing more.
    """
    ledger = _ledger()
    ledger.reserve(ask("old", pieces=50), now_s=0.0)
    ledger.reserve(ask("new", pieces=50), now_s=0.1)
    assert not ledger.grow("old", pieces=1)
    assert ledger.victim() is None
    assert not ledger.grow("new", pieces=1)
    assert ledger.victim() == "new"
    ledger.release("new")
    assert ledger.grow("old", pieces=1)


def test_batch_is_bounded_by_the_time_between_outputs():
    """Many small requests leave memory free while every step gets longer.

    Every stream on the engine would miss its target.
    """
    ledger = _ledger(output_gap_s=0.04)
    for running in (4, 8, 12):
        ledger.hear(running=running, step_s=0.012 + 0.002 * running)
    answers = [
        ledger.reserve(ask(f"r{n}", pieces=1), now_s=0.0) for n in range(20)
    ]
    granted = [one for one in answers if isinstance(one, LedgerGrant)]
    assert len(granted) == 12


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["reserve", "grow", "release", "drop"]),
            st.integers(0, 7),
            st.integers(1, 40),
        ),
        max_size=60,
    )
)
def test_never_gives_out_more_than_there_is(steps):
    ledger = _ledger()
    for now_s, (what, number, pieces) in enumerate(steps):
        name, entry = f"r{number}", f"i{number % 2}"
        if what == "reserve":
            wanted = ask(name, f"c{number}", entry=entry, pieces=pieces)
            ledger.reserve(wanted, now_s=float(now_s))
        elif what == "grow":
            ledger.grow(name, pieces=pieces)
        elif what == "release":
            ledger.release(name)
        else:
            ledger.drop_entry(entry)
        held = sum(grant.pieces for grant in ledger.grants)
        assert 0 <= ledger.pieces_free == 100 - held
