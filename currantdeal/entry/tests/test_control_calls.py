from types import SimpleNamespace

from currantdeal.entry.control_calls import ControlCalls


def test_sources_that_do_not_confirm_keys_are_left_with_growing_pauses():
    """Load pattern: metastable failure of overloaded control instances."""
    view = SimpleNamespace(
        route_table=SimpleNamespace(needs_keys=True),
        confirmed_boot_s=float("-inf"),
    )
    calls = ControlCalls(view=view, connection=lambda: None)
    leaves = [
        calls.should_leave_source(now_s)
        for now_s in (100.0, 102.0, 104.0, 106.0, 109.0, 111.0)
    ]
    assert leaves == [True, False, True, False, False, True]
