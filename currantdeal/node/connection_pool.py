"""Pool of connections to upstreams, and small exchanges over them.

The load pattern is connection churn: many entries each call many engines now
and then, and a new connection costs a round trip and work on the engine.
Idle connections are therefore kept for as long as the upstream keeps them and
reused for retryable requests.  A request that may run only once is sent only
on a recently used connection, because an upstream may be closing an older
one.  A request whose answer could not be told from an extra one gets a
connection of its own.
"""

import asyncio

from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.errors import (
    ConnectError,
    ConnectRefusedError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from currantdeal.node.extra_answers import ExtraAnswerLog
from currantdeal.node.http_client import RECEIVE_BYTES, UpstreamConnection
from currantdeal.node.settings import split_address
from currantdeal.policy.answers.reset_outcome import ExchangePhase

CONNECT_TIMEOUT_S = 0.8
"""Timeout for opening a connection.

It is shorter than the time after which TCP retransmits a lost first packet.
"""

MAX_CALL_ANSWER_BYTES = 65_536
"""Maximum size of the answer to a call of the system."""

MAX_IDLE = 16
"""Maximum number of idle connections kept for one upstream."""


class ConnectionPool:
    """Pool of reusable connections to upstreams.

    A new connection costs an upstream as much as several health checks.

    Parameters
    ----------
    metrics : currantdeal.ports.MetricsPort or None
        Counts extra answers, if given.

    Attributes
    ----------
    on_connected : callable or None
        Called with the address and the duration of each new connection.
    """

    def __init__(self, *, metrics=None):
        """Start with an empty pool."""
        self._extra_answers = ExtraAnswerLog(metrics=metrics)
        self._buffered = BufferedAnswers()
        self._receive_buffer = bytearray(RECEIVE_BYTES)
        self._idle = {}
        self.on_connected = None

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

    def is_connected(self, address):
        """Return whether an idle connection can take a retryable request."""
        idle = self._idle.get(address, ())
        return any(c.is_usable(retryable=True) for c in idle)

    async def open(self, address, *, timeout_s=CONNECT_TIMEOUT_S):
        """Open and return a new connection.

        Raises
        ------
        ConnectRefusedError
            If no process listens at the address.
        ConnectError
            If the connection could not be opened in time.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        began_s = loop.time()
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(
                        address=address,
                        extra_answers=self._extra_answers,
                        buffered=self._buffered,
                        receive_buffer=self._receive_buffer,
                    ),
                    host,
                    port,
                )
        except TimeoutError:
            raise ConnectError(
                f"{address} does not accept connections"
            ) from None
        except ConnectionRefusedError as exc:
            raise ConnectRefusedError(f"{address}: {exc}") from exc
        except OSError as exc:
            raise ConnectError(f"{address}: {exc}") from exc
        if self.on_connected is not None:
            self.on_connected(address, loop.time() - began_s)
        return connection

    def release(self, connection):
        """Return a connection to the pool after an exchange, or close it."""
        idle = self._idle.setdefault(connection.address, [])
        if connection.reusable and len(idle) < MAX_IDLE:
            idle.append(connection)
        else:
            connection.close()

    def close_idle(self, address):
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

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
            if not connection.is_usable(retryable=True):
                idle.remove(connection)
                connection.close()


async def exchange(
    pool,
    address,
    outgoing,
    *,
    timeout_s,
    limit=MAX_CALL_ANSWER_BYTES,
    retryable=False,
    may_repeat=None,
):
    """Send a small request and return the response head and the whole body.

    Parameters
    ----------
    timeout_s : float
        Time within which the whole response must be received.
    limit : int
        Maximum size of the response body, in bytes.
    retryable : bool
        True for a retryable request, one that may be lost and sent again.
        If the upstream had already closed the reused connection on which it
        was sent, the request is sent once more on a new connection.
    may_repeat : callable or None
        Coroutine function that is asked before the request of a caller is
        sent once more.  Without it, only calls of the system are.

    Raises
    ------
    ExchangeError
        If no complete response is received within ``timeout_s``.
    """
    connection = await pool.acquire(
        address, outgoing, timeout_s=timeout_s, retryable=retryable
    )
    reused = connection.used
    try:
        return await _exchange_on(
            pool, connection, outgoing, timeout_s=timeout_s, limit=limit
        )
    except InvalidResponseError as exc:
        if not (retryable and reused):
            raise
        if not await _may_repeat(outgoing, may_repeat):
            raise
        first_error = exc
    try:
        connection = await pool.open(address, timeout_s=timeout_s)
    except ConnectRefusedError:
        # The upstream's process has ended, rather than just closed an idle
        # connection, and the request that was sent may have crashed it.
        first_error.has_ended = True
        raise first_error from None
    return await _exchange_on(
        pool, connection, outgoing, timeout_s=timeout_s, limit=limit
    )


async def _may_repeat(outgoing, may_repeat):
    if may_repeat is None:
        return not outgoing.is_id_echoed
    return await may_repeat()


async def _exchange_on(pool, connection, outgoing, *, timeout_s, limit):
    try:
        async with asyncio.timeout(timeout_s):
            connection.send(outgoing)
            head = await connection.head()
            body = await connection.rest(limit=limit)
    except TimeoutError:
        connection.close()
        raise ResponseTimeoutError(
            f"no answer from {connection.address} in {timeout_s:.2f} s",
            phase=ExchangePhase.AWAITING_ANSWER,
        ) from None
    except BaseException:
        connection.close()
        raise
    if _is_of_no_more_use(connection, outgoing, head):
        connection.close()
    else:
        pool.release(connection)
    return head, body


def _is_of_no_more_use(connection, outgoing, head):
    """Return whether no request is likely to follow on a connection.

    The next call of the system needs another connection.  Upstreams bound
    the number of their connections.
    """
    if outgoing.is_id_echoed or outgoing.grant is not None:
        return False
    return head.status >= 400 and not connection.recognises_calls
