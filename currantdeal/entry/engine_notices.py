"""Notices between entries about engines, without the delay of the sums."""

from functools import singledispatchmethod

from currantdeal.node.messages import (
    UNREACHABLE_PROTOCOL,
    ReadingNotice,
    UnreachableNotice,
)


class EngineNotices:
    """Sends notices to the source, and handles those of other entries.

    Parameters
    ----------
    own_record : callable
        Returns the ``EntryRecord`` of this entry.
    connection : callable
        Returns the connection to a control instance that understands a
        version of the messages, or None.
    record_local_prefill : callable
        Called with a decode engine that prefills a prompt of another entry
        locally, and for how long.
    record_unreachable : callable
        Called with an upstream that another entry could not reach, the start
        of its process, and that entry.
    """

    def __init__(
        self,
        *,
        own_record,
        connection,
        record_local_prefill,
        record_unreachable,
    ):
        """Store the parameters."""
        self._own_record = own_record
        self._connection = connection
        self._record_local_prefill = record_local_prefill
        self._record_unreachable = record_unreachable

    def announce_local_prefill(self, upstream, for_s):
        """Announce to all entries a local prefill for this entry."""
        entry = self._own_record().instance
        notice = ReadingNotice(entry=entry, upstream=upstream, for_s=for_s)
        self._send(notice, protocol=0)

    def report_unreachable(self, record):
        """Report to all entries an upstream that has ended."""
        notice = UnreachableNotice(
            entry=self._own_record().instance,
            upstream=record.upstream,
            started_ms=record.started_ms,
        )
        self._send(notice, protocol=UNREACHABLE_PROTOCOL)

    def receive(self, notice):
        """Handle a notice; those of this entry come back and are ignored."""
        if notice.entry != self._own_record().instance:
            self._handle(notice)

    def _send(self, notice, *, protocol):
        connection = self._connection(protocol)
        if connection is not None and connection.is_open:
            connection.notify(notice)

    @singledispatchmethod
    def _handle(self, notice):
        raise TypeError(f"not a notice about an engine: {notice!r}")

    @_handle.register
    def _(self, notice: ReadingNotice):
        self._record_local_prefill(notice.upstream, notice.for_s)

    @_handle.register
    def _(self, notice: UnreachableNotice):
        self._record_unreachable(
            notice.upstream, notice.started_ms, notice.entry
        )
