import itertools
import random

import pytest

from currantdeal.policy import crash_book
from currantdeal.policy.crash_book import Crash, CrashBook, SuspectRecord

POISON = b"poison"
POPULAR = b"popular"


def _crash(number, **more):
    return Crash(upstream=f"u{number}", started_ms=1, **more)


def _book(**crashes):
    """Return a book with numbered crashes for each request."""
    book = CrashBook()
    for name, numbers in crashes.items():
        for number in numbers:
            book.add_crash(name.encode(), _crash(number))
    return book


def test_third_crash_of_an_upstream_quarantines_the_request():
    """Guards against a query of death that is retried without limit."""
    book = _book(poison=(1, 2))
    assert not book.is_quarantined(POISON)
    book.add_crash(POISON, _crash(3))
    assert book.is_quarantined(POISON)


def test_one_crash_counts_once():
    """Guards against counting one crash for each lost run of a request."""
    book = _book(poison=(1, 1, 1, 1))
    assert not book.is_quarantined(POISON)
    assert len(book.crashes(POISON)) == 1


def test_incarnations_of_an_upstream_count_separately():
    """Guards against missed crashes of a process restarted under its name."""
    book = CrashBook()
    for start in range(3):
        book.add_crash(POISON, Crash(upstream="u1", started_ms=start))
    assert book.is_quarantined(POISON)


def test_completion_clears_earlier_crashes():
    """Guards against quarantine of a frequent request that crashes nothing.

    It is in progress at each crash because it is in progress everywhere.
    """
    book = _book(popular=(1, 2))
    book.add_completion(POPULAR)
    book.add_crash(POPULAR, _crash(3))
    assert not book.is_quarantined(POPULAR)
    assert not book.is_suspect(b"other")


def test_cleared_crash_does_not_count_again_from_another_book():
    """Guards against stale records of an entry after a network partition."""
    stale = _book(popular=(1, 2, 3))
    book = _book(popular=(1, 2))
    book.merge(stale.records)
    book.add_completion(POPULAR)
    assert book.merge(stale.records) == ()
    assert not book.is_quarantined(POPULAR)


def test_request_that_only_shares_crashes_of_a_culprit_is_not_quarantined():
    """Guards against refusing a bystander of three crashes."""
    book = _book(poison=(1, 2, 3, 4), other=(1, 2, 3))
    assert book.quarantined == {POISON}


def test_requests_with_the_same_crashes_await_a_further_crash():
    """Guards against refusing a bystander before the culprit is identified."""
    book = _book(poison=(1, 2, 3), other=(1, 2, 3))
    assert book.quarantined == frozenset()
    book.add_crash(POISON, _crash(4))
    assert book.quarantined == {POISON}


def test_requests_with_the_same_five_crashes_are_both_quarantined():
    """Guards against two culprits that protect each other without limit."""
    book = _book(poison=range(5), other=range(5))
    assert book.quarantined == {POISON, b"other"}


def test_two_culprits_with_crashes_of_their_own_are_both_quarantined():
    """Guards against a culprit that a second one with more crashes masks."""
    book = _book(poison=range(8), other=(0, 11, 12, 13))
    assert book.quarantined == {POISON, b"other"}


def test_crash_after_output_counts_less():
    """Guards against refusing a long stream that three engines failed under.

    Engines also end for other reasons during a long stream.
    """
    book = CrashBook()
    for number in range(8):
        book.add_crash(POISON, _crash(number, early=False))
    assert not book.is_quarantined(POISON)
    book.add_crash(POISON, _crash(8, early=False))
    assert book.is_quarantined(POISON)


def _book_of_versions(*versions):
    """Return a book with three crashes of each version of the software."""
    book = CrashBook()
    for version, part in itertools.product(versions, range(3)):
        crash = Crash(
            upstream=f"{version}-{part}", started_ms=1, software=version
        )
        book.add_crash(POISON, crash)
    return book


