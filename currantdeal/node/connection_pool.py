"""Pool of connections to upstreams.

The load pattern is connection churn: many entries each call many engines now
and then, and a new connection costs a round trip and work on the engine.
Idle connections are therefore kept for as long as the upstream keeps them and
reused for retryable requests.  A request that may run only once is sent only
on a recently used connection, because an upstream may be closing an older
one.  A request whose answer could not be told from an extra one gets a
connection of its own.
"""

import asyncio
from functools import partial

from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.connector import CONNECT_TIMEOUT_S, Connector
from currantdeal.node.errors import ConnectionEndedError
from currantdeal.node.extra_answers import ExtraAnswerLog
from currantdeal.node.http_client import RECEIVE_BYTES, UpstreamConnection
from currantdeal.policy.health.links import LinkState

MAX_IDLE = 16
"""Maximum number of idle connections kept for one upstream."""

MAX_OPENED = 2
"""Maximum number of connections that are opened until one lasts."""


class ConnectionPool:
    """Pool of reusable connections to upstreams.

    A new connection costs an upstream as much as several health checks.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort or None
        Counts extra answers, if given.

    Attributes
    ----------
    connector : Connector
        Opens the connections.
    """

    def __init__(self, *, metrics=None):
        """Start with an empty pool."""
        self._buffered = BufferedAnswers()
        self._idle = {}
        self.connector = Connector(
            make_connection=partial(
                UpstreamConnection,
                extra_answers=ExtraAnswerLog(metrics=metrics),
                buffered=self._buffered,
                receive_buffer=bytearray(RECEIVE_BYTES),
            )
        )

    @property
    def buffered_bytes(self):
        """Bytes of incomplete answers that are kept, over all connections."""
        return self._buffered.total_bytes

    async def acquire(
        self,
        address,
        outgoing,
        *,
        timeout_s=CONNECT_TIMEOUT_S,
        retryable=False,
    ):
        """Return an idle connection, or a new one if none fits a request.

        Parameters
        ----------
        outgoing : Outgoing
            The request, whose answer must be recognisable on the connection.
        retryable : bool
            True for a retryable request, one that may be lost and sent
            again; connections that have been idle for longer are then
            reused as well.

        Raises
        ------
        ConnectError
            If no connection could be opened in time.
        """
        found = self._take_idle(address, outgoing, retryable=retryable)
        return found or await self.open(address, timeout_s=timeout_s)

    async def open(self, address, *, timeout_s=CONNECT_TIMEOUT_S):
        """Open and return a new connection, see ``Connector.open``.

        One that the upstream has ended meanwhile is replaced once.  A new one
        may have waited for another way to the upstream.

        Raises
        ------
        ConnectError
            If no connection could be opened, or both have ended.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        for _ in range(MAX_OPENED):
            connection = await self.connector.open(
                address, timeout_s=max(0.0, end_s - loop.time())
            )
            if connection.is_open:
                return connection
            connection.close()
            self.connector.avoid(connection.helper)
        raise ConnectionEndedError(f"{address} ends new connections")

    def is_connected(self, address):
        """Return whether an idle connection can take a retryable request."""
        idle = self._idle.get(address, ())
        return any(
            c.is_usable(retryable=True) and self._fits_link(c) for c in idle
        )

    def release(self, connection):
        """Return a connection to the pool after an exchange, or close it."""
        idle = self._idle.setdefault(connection.address, [])
        if (
            connection.reusable
            and len(idle) < MAX_IDLE
            and self.connector.may_use(connection.helper)
            and self._fits_link(connection)
        ):
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_idle_direct(self, address):
        """Close the idle connections to an address that are direct."""
        self._close_idle_if(address, lambda c: not c.helper)

    def close_idle_linked(self, address):
        """Close the idle connections to an address through other entries."""
        self._close_idle_if(address, lambda c: c.helper)

    def close_idle_by(self, helpers):
        """Close the idle connections through some entries."""
        for address in tuple(self._idle):
            self._close_idle_if(address, lambda c: c.helper in helpers)

    def take_direct(self, address):
        """Return an idle connection to an address that is direct, or None."""
        self._close_ended(address)
        idle = self._idle.get(address, [])
        found = next((c for c in reversed(idle) if not c.helper), None)
        if found is not None:
            idle.remove(found)
        return found

    def _close_idle_if(self, address, is_affected):
        idle = self._idle.get(address, [])
        for connection in tuple(idle):
            if is_affected(connection):
                idle.remove(connection)
                connection.close()

    @property
    def idle_addresses(self):
        """Addresses to which there are idle connections."""
        return [address for address, idle in self._idle.items() if idle]

    def _take_idle(self, address, outgoing, *, retryable):
        """Return the connection that was used last, or None.

        Of those that may carry a request for a grant, the one that was asked
        for the least is taken, so that the others can carry larger requests.
        """
        self._close_ended(address)
        idle = self._idle.get(address, [])
        fitting = [c for c in reversed(idle) if c.may_carry(outgoing)]
        fitting.sort(key=lambda c: c.spare_size(outgoing))
        for connection in fitting:
            idle.remove(connection)
            if connection.is_usable(retryable=retryable):
                return connection
            connection.close()
        return None

    def _close_ended(self, address):
        idle = self._idle.get(address, [])
        for connection in tuple(idle):
            if not (
                connection.is_usable(retryable=True)
                and self._fits_link(connection)
            ):
                idle.remove(connection)
                connection.close()

    def _fits_link(self, connection):
        """Return whether new requests may go the way of a connection.

        A link that is cut may answer in between; it carries no requests
        before its hold time has passed.
        """
        state = self.connector.links.state(connection.address)
        if connection.helper:
            return state is not LinkState.SOUND
        return state is not LinkState.CUT
