"""Provide a control instance that only publishes notices to entries.

It runs in the test process.
"""

import asyncio

from currantdeal.node.messages import (
    ControlPlace,
    Done,
    SourceNotice,
    SubscribeCall,
)
from currantdeal.node.peers import PeerConnection

NOTICE_INTERVAL_S = 0.1


class StandInControl:
    """Accepts subscriptions and notifies entries of the control instances.

    Parameters
    ----------
    data_center : str
        Data centre that its notices state.

    Attributes
    ----------
    accepts : bool
        False to act as an instance that cannot reach the leader.
    """

    def __init__(self, *, data_center):
        """Create an instance that does not listen before ``start``."""
        self.data_center = data_center
        self.others = ()
        self.accepts = True
        self.subscribers = []
        self.notices = []
        self._server = None
        self._task = None

    @property
    def address(self):
        """``HOST:PORT`` on which it listens."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    @property
    def place(self):
        """Address and data centre, as notices state them."""
        return ControlPlace(address=self.address, data_center=self.data_center)

    async def start(self):
        """Start to listen and to send periodic notices."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PeerConnection(
                on_notice=lambda connection, notice: self.notices.append(
                    notice
                ),
                on_call=self._on_call,
                on_lost=self._on_lost,
            ),
            "127.0.0.1",
            0,
        )
        self._task = asyncio.ensure_future(self._send_notices())

    def publish(self, message):
        """Send a notice to all subscribers."""
        for connection in self.subscribers:
            connection.notify(message)

    def stop(self):
        """Close all connections without a notice to the subscribers."""
        self._task.cancel()
        self._server.close()
        for connection in tuple(self.subscribers):
            connection.close()

    async def _on_call(self, connection, message):
        accepted = self.accepts
        if isinstance(message, SubscribeCall):
            accepted = accepted or message.provisional
        if accepted:
            self.subscribers.append(connection)
        return Done(accepted=accepted)

    def _on_lost(self, connection):
        if connection in self.subscribers:
            self.subscribers.remove(connection)

    async def _send_notices(self):
        while True:
            places = tuple(c.place for c in (self, *self.others))
            self.publish(
                SourceNotice(current=self.accepts, control=places, entries=1)
            )
            await asyncio.sleep(NOTICE_INTERVAL_S)
