import structlog
from structlog.testing import capture_logs

from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy import crash_book
from currantdeal.policy.crash_book import Crash, CrashBook


def _events(steps):
    """Return the events that are logged while a book changes."""
    book = CrashBook()
    with capture_logs() as lines:
        log = SuspectLog(log=structlog.get_logger(), book=book)
        for step in steps:
            log.note(step(book))
    return [line["event"] for line in lines]


def _crash(number, **more):
    crash = Crash(upstream=f"u{number}", started_ms=1, **more)
    return lambda book: book.add_crash(b"poison", crash)


def _completed(book):
    return book.add_completion(b"poison")


def test_each_change_of_belief_leaves_one_line():
    steps = [*(_crash(number) for number in range(5)), _completed]
    assert _events(steps) == [
        "request-suspected",
        "request-quarantined",
        "suspect-cleared",
    ]


def test_what_the_book_dropped_is_forgotten(monkeypatch):
    """Guards against memory that grows with the number of culprits."""
    monkeypatch.setattr(crash_book, "MAX_QUARANTINED", 10)
    book = CrashBook()
    log = SuspectLog(log=structlog.get_logger(), book=book)
    with capture_logs():
        for number in range(300):
            crash = Crash(upstream=f"u{number}", started_ms=1)
            log.note(book.add_crash(b"%d" % (number // 3), crash))
    assert len(book) == 10
    assert len(log) <= 2 * len(book)


def test_crash_that_changes_no_decision_leaves_no_line():
    """Guards against lines at every entry for each stream of a crash."""
    steps = [_crash(1, early=False), _crash(2, early=False), _completed]
    assert _events(steps) == []
