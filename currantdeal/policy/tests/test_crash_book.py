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
    """Return a book with the crashes of each request, by their numbers."""
    book = CrashBook()
    for name, numbers in crashes.items():
        for number in numbers:
            book.add_crash(name.encode(), _crash(number))
    return book


def test_third_upstream_that_ends_under_a_request_quarantines_it():
    """Guards against a query of death that is sent on without end."""
    book = _book(poison=(1, 2))
    assert not book.is_quarantined(POISON)
    book.add_crash(POISON, _crash(3))
    assert book.is_quarantined(POISON)


def test_one_crash_counts_once():
    """Guards against counting one upstream for each run that it ended."""
    book = _book(poison=(1, 1, 1, 1))
    assert not book.is_quarantined(POISON)
    assert len(book.crashes(POISON)) == 1


def test_incarnations_of_an_upstream_count_apart():
    """Guards against a restart under the same name that hides a crash."""
    book = CrashBook()
    for start in range(3):
        book.add_crash(POISON, Crash(upstream="u1", started_ms=start))
    assert book.is_quarantined(POISON)


def test_completed_request_is_clear_of_the_crashes_before():
    """Guards against refusing a popular request that is beside each crash."""
    book = _book(popular=(1, 2))
    book.add_completion(POPULAR)
    book.add_crash(POPULAR, _crash(3))
    assert not book.is_quarantined(POPULAR)
    assert not book.is_suspect(b"other")


def test_cleared_crash_does_not_count_again_from_another_book():
    """Guards against an entry that was cut off and brings old suspicions."""
    late = _book(popular=(1, 2, 3))
    book = _book(popular=(1, 2))
    book.merge(late.records)
    book.add_completion(POPULAR)
    assert book.merge(late.records) == ()
    assert not book.is_quarantined(POPULAR)


def test_culprit_explains_what_happened_beside_it():
    """Guards against refusing a request that shared three crashes."""
    book = _book(poison=(1, 2, 3, 4), other=(1, 2, 3))
    assert book.quarantined == {POISON}


def test_requests_always_beside_each_other_wait_for_another_crash():
    """Guards against refusing a bystander that is not told apart yet."""
    book = _book(poison=(1, 2, 3), other=(1, 2, 3))
    assert book.quarantined == frozenset()
    book.add_crash(POISON, _crash(4))
    assert book.quarantined == {POISON}


def test_requests_never_apart_are_quarantined_in_the_end():
    """Guards against two culprits that shield each other."""
    book = _book(poison=range(5), other=range(5))
    assert book.quarantined == {POISON, b"other"}


def test_two_culprits_with_crashes_of_their_own_are_both_quarantined():
    """Guards against a culprit that hides behind a greater one."""
    book = _book(poison=range(8), other=(0, 11, 12, 13))
    assert book.quarantined == {POISON, b"other"}


def test_crash_after_output_counts_less():
    """Guards against refusing a long stream that lost three engines."""
    book = CrashBook()
    for number in range(8):
        book.add_crash(POISON, _crash(number, early=False))
    assert not book.is_quarantined(POISON)
    book.add_crash(POISON, _crash(8, early=False))
    assert book.is_quarantined(POISON)


def _versions(*versions):
    """Return a book with three crashes of each version of the software."""
    book = CrashBook()
    for version, part in itertools.product(versions, range(3)):
        crash = Crash(
            upstream=f"{version}-{part}", started_ms=1, software=version
        )
        book.add_crash(POISON, crash)
    return book


def test_release_of_all_upstreams_gives_a_culprit_another_run():
    """Guards against a request that is refused after its fault is mended."""
    book = _versions("v1")
    assert not book.may_run(POISON, {"v1"})
    assert not book.may_run(POISON, {"v1", "v2"})
    assert book.may_run(POISON, {"v2"})


def test_culprit_that_crashes_a_second_release_gets_no_third():
    """Guards against each release that costs further upstreams."""
    book = _versions("v1")
    crash = Crash(upstream="u9", started_ms=1, software="v2")
    book.add_crash(POISON, crash)
    assert not book.may_run(POISON, {"v2"})
    assert not book.may_run(POISON, {"v3"})


def test_upstreams_of_unknown_software_give_no_further_run():
    """Guards against taking a missing version for another release."""
    book = _versions("")
    assert not book.may_run(POISON, {""})
    assert not book.may_run(POISON, set())


def test_score_leaves_out_one_incarnation():
    book = _book(poison=(1, 2))
    crash = _crash(2)
    assert book.score(POISON) == 2 * crash_book.EARLY_WEIGHT
    only = book.score(POISON, without=crash.incarnation)
    assert only == crash_book.EARLY_WEIGHT


def test_flood_of_suspects_does_not_push_a_culprit_out(monkeypatch):
    """Guards against a table that many different requests overflow."""
    monkeypatch.setattr(crash_book, "MAX_SUSPECTS", 50)
    book = _book(poison=(1, 2, 3))
    for number in range(500):
        book.add_crash(b"flood-%d" % number, _crash(1_000 + number))
    assert len(book) == 51
    assert book.is_quarantined(POISON)


def test_flood_of_culprits_keeps_the_table_bounded(monkeypatch):
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


def test_many_cleared_crashes_are_bounded_without_endless_news(monkeypatch):
    """Guards against two books that tell each other the same for ever."""
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
def test_books_agree_in_whatever_order_records_come(seed):
    """Guards against entries that judge the same request differently."""
    chance = random.Random(seed)
    names = [b"a", b"b", b"c"]
    news = [
        SuspectRecord(
            fingerprint=chance.choice(names),
            **{
                chance.choice(("crashes", "crashes", "cleared")): (
                    _crash(chance.randrange(6), early=chance.random() < 0.7),
                )
            },
        )
        for _ in range(40)
    ]
    books = []
    for _ in range(3):
        order = news + chance.sample(news, 10)
        chance.shuffle(order)
        book = CrashBook()
        for record in order:
            book.merge((record,))
        books.append(book)
    scores = [[book.score(name) for name in names] for book in books]
    assert scores[0] == scores[1] == scores[2]
    assert len({book.quarantined for book in books}) == 1
