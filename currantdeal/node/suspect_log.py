"""Log lines about requests that are suspected of crashing upstreams."""

from currantdeal.node.fingerprint import shown


def log_suspects(log, book, changed):
    """Log what a process believes of requests from now on.

    Parameters
    ----------
    log : structlog.stdlib.BoundLogger
        Of the module that changed the book.
    book : currantdeal.policy.crash_book.CrashBook
        After the change.
    changed : iterable of currantdeal.policy.crash_book.SuspectRecord
        What changed.
    """
    for record in changed:
        if not record.crashes:
            event = "suspect-cleared"
        elif book.is_quarantined(record.fingerprint):
            event = "request-quarantined"
        else:
            event = "request-suspected"
        log.info(
            event,
            fingerprint=shown(record.fingerprint),
            upstreams=[crash.upstream for crash in record.crashes],
            score=book.score(record.fingerprint),
        )
