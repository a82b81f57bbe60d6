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
    LinkError,
    ResponseTimeoutError,
)
from currantdeal.node.extra_answers import ExtraAnswerLog
from currantdeal.node.http_client import RECEIVE_BYTES, UpstreamConnection
from currantdeal.node.link_traffic import LinkTraffic
from currantdeal.node.settings import split_address
from currantdeal.node.sockets import UNREACHABLE_ERRORS
from currantdeal.policy.answers.reset_outcome import ExchangePhase
from currantdeal.policy.health.links import Links, LinkState

CONNECT_TIMEOUT_S = 0.8
"""Timeout for opening a connection.

It is shorter than the time after which TCP retransmits a lost first packet.
"""

LINK_HEDGE_S = 0.3
"""Delay after which a slow connection is also opened through another entry."""

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
        Called with the address and the duration of each new connection that
        is direct.
    links : currantdeal.policy.health.links.Links
        Links of this process to the upstreams.
    traffic : LinkTraffic
        Observes all connections.
    link_client : LinkClient or None
        Opens connections through other entries, where there are any.
    """

    def __init__(self, *, metrics=None):
        """Start with an empty pool."""
        self._extra_answers = ExtraAnswerLog(metrics=metrics)
        self._buffered = BufferedAnswers()
        self._receive_buffer = bytearray(RECEIVE_BYTES)
        self._idle = {}
        self.on_connected = None
        self.links = Links()
        self.traffic = LinkTraffic(links=self.links)
        self.link_client = None

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
        """Open and return a new connection, directly or by another entry.

        Raises
        ------
        ConnectRefusedError
            If no process listens at the address.
        ConnectError
            If the connection could not be opened in time.
        """
        timeout_s = min(timeout_s, CONNECT_TIMEOUT_S)
        if self.link_client is None or not self.link_client.has_helpers:
            return await self.open_direct(address, timeout_s=timeout_s)
        if not self.links.is_cut(address):
            return await self._open_either(address, timeout_s)
        try:
            return await self.open_linked(address, timeout_s=timeout_s)
        except LinkError as exc:
            if exc.is_refused:
                raise ConnectRefusedError(str(exc)) from exc
            raise

    async def open_direct(self, address, *, timeout_s):
        """Open a connection from this process to an upstream.

        Raises
        ------
        ConnectError
            See ``open``.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            host, port = split_address(address)
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: self._make_connection(address), host, port
                )
        except TimeoutError:
            raise ConnectError(
                f"{address} does not accept connections"
            ) from None
        except ConnectionRefusedError as exc:
            raise ConnectRefusedError(f"{address}: {exc}") from exc
        except UNREACHABLE_ERRORS as exc:
            raise ConnectError(f"{address}: {exc}") from exc
        if self.on_connected is not None:
            self.on_connected(address, loop.time() - began_s)
        return connection

    async def open_linked(self, address, *, timeout_s, verify=None):
        """Open a connection through another entry.

        Parameters
        ----------
        verify : callable or None
            See ``LinkClient.open``.

        Raises
        ------
        LinkError
            If none could be opened in time.
        """
        return await self.link_client.open(
            address,
            lambda helper: self._make_connection(address, helper),
            timeout_s=timeout_s,
            verify=verify,
        )

    async def _open_either(self, address, timeout_s):
        """Open a direct connection, or one by another entry if it fails."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        direct = asyncio.ensure_future(
            self.open_direct(address, timeout_s=timeout_s)
        )
        linked = chosen = None
        try:
            await asyncio.wait({direct}, timeout=min(LINK_HEDGE_S, timeout_s))
            if _has_opened(direct):
                chosen = direct.result()
                return chosen
            self.traffic.on_doubt(address, _failure_of(direct))
            linked = asyncio.ensure_future(
                self.open_linked(address, timeout_s=end_s - loop.time())
            )
            pending = {linked} if direct.done() else {direct, linked}
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if _has_opened(task):
                        chosen = task.result()
                        return chosen
            raise _connect_error(direct.exception(), linked.exception())
        finally:
            _discard((direct, linked), chosen)

    def _make_connection(self, address, helper=""):
        return UpstreamConnection(
            address=address,
            extra_answers=self._extra_answers,
            buffered=self._buffered,
            receive_buffer=self._receive_buffer,
            traffic=self.traffic,
            helper=helper,
        )

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
        is_sound = self.links.state(address) is LinkState.SOUND
        for connection in tuple(idle):
            if not connection.is_usable(retryable=True) or (
                is_sound and connection.helper
            ):
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
        return await exchange_on(
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
    return await exchange_on(
        pool, connection, outgoing, timeout_s=timeout_s, limit=limit
    )


async def _may_repeat(outgoing, may_repeat):
    if may_repeat is None:
        return not outgoing.is_id_echoed
    return await may_repeat()


async def exchange_on(
    pool, connection, outgoing, *, timeout_s, limit=MAX_CALL_ANSWER_BYTES
):
    """Send a request on a connection, see ``exchange``.

    The connection is returned to the pool afterwards, or closed.
    """
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


def _has_opened(task):
    return task.done() and not task.cancelled() and task.exception() is None


def _failure_of(direct):
    """Return why there is no direct connection yet."""
    if direct.done():
        return str(direct.exception())
    return f"no connection in {LINK_HEDGE_S:.1f} s"


def _connect_error(direct, linked):
    """Return the error after failures, directly and through other entries.

    That no process listens is only known if an entry with sound links has
    found the same: a partition may refuse connections as well.
    """
    if isinstance(direct, ConnectRefusedError) and not linked.is_refused:
        return ConnectError(f"{direct}, not confirmed by another entry")
    return direct


def _discard(tasks, chosen):
    """Cancel tasks that open connections, and close what is not chosen."""

    def close_other(task):
        if _has_opened(task) and task.result() is not chosen:
            task.result().close()

    for task in tasks:
        if task is not None:
            task.cancel()
            task.add_done_callback(close_other)
