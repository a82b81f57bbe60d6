"""What control knows of requests that crash upstreams, and whom it tells.

Load pattern: query of death, see ``currantdeal.policy.crash_book``.  Any entry
gets the repeats, so all must know within seconds, also while no instance
leads, while instances are cut apart, and after they lost a disk.  Records can
be merged in any order, so they need no leader: news is passed on at once, and
whoever connects, or is heard again after a silence, is told everything.
"""

import structlog

from currantdeal.node.messages import CrashesNotice
from currantdeal.node.peers import HEARTBEAT_S
from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy.crash_book import CrashBook

SILENT_S = 3 * HEARTBEAT_S
"""Silence of an instance after which it may have missed news."""

REPEAT_S = SILENT_S + HEARTBEAT_S
"""Time for which news is repeated to the other instances.

A notice is lost if its connection is; a longer loss shows as a silence.
"""

_log = structlog.get_logger(__name__)


class CrashLedger:
    """The book of one control instance.

    Parameters
    ----------
    exchange : RecordExchange
        Reaches the subscribers and the other instances.
    clock : callable
        Returns monotonic seconds.
    on_change : callable
        Called with all records when they have changed.
    """

    def __init__(self, *, exchange, clock, on_change=lambda records: None):
        """Suspect nobody."""
        self._exchange = exchange
        self._clock = clock
        self._on_change = on_change
        self._book = CrashBook()
        self._suspect_log = SuspectLog(log=_log, book=self._book)
        self._recent = {}
        self._heard_s = {}

    @property
    def quarantined(self):
        """Fingerprints of the requests that are not to be run."""
        return self._book.quarantined

    def load(self, records):
        """Take in what this instance knew before its restart."""
        self._suspect_log.note(self._book.merge(records))

    def take(self, notice):
        """Take in what an entry or another instance knows, and pass it on.

        It goes to the other instances from wherever it came: not each of them
        may reach each other one.
        """
        if notice.asked_by:
            everything = CrashesNotice(records=self._book.records)
            self._exchange.tell_one(notice.asked_by, everything)
        changed = self._book.merge(notice.records)
        if not changed:
            return
        self._suspect_log.note(changed)
        now_s = self._clock()
        for record in changed:
            self._recent[record.fingerprint] = (now_s, record)
        news = CrashesNotice(records=changed)
        self._exchange.publish(news)
        self._exchange.tell_others(news)
        self._on_change(self._book.records)

    def welcome(self, connection):
        """Tell an entry that follows this instance from now on."""
        if self._book:
            connection.notify(CrashesNotice(records=self._book.records))

    def heard(self, sender):
        """Note a sign of life of another instance.

        After a silence either may have missed news, and one that starts has
        not heard any.
        """
        now_s = self._clock()
        before_s = self._heard_s.get(sender)
        self._heard_s[sender] = now_s
        if before_s is None or now_s - before_s > SILENT_S:
            notice = CrashesNotice(
                records=self._book.records, asked_by=self._exchange.me
            )
            self._exchange.tell_one(sender, notice)

    def beat(self):
        """Repeat the latest news to the other instances."""
        now_s = self._clock()
        self._recent = {
            fingerprint: (at_s, record)
            for fingerprint, (at_s, record) in self._recent.items()
            if now_s - at_s <= REPEAT_S
        }
        if self._recent:
            records = tuple(record for _, record in self._recent.values())
            self._exchange.tell_others(CrashesNotice(records=records))
