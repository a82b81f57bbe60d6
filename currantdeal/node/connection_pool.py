"""Connections to upstreams, kept for reuse, and small exchanges on them.

Load pattern: connection churn.  Many entries each call many engines now and
then, and a new connection costs a round trip and work of the engine.  So
connections are kept for as long as the upstream keeps them, for requests that
may be lost and sent again; what may run only once goes on a connection that
was used lately.
"""

import asyncio

from currantdeal.node.errors import (
    BrokenAnswerError,
    ConnectError,
    ConnectRefusedError,
    SilentUpstreamError,
)
from currantdeal.node.http_client import UpstreamConnection
from currantdeal.node.settings import split_address
from currantdeal.policy.reset_outcome import Moment

CONNECT_TIMEOUT_S = 0.8
"""Time to open a connection: less than until a lost first packet is repeated.
"""

MAX_IDLE = 16
"""Idle connections kept for one upstream."""


class ConnectionPool:
    """Connections to upstreams, kept for reuse.

    A new connection costs an upstream as much as several health checks.
    """

    def __init__(self):
        """Start without any."""
        self._idle = {}

    async def take(
        self, address, *, timeout_s=CONNECT_TIMEOUT_S, harmless=False
    ):
        """Return a connection, kept or new.

        Parameters
        ----------
        harmless : bool
            True for a request that may be lost and sent again; a connection
            that has been idle for longer will do.

        Raises
        ------
        ConnectError
            If none could be opened in time.
        """
        kept = self._idle.get(address)
        while kept:
            connection = kept.pop()
            if connection.is_usable(harmless=harmless):
                return connection
            connection.close()
        return await self.open(address, timeout_s=timeout_s)

    def is_connected(self, address):
        """Return whether a kept connection would do for a harmless request."""
        kept = self._idle.get(address, ())
        return any(c.is_usable(harmless=True) for c in kept)

    async def open(self, address, *, timeout_s=CONNECT_TIMEOUT_S):
        """Return a new connection.

        Raises
        ------
        ConnectRefusedError
            If nobody listens there.
        ConnectError
            If none could be opened in time.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(address=address), host, port
                )
        except TimeoutError:
            raise ConnectError(f"{address} does not accept") from None
        except ConnectionRefusedError as exc:
            raise ConnectRefusedError(f"{address}: {exc}") from exc
        except OSError as exc:
            raise ConnectError(f"{address}: {exc}") from exc
        return connection

    def put_back(self, connection):
        """Keep a connection whose exchange is over, or close it."""
        kept = self._idle.setdefault(connection.address, [])
        if connection.reusable and len(kept) < MAX_IDLE:
            kept.append(connection)
        else:
            connection.close()

    def forget(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()


async def exchange(
    pool, address, outgoing, *, timeout_s, limit=1 << 20, harmless=False
):
    """Send a small request and return the head and the whole body.

    Parameters
    ----------
    timeout_s : float
        Time for an answer.
    limit : int
        Largest body, in bytes.
    harmless : bool
        True for a request that may be lost and sent again.  If the upstream
        had given up the kept connection on which it was sent, it is sent
        once more on a new one.

    Raises
    ------
    ExchangeError
        If there is no whole answer within ``timeout_s``.
    """
    connection = await pool.take(
        address, timeout_s=timeout_s, harmless=harmless
    )
    kept = connection.used
    try:
        return await _exchange_on(
            pool, connection, outgoing, timeout_s=timeout_s, limit=limit
        )
    except BrokenAnswerError as exc:
        if not (harmless and kept):
            raise
        broken = exc
    try:
        connection = await pool.open(address, timeout_s=timeout_s)
    except ConnectRefusedError:
        # The upstream had not given the connection up: it ended, and the
        # request that was sent may be why.
        raise broken from None
    return await _exchange_on(
        pool, connection, outgoing, timeout_s=timeout_s, limit=limit
    )


async def _exchange_on(pool, connection, outgoing, *, timeout_s, limit):
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(outgoing)
            head = await connection.head()
            body = await connection.rest(limit=limit)
    except TimeoutError:
        connection.close()
        raise SilentUpstreamError(
            f"no answer from {connection.address} in {timeout_s:.2f} s",
            moment=Moment.AWAITING_ANSWER,
        ) from None
    except BaseException:
        connection.close()
        raise
    pool.put_back(connection)
    return head, body
