"""Log lines about requests that are suspected of crashing upstreams."""

from enum import Enum

from currantdeal.node.fingerprint import shown
from currantdeal.policy.crash_book import EARLY_WEIGHT


class _Belief(str, Enum):
    CLEAR = "suspect-cleared"
    SUSPECTED = "request-suspected"
    QUARANTINED = "request-quarantined"


class SuspectLog:
    """Logs a request when what a process believes of it has changed.

    A single crash leaves no line: most upstreams end for reasons of their own.

    Parameters
    ----------
    log : structlog.stdlib.BoundLogger
        Of the module that keeps the book.
    book : currantdeal.policy.crash_book.CrashBook
        What is believed.
    """

    def __init__(self, *, log, book):
        """Believe nothing yet."""
        self._log = log
        self._book = book
        self._beliefs = {}

    def __len__(self):
        """Return the number of requests that are not believed clear."""
        return len(self._beliefs)

    def note(self, changed):
        """Log what is news in records that the book has taken in.

        Parameters
        ----------
        changed : iterable of currantdeal.policy.crash_book.SuspectRecord
            As they are now.
        """
        for record in changed:
            before = self._beliefs.pop(record.fingerprint, _Belief.CLEAR)
            after = self._believed(record.fingerprint)
            if after is not _Belief.CLEAR:
                self._beliefs[record.fingerprint] = after
            if after is not before:
                self._write(after, record)
        if len(self._beliefs) > 2 * len(self._book):
            self._forget_dropped()

    def _forget_dropped(self):
        """Forget requests that the book has dropped at its bounds."""
        self._beliefs = {
            fingerprint: belief
            for fingerprint, belief in self._beliefs.items()
            if self._book.is_suspect(fingerprint)
        }

    def _believed(self, fingerprint):
        if self._book.is_quarantined(fingerprint):
            return _Belief.QUARANTINED
        if self._book.score(fingerprint) > EARLY_WEIGHT:
            return _Belief.SUSPECTED
        return _Belief.CLEAR

    def _write(self, belief, record):
        self._log.info(
            belief.value,
            fingerprint=shown(record.fingerprint),
            upstreams=[crash.upstream for crash in record.crashes],
            score=self._book.score(record.fingerprint),
        )
