from currantdeal.control.directory import EntryDirectory
from currantdeal.registry.entry_choice import MIN_CHOICES
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


def test_nearest_entries_come_first_and_at_least_three_are_returned():
    directory = _directory(
        ("r1", "a"), ("r1", "b"), ("r2", "c"), ("r1", "a"), ("r1", "a")
    )
    found = directory.choose("r1", "a", now_s=0.0, current=True)
    assert found == ("10.0.0.0:80", "10.0.0.3:80", "10.0.0.4:80")
    found = directory.choose("r2", "c", now_s=0.0, current=True)
    assert len(found) >= MIN_CHOICES
    assert found[0] == "10.0.0.2:80"


def test_silent_and_stopping_entries_are_not_chosen():
    """One entry hangs and another one is stopping.

    Callers that got their addresses would wait for a second and lose an
    attempt.
    """
    directory = _directory(("r1", "a"), ("r1", "a"), ("r1", "a"))
    stopping = an_entry(instance="entry-1", sequence=2, ready=False)
    assert directory.merge(stopping, now_s=2.0)
    directory.on_heartbeat("entry-2", 1_000, 5, now_s=2.0)
    found = directory.choose("r1", "a", now_s=2.5, current=True)
    assert found == ("10.0.0.2:80",)


def test_silent_entries_are_chosen_without_contact_to_the_leader():
    """A control instance is partitioned from the others.

    It receives the heartbeats of some entries only.  An empty answer would
    cost a caller its request.
    """
    directory = _directory(("r1", "a"), ("r1", "a"))
    found = directory.choose("r1", "a", now_s=9.0, current=False)
    assert len(found) == 2


def test_an_entry_without_heartbeats_is_removed():
    directory = _directory(("r1", "a"))
    directory.expire(now_s=31.0)
    assert directory.choose("r1", "a", now_s=31.0, current=False) == ()
