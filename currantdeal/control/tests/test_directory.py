from currantdeal.control.directory import MIN_CHOICES, EntryDirectory
from currantdeal.registry.tests.builders import an_entry


def _directory(*places, ready=True):
    directory = EntryDirectory()
    for number, (region, data_center) in enumerate(places):
        record = an_entry(
            instance=f"entry-{number}",
            address=f"10.0.0.{number}:80",
            region=region,
            data_center=data_center,
            ready=ready,
        )
        directory.merge(record, now_s=0.0)
    return directory


def test_nearest_entries_come_first_and_there_is_a_choice():
    directory = _directory(
        ("r1", "a"), ("r1", "b"), ("r2", "c"), ("r1", "a"), ("r1", "a")
    )
    found = directory.choose("r1", "a", now_s=0.0, current=True)
    assert found == ("10.0.0.0:80", "10.0.0.3:80", "10.0.0.4:80")
    found = directory.choose("r2", "c", now_s=0.0, current=True)
    assert len(found) >= MIN_CHOICES
    assert found[0] == "10.0.0.2:80"


def test_silent_and_stopping_entries_are_left_out():
    """An entry is frozen, another was told to stop.

    Callers that were sent there would wait for a second and lose a try.
    """
    directory = _directory(("r1", "a"), ("r1", "a"), ("r1", "a"))
    stopping = an_entry(instance="entry-1", sequence=2, ready=False)
    assert directory.merge(stopping, now_s=2.0)
    directory.heard("entry-2", 1_000, 5, now_s=2.0)
    found = directory.choose("r1", "a", now_s=2.5, current=True)
    assert found == ("10.0.0.2:80",)


def test_when_unsure_the_silent_are_named_too():
    """A control instance is cut off from the others.

    It hears only some entries; an answer without any would cost a caller
    its request.
    """
    directory = _directory(("r1", "a"), ("r1", "a"))
    found = directory.choose("r1", "a", now_s=9.0, current=False)
    assert len(found) == 2


def test_an_entry_that_no_heartbeat_names_is_forgotten():
    directory = _directory(("r1", "a"))
    directory.expire(now_s=31.0)
    assert directory.choose("r1", "a", now_s=31.0, current=False) == ()
