"""Hands on what entries report of upstreams that they cannot reach.

Load pattern: correlated failure.  Many entries find the same crashed engines
at once.  Of each process only as many reports are handed on as the other
entries need, so that the number of messages does not grow with both.
"""

import structlog

from currantdeal.node.messages import UNREACHABLE_PROTOCOL
from currantdeal.policy.health.unreachable_reports import UnreachableReports

_log = structlog.get_logger(__name__)


class UnreachableRelay:
    """Relays reports between entries and the other control instances.

    Parameters
    ----------
    exchange : RecordExchange
        Connections to the other control instances.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, exchange, clock):
        """Start without reports and subscribers."""
        self._exchange = exchange
        self._clock = clock
        self._reports = UnreachableReports()
        self._subscribers = set()

    def subscribe(self, connection, protocol):
        """Send reports to an entry from now on, if it understands them."""
        if protocol >= UNREACHABLE_PROTOCOL:
            self._subscribers.add(connection)

    def unsubscribe(self, connection):
        """Send no more reports to an entry."""
        self._subscribers.discard(connection)

    def receive(self, connection, notice):
        """Hand on a report of an entry or of another control instance."""
        is_needed = self._reports.add(
            notice.upstream,
            notice.started_ms,
            notice.entry,
            now_s=self._clock(),
        )
        if not is_needed:
            return
        _log.info(
            "upstream-reported",
            upstream=notice.upstream,
            started=notice.started_ms,
            by=notice.entry,
        )
        for subscriber in self._subscribers:
            subscriber.notify(notice)
        if connection in self._exchange.subscribers:
            self._exchange.notify_understanding(UNREACHABLE_PROTOCOL, notice)
