"""Load pattern: many entries find the same crashed engines at once."""

from hypothesis import given
from hypothesis import strategies as st

from currantdeal.policy.health.unreachable_reports import (
    MIN_UNREACHABLE_REPORTS,
    REPORT_HOLD_S,
    UnreachableReports,
)
from currantdeal.policy.load.shared_load import EntryLoad


@given(st.lists(st.tuples(st.sampled_from("ab"), st.floats(0.0, 0.5))))
def test_one_entry_alone_makes_no_engine_unreachable(reports):
    """Guards against an entry that is cut off and reports good engines."""
    known = UnreachableReports()
    now_s = 0.0
    for engine, pause_s in reports:
        now_s += pause_s
        known.add(engine, 1, "cut-off", now_s=now_s)
        assert not known.is_unreachable(engine, now_s=now_s)


def test_messages_do_not_grow_with_the_number_of_entries():
    """Guards against a storm of reports: 60 entries find ten engines dead."""
    known = UnreachableReports()
    needed = sum(
        known.add(f"d{engine}", 1, f"entry-{entry}", now_s=0.001 * entry)
        for entry in range(60)
        for engine in range(10)
    )
    assert needed == MIN_UNREACHABLE_REPORTS * 10


def test_restarted_engine_is_not_blamed_for_its_former_process():
    known = UnreachableReports()
    for entry in ("one", "two"):
        known.add("d1", 1, entry, now_s=0.0)
    known.add("d1", 2, "three", now_s=0.1)
    assert not known.is_unreachable("d1", now_s=0.1)
    assert not known.add("d1", 1, "four", now_s=0.1)


def test_reported_engine_is_suspect_before_any_sums_and_for_a_time_only():
    """Guards against good engines that stay last after wrong reports."""
    load = EntryLoad()
    for entry in ("one", "two"):
        load.reports.add("d1", 1, entry, now_s=5.0)
    assert load.is_suspect("d1", now_s=5.1)
    assert not load.is_suspect("d1", now_s=5.1 + REPORT_HOLD_S)
    for entry in ("one", "two"):
        load.reports.add("d1", 1, entry, now_s=7.0)
    load.reports.clear("d1")
    assert not load.is_suspect("d1", now_s=7.1)
