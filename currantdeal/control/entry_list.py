"""Publishes to entries which of them callers may connect to."""

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.node.messages import EntriesNotice
from currantdeal.node.peers import pack_frame


class EntryList:
    """Entries for callers, as last published to the subscribers.

    Parameters
    ----------
    directory : EntryDirectory
        Records of entries.
    """

    def __init__(self, *, directory):
        """Start without subscribers."""
        self._directory = directory
        self._published = {}
        self._subscribers = set()

    def subscribe(self, connection):
        """Send the whole list to an entry, and changes from now on."""
        self._subscribers.add(connection)
        connection.notify(
            EntriesNotice(
                entries=tuple(self._published.values()), complete=True
            )
        )

    def unsubscribe(self, connection):
        """Remove an entry whose connection was lost."""
        self._subscribers.discard(connection)

    def publish_changes(self, *, now_s, current):
        """Publish what changed since the last call.

        Parameters
        ----------
        current : bool
            False when this control instance may have missed heartbeats.
        """
        found = self._directory.candidates(now_s=now_s, current=current)
        listed = {record.instance: record for record in found}
        before, self._published = self._published, listed
        changed = tuple(
            record
            for name, record in listed.items()
            if name not in before or before[name].address != record.address
        )
        gone = tuple(name for name in before if name not in listed)
        if changed or gone:
            notice = EntriesNotice(entries=changed, gone=gone)
            frame = pack_frame(FrameKind.NOTICE, 0, notice)
            for connection in self._subscribers:
                connection.send_packed(frame)
