"""Sends sums of loads to entries and other control instances.

Each receives whole sums first and now and then, and what changed in between.
A frame is encoded once for all receivers.
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
    """Sums of one control instance for receivers of one kind.

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

    def publish_to_links(self, load, links, *, understands, now_s):
        """Send sums to other control instances.

        Parameters
        ----------
        links : iterable of PeerLink
            Links to them; each opens a connection where it has none.
        understands : callable
            Returns whether the instance at an address understands changes.
        """
        connections = set()
        for link in links:
            if link.connection is not None and understands(link.address):
                connections.add(link.connection)
            else:
                link.notify(LoadNotice(sender=self._sender, load=load))
        self._understanding = connections
        self.publish(load, connections, now_s=now_s)

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
