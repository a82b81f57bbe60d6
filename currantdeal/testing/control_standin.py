"""A control instance that only feeds entries, for tests in one process."""

import asyncio

from currantdeal.node.messages import (
    ControlPlace,
    Done,
    SourceNotice,
    SubscribeCall,
)
from currantdeal.node.peers import PeerConnection

BEAT_S = 0.1


class StandInControl:
    """Accepts subscriptions and tells entries which instances there are.

    Parameters
    ----------
    data_center : str
        Where it says that it is.

    Attributes
    ----------
    accepts : bool
        False while it is out of touch with the leader.
    """

    def __init__(self, *, data_center):
        """Listen nowhere before ``start``."""
        self.data_center = data_center
        self.others = ()
        self.accepts = True
        self.subscribers = []
        self.notices = []
        self._server = None
        self._task = None

    @property
    def address(self):
        """Host and port at which it listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def place(self):
        """Where it is."""
        return ControlPlace(address=self.address, data_center=self.data_center)

    async def start(self):
        """Listen and beat."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PeerConnection(
                on_notice=lambda connection, said: self.notices.append(said),
                on_call=self._on_call,
                on_lost=self._on_lost,
            ),
            "127.0.0.1",
            0,
        )
        self._task = asyncio.ensure_future(self._beat())

    def publish(self, message):
        """Send a notice to all subscribers."""
        for connection in self.subscribers:
            connection.notify(message)

    def stop(self):
        """End without a word to the subscribers."""
        self._task.cancel()
        self._server.close()
        for connection in tuple(self.subscribers):
            connection.close()

    async def _on_call(self, connection, message):
        taken = self.accepts
        if isinstance(message, SubscribeCall):
            taken = taken or message.provisional
        if taken:
            self.subscribers.append(connection)
        return Done(accepted=taken)

    def _on_lost(self, connection):
        if connection in self.subscribers:
            self.subscribers.remove(connection)

    async def _beat(self):
        while True:
            places = tuple(c.place for c in (self, *self.others))
            self.publish(
                SourceNotice(current=self.accepts, control=places, entries=1)
            )
            await asyncio.sleep(BEAT_S)