def test_upgrade_of_all_upstreams_allows_another_run():
    """Guards against refusing a request after its fault was fixed."""
    book = _book_of_versions("v1")
    assert not book.may_run(POISON, {"v1"})
    assert not book.may_run(POISON, {"v1", "v2"})
    assert book.may_run(POISON, {"v2"})


def test_crash_of_a_second_release_makes_the_quarantine_permanent():
    """Guards against losing further upstreams after every release."""
    book = _book_of_versions("v1")
    crash = Crash(upstream="u9", started_ms=1, software="v2")
    book.add_crash(POISON, crash)
    assert not book.may_run(POISON, {"v2"})
    assert not book.may_run(POISON, {"v3"})


def test_unknown_software_allows_no_further_run():
    """Guards against treating a missing version as another release."""
    book = _book_of_versions("")
    assert not book.may_run(POISON, {""})
    assert not book.may_run(POISON, set())


def test_score_leaves_out_one_incarnation():
    book = _book(poison=(1, 2))
    crash = _crash(2)
    assert book.score(POISON) == 2 * crash_book.EARLY_WEIGHT
    only = book.score(POISON, without=crash.incarnation)
    assert only == crash_book.EARLY_WEIGHT


def test_many_suspects_do_not_evict_a_quarantined_request(monkeypatch):
    """Guards against eviction when many different requests fill the table."""
    monkeypatch.setattr(crash_book, "MAX_SUSPECTS", 50)
    book = _book(poison=(1, 2, 3))
    for number in range(500):
        book.add_crash(b"flood-%d" % number, _crash(1_000 + number))
    assert len(book) == 51
    assert book.is_quarantined(POISON)


def test_many_culprits_keep_the_table_bounded(monkeypatch):
    """Guards against memory that grows with the number of culprits."""
    monkeypatch.setattr(crash_book, "MAX_SUSPECTS", 10)
    monkeypatch.setattr(crash_book, "MAX_QUARANTINED", 20)
    book = CrashBook()
    for number, part in itertools.product(range(60), range(3)):
        name = b"culprit-%d" % number
        book.add_crash(name, _crash(10 * number + part))
    assert len(book) == 20
    assert book.is_quarantined(b"culprit-59")
    assert not book.is_quarantined(b"culprit-0")


def test_bounded_cleared_crashes_converge(monkeypatch):
    """Guards against two books that exchange the same records for ever.

    A crash that one book has dropped must not return from the other one.
    """
    monkeypatch.setattr(crash_book, "MAX_CRASHES", 4)
    one, two = CrashBook(), CrashBook()
    for number in range(12):
        book = (one, two)[number % 2]
        crash = Crash(upstream="u1", started_ms=number)
        book.add_crash(POPULAR, crash)
        book.add_completion(POPULAR)
    for _ in range(2):
        one.merge(two.records)
        two.merge(one.records)
    assert one.merge(two.records) == ()
    assert two.merge(one.records) == ()
    (record,) = one.records
    assert len(record.cleared) == 4


@pytest.mark.parametrize("seed", range(20))
def test_books_converge_for_any_order_of_records(seed):
    """Guards against entries that disagree on the same request."""
    rng = random.Random(seed)
    names = [b"a", b"b", b"c"]
    records = [
        SuspectRecord(
            fingerprint=rng.choice(names),
            **{
                rng.choice(("crashes", "crashes", "cleared")): (
                    _crash(rng.randrange(6), early=rng.random() < 0.7),
                )
            },
        )
        for _ in range(40)
    ]
    books = []
    for _ in range(3):
        order = records + rng.sample(records, 10)
        rng.shuffle(order)
        book = CrashBook()
        for record in order:
            book.merge((record,))
        books.append(book)
    scores = [[book.score(name) for name in names] for book in books]
    assert scores[0] == scores[1] == scores[2]
    assert len({book.quarantined for book in books}) == 1
