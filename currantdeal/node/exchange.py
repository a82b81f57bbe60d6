"""Exchanges of small requests and answers with upstreams."""

import asyncio
import math

from currantdeal.node.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from currantdeal.policy.answers.reset_outcome import ExchangePhase

MAX_CALL_ANSWER_BYTES = 65_536
"""Maximum size of the answer to a call of the system."""

LATE_CHECK_S = 0.1
"""Interval at which a late answer is looked for."""


async def exchange(
    pool,
    address,
    outgoing,
    *,
    timeout_s,
    connect_timeout_s=math.inf,
    limit=MAX_CALL_ANSWER_BYTES,
    retryable=False,
    may_repeat=None,
    has_expired=lambda: False,
    on_late=None,
):
    """Send a small request and return the response head and the whole body.

    Parameters
    ----------
    timeout_s : float
        Time within which the whole response must be received.
    connect_timeout_s : float
        Time within which a connection must be open, if that is shorter.
    limit : int
        Maximum size of the response body, in bytes.
    retryable : bool
        True for a retryable request, one that may be lost and sent again.
        If the upstream had already closed the reused connection on which it
        was sent, the request is sent once more on a new connection.
    may_repeat : callable or None
        Coroutine function that is asked before the request of a caller is
        sent once more.  Without it, only calls of the system are.
    has_expired : callable
        Returns whether a cancellation is the end of the request's own time.
        An answer that is whole at the end of either time is returned.
    on_late : callable or None
        Called with a ``LateResponse`` if none was received in time.  Without
        it, the connection is closed.

    Raises
    ------
    ExchangeError
        If no complete response is received within ``timeout_s``.
    """
    connect_s = min(timeout_s, connect_timeout_s)
    connection = await pool.acquire(
        address, outgoing, timeout_s=connect_s, retryable=retryable
    )
    reused = connection.used
    options = {
        "timeout_s": timeout_s,
        "limit": limit,
        "has_expired": has_expired,
        "on_late": on_late,
    }
    try:
        return await exchange_on(pool, connection, outgoing, **options)
    except InvalidResponseError as exc:
        if not (retryable and reused):
            raise
        if not await _may_repeat(outgoing, may_repeat):
            raise
        first_error = exc
    try:
        connection = await pool.open(address, timeout_s=connect_s)
    except ConnectError as exc:
        # If the upstream's process has ended, rather than just closed an idle
        # connection, the request that was sent may have crashed it.
        first_error.has_ended = exc.has_ended
        raise first_error from None
    return await exchange_on(pool, connection, outgoing, **options)


async def _may_repeat(outgoing, may_repeat):
    if may_repeat is None:
        return not outgoing.is_id_echoed
    return await may_repeat()


async def exchange_on(
    pool,
    connection,
    outgoing,
    *,
    timeout_s,
    limit=MAX_CALL_ANSWER_BYTES,
    has_expired=lambda: False,
    on_late=None,
):
    """Send a request on a connection, see ``exchange``.

    The connection is returned to the pool afterwards, or closed.
    """
    answer = _Answer(connection=connection, limit=limit)
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    try:
        connection.send(outgoing)
        await answer.receive(timeout_s=timeout_s, has_expired=has_expired)
    except TimeoutError:
        late = LateResponse(connection=connection, answer=answer)
        if on_late is None:
            late.discard()
        else:
            on_late(late)
        raise _timeout(connection, loop.time() - began_s) from None
    except BaseException:
        connection.close()
        answer.discard()
        raise
    if _is_of_no_more_use(connection, outgoing, answer.head):
        connection.close()
    else:
        pool.release(connection)
    return answer.head, answer.body


class LateResponse:
    """The response to a request whose time is over, if it still comes.

    Parameters
    ----------
    connection : UpstreamConnection
        Connection on which it is awaited, and which is closed afterwards.
    answer : _Answer
        What was received of it.
    """

    def __init__(self, *, connection, answer):
        """Start with what was received in time."""
        self._connection = connection
        self._answer = answer

    async def receive(self, *, timeout_s, rest_s):
        """Return the head and the whole body.

        Parameters
        ----------
        timeout_s, rest_s : float
            Time in which it must begin, and the time for the rest of it.

        Raises
        ------
        ExchangeError
            If it is not received in that time, or had begun before: its
            upstream does not stand still, but never ends it.
        """
        try:
            if not self._connection.has_begun_answer:
                await self._begins(timeout_s)
                await self._answer.receive(
                    timeout_s=rest_s, has_expired=lambda: False
                )
                return self._answer.head, self._answer.body
        except TimeoutError:
            pass
        finally:
            self.discard()
        raise _timeout(self._connection, timeout_s)

    async def _begins(self, timeout_s):
        async with asyncio.timeout(timeout_s):
            while self._connection.is_open:
                if self._connection.has_begun_answer:
                    return
                await asyncio.sleep(LATE_CHECK_S)

    def discard(self):
        """Close the connection and free what was received."""
        self._connection.close()
        self._answer.discard()


def _timeout(connection, waited_s):
    return ResponseTimeoutError(
        f"no answer from {connection.address} in {waited_s:.2f} s",
        phase=ExchangePhase.AWAITING_ANSWER,
    )


class _Answer:
    """An answer that is kept as a whole.

    Parameters
    ----------
    connection : UpstreamConnection
        Connection on which it is awaited.
    limit : int
        Maximum size of its body, in bytes.
    """

    def __init__(self, *, connection, limit):
        """Start before its head."""
        self.head = None
        self.body = None
        self._connection = connection
        self._limit = limit
        self._parts = []

    async def receive(self, *, timeout_s, has_expired):
        """Receive it; see ``exchange`` for the parameters.

        The process may have stood still at the end of the time, so that the
        whole answer and the timer come together.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._receive_rest()
        except TimeoutError:
            if not self._connection.has_whole_answer():
                raise
            await self._receive_rest()
        except asyncio.CancelledError:
            if not (has_expired() and self._connection.has_whole_answer()):
                raise
            await self._receive_rest()

    def discard(self):
        """Free what was received, to which an error may refer for a while."""
        self._parts.clear()

    async def _receive_rest(self):
        if self.head is None:
            self.head = await self._connection.head()
        if self.body is None:
            self.body = await self._connection.rest(
                limit=self._limit, parts=self._parts
            )


def _is_of_no_more_use(connection, outgoing, head):
    """Return whether no request is likely to follow on a connection.

    The next call of the system needs another connection.  Upstreams bound
    the number of their connections.
    """
    if outgoing.is_id_echoed or outgoing.grant is not None:
        return False
    return head.status >= 400 and not connection.recognises_calls
