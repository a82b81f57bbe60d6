"""Makes the upstreams that an entry knows equal to those of its source."""

import asyncio

from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.record_messages import RecordsCall, UpstreamsNotice

RECORDS_TIMEOUT_S = 1.0
"""Time in which an instance must list all upstreams."""


class UpstreamComparison:
    """Compares the view of an entry with the registry of its source.

    Parameters
    ----------
    view : EntryView
        Updated by each comparison.
    """

    def __init__(self, *, view):
        """Start without a comparison."""
        self._view = view
        self._task = None

    def observe(self, connection, notice):
        """Compare the upstreams if a ``SourceNotice`` tells a difference."""
        if notice.upstreams_digest is None:
            return
        if self._view.lacks_upstreams(
            notice.upstreams_digest, adopts=notice.adopts_upstreams
        ):
            self._task = asyncio.ensure_future(self._reconcile(connection))

    async def _reconcile(self, connection):
        try:
            found = await connection.call(
                RecordsCall(upstreams_only=True), timeout_s=RECORDS_TIMEOUT_S
            )
        except PeerUnreachableError:
            return
        if not connection.is_open:
            # The entry follows another control instance by now.
            return
        reported = self._view.reconcile_upstreams(found.upstreams)
        if reported:
            connection.notify(UpstreamsNotice(upstreams=reported))
