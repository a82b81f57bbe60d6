"""Sends the sums of the loads to the entries that subscribe here.

An entry receives whole sums first and now and then, and what changed in
between.  Each frame is encoded once for all entries.
"""

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.node.messages import LoadChangesNotice, LoadNotice
from currantdeal.node.peers import pack_frame
from currantdeal.policy.load.load_changes import (
    WHOLE_INTERVAL_S,
    changes_between,
    whole_load,
)


class LoadPublisher:
    """Sums for the subscribers of one control instance.

    Parameters
    ----------
    sender : str
        Peer address of this instance.
    """

    def __init__(self, *, sender):
        """Start before the first sums."""
        self._sender = sender
        self._understanding = set()
        self._current = set()
        self._number = 0
        self._load = None
        self._whole_s = None

    def subscribe(self, connection):
        """Send changes to an entry that understands them."""
        self._understanding.add(connection)

    def unsubscribe(self, connection):
        """Forget an entry."""
        self._understanding.discard(connection)
        self._current.discard(connection)

    def publish(self, load, subscribers, *, now_s):
        """Send sums to all subscribers."""
        self._number += 1
        before, self._load = self._load, load
        if self._whole_s is None or now_s - self._whole_s >= WHOLE_INTERVAL_S:
            self._whole_s = now_s
            self._current.clear()
        frames = {}
        for connection in subscribers:
            pack = self._packer(connection)
            if pack not in frames:
                frames[pack] = pack_frame(
                    FrameKind.NOTICE, 0, pack(self, before)
                )
            connection.send_packed(frames[pack])
        self._current = self._understanding & set(subscribers)

    def _packer(self, connection):
        if connection in self._current:
            return LoadPublisher._changes
        if connection in self._understanding:
            return LoadPublisher._whole
        return LoadPublisher._for_older_entries

    def _changes(self, before):
        changes = changes_between(before, self._load, number=self._number)
        return LoadChangesNotice(sender=self._sender, changes=changes)

    def _whole(self, before):
        changes = whole_load(self._load, number=self._number)
        return LoadChangesNotice(sender=self._sender, changes=changes)

    def _for_older_entries(self, before):
        return LoadNotice(sender=self._sender, load=self._load)
