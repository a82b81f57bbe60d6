from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy import Ledger, LedgerGrant, LedgerLimits, LedgerRefusal
from currantdeal.policy.tests.builders import ledger_request


def _ledger(pieces=100, **limits):
    return Ledger(limits=LedgerLimits(pieces_total=pieces, **limits))


def test_retried_reservation_is_granted_once():
    """The response to a reservation is lost and the entry retries.

    If the retry reserved memory again, memory would leak.
    """
    ledger = _ledger()
    first = ledger.reserve(ledger_request("r1", pieces=60), now_s=0.0)
    assert ledger.reserve(ledger_request("r1", pieces=60), now_s=0.1) == first
    assert ledger.pieces_free == 40


def test_grants_of_an_expired_entry_are_released():
    """An entry crashes with requests in flight; their memory is released."""
    ledger = _ledger()
    ledger.reserve(ledger_request("r1", entry="i1"), now_s=0.0)
    ledger.reserve(ledger_request("r2", entry="i2"), now_s=0.0)
    dropped = ledger.release_entry("i1")
    assert [grant.request.request_id for grant in dropped] == ["r1"]
    assert ledger.pieces_free == 90


def test_long_request_is_not_starved_by_short_ones():
    """Short requests compete with a long one for released memory.

    If each took the pieces as they are released, the long request would
    never find enough at once and would be refused in the end.
    """
    ledger = _ledger()
    for number in range(10):
        ledger.reserve(ledger_request(f"s{number}", "short"), now_s=0.0)
    assert isinstance(
        ledger.reserve(
            ledger_request("long", "patient", pieces=50), now_s=0.0
        ),
        LedgerRefusal,
    )
    for number in range(5):
        now_s = 0.1 * number + 0.05
        ledger.release(f"s{number}")
        refused = ledger.reserve(
            ledger_request(f"t{number}", "short"), now_s=now_s
        )
        assert isinstance(refused, LedgerRefusal)
        given = ledger.reserve(
            ledger_request("long", "patient", pieces=50), now_s=now_s
        )
    assert isinstance(given, LedgerGrant)


def test_waiter_that_stops_retrying_loses_its_place():
    """A waiting request was placed on another engine, or its entry crashed.

    Memory kept for it would stay idle.
    """
    ledger = _ledger()
    ledger.reserve(ledger_request("r1", pieces=100), now_s=0.0)
    ledger.reserve(ledger_request("gone", "other", pieces=100), now_s=0.0)
    ledger.release("r1")
    assert isinstance(
        ledger.reserve(ledger_request("r2", pieces=10), now_s=0.1),
        LedgerRefusal,
    )
    assert isinstance(
        ledger.reserve(ledger_request("r2", pieces=10), now_s=0.5), LedgerGrant
    )


def test_memory_deadlock_cancels_the_newest_stream():
    """All streams on an engine outgrew their reservation and wait for memory.

    None of them would ever end, and their callers would receive no more
    output.
    """
    ledger = _ledger()
    ledger.reserve(ledger_request("old", pieces=50), now_s=0.0)
    ledger.reserve(ledger_request("new", pieces=50), now_s=0.1)
    assert not ledger.grow("old", pieces=1)
    assert ledger.victim() is None
    assert not ledger.grow("new", pieces=1)
    assert ledger.victim() == "new"
    ledger.release("new")
    assert ledger.grow("old", pieces=1)


def test_batch_size_is_limited_by_the_time_between_outputs():
    """Many small requests leave memory free while each decode step slows down.

    Without a limit every stream on the engine would miss its target.
    """
    ledger = _ledger(output_gap_s=0.04)
    for running in (4, 8, 12):
        ledger.record_report(running=running, step_s=0.012 + 0.002 * running)
    results = [
        ledger.reserve(ledger_request(f"r{n}", pieces=1), now_s=0.0)
        for n in range(20)
    ]
    granted = [result for result in results if isinstance(result, LedgerGrant)]
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
def test_reservations_never_exceed_the_memory(steps):
    ledger = _ledger()
    for now_s, (operation, number, pieces) in enumerate(steps):
        name, entry = f"r{number}", f"i{number % 2}"
        if operation == "reserve":
            request = ledger_request(
                name, f"c{number}", entry=entry, pieces=pieces
            )
            ledger.reserve(request, now_s=float(now_s))
        elif operation == "grow":
            ledger.grow(name, pieces=pieces)
        elif operation == "release":
            ledger.release(name)
        else:
            ledger.release_entry(entry)
        held = sum(grant.pieces for grant in ledger.grants)
        assert 0 <= ledger.pieces_free == 100 - held
