"""Look-ups of entries at an entry."""

from currantdeal.entry.caller_directory import MAX_SILENCE_S, CallerDirectory
from currantdeal.node.messages import EntriesNotice
from currantdeal.registry.tests.builders import an_entry


def _entry(number, **changes):
    return an_entry(
        instance=f"e{number}", address=f"10.0.0.{number}:80", **changes
    )


def _directory(*, ready=True, silence_s=0.0):
    directory = CallerDirectory(
        own_record=lambda: _entry(1, ready=ready), silence_s=lambda: silence_s
    )
    records = tuple(_entry(n) for n in (1, 2, 3))
    directory.merge(EntriesNotice(entries=records, complete=True))
    return directory


def _chosen(directory):
    return directory.choose("r1", "dc1")


def test_an_entry_lists_itself_and_the_others():
    assert _chosen(_directory()) == (
        "10.0.0.1:80",
        "10.0.0.2:80",
        "10.0.0.3:80",
    )


def test_changes_are_merged():
    directory = _directory()
    moved = an_entry(instance="e2", address="10.0.0.9:80")
    directory.merge(EntriesNotice(entries=(moved,), gone=("e3",)))
    assert _chosen(directory) == ("10.0.0.1:80", "10.0.0.9:80")


def test_a_stopping_entry_sends_callers_to_the_others():
    assert "10.0.0.1:80" not in _chosen(_directory(ready=False))


def test_an_entry_without_contact_sends_callers_to_the_others():
    """Guards against callers at an entry that cannot confirm their keys."""
    found = _chosen(_directory(silence_s=MAX_SILENCE_S + 1.0))
    assert found == ("10.0.0.2:80", "10.0.0.3:80")


def test_look_ups_are_answered_while_control_instances_are_down():
    """Load pattern: correlated failure of the control instances.

    Callers whose cached answer has expired would find no address.
    """
    assert len(_chosen(_directory(silence_s=60.0))) == 2


def test_the_first_entry_after_a_restart_lists_itself():
    """Guards against an empty answer after all instances were killed."""
    directory = CallerDirectory(
        own_record=lambda: _entry(1), silence_s=lambda: 0.0
    )
    assert _chosen(directory) == ("10.0.0.1:80",)
