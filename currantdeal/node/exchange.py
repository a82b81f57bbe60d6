"""Exchanges of small requests and answers with upstreams."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from currantdeal.node.errors import (
    ConnectError,
    InvalidResponseError,
    ResponseTimeoutError,
)
from currantdeal.policy.answers.reset_outcome import ExchangePhase

MAX_CALL_ANSWER_BYTES = 65_536
"""Maximum size of the answer to a call of the system."""


@dataclass(frozen=True, kw_only=True)
class EarlyLeave:
    """When an exchange is given up before its time is over.

    Parameters
    ----------
    after_s : float
        Time for which a connection, and then the whole response, is awaited
        in any case.
    may_leave : callable
        Coroutine function that is asked once, after that time.
    """

    after_s: float
    may_leave: Callable


async def exchange(
    pool,
    address,
    outgoing,
    *,
    timeout_s,
    limit=MAX_CALL_ANSWER_BYTES,
    retryable=False,
    may_repeat=None,
    leave=None,
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
    leave : EarlyLeave or None
        When to give up before ``timeout_s``.

    Raises
    ------
    ExchangeError
        If no complete response is received within ``timeout_s``.
    """
    connect_s = timeout_s if leave is None else leave.after_s
    connection = await pool.acquire(
        address, outgoing, timeout_s=connect_s, retryable=retryable
    )
    reused = connection.used
    try:
        return await exchange_on(
            pool,
            connection,
            outgoing,
            timeout_s=timeout_s,
            limit=limit,
            leave=leave,
        )
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
    return await exchange_on(
        pool,
        connection,
        outgoing,
        timeout_s=timeout_s,
        limit=limit,
        leave=leave,
    )


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
    leave=None,
):
    """Send a request on a connection, see ``exchange``.

    The connection is returned to the pool afterwards, or closed.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    try:
        async with asyncio.timeout(timeout_s):
            answer = _receive_answer(connection, outgoing, limit)
            if leave is not None:
                answer = _unless_left(answer, leave)
            head, body = await answer
    except TimeoutError:
        connection.close()
        raise ResponseTimeoutError(
            f"no answer from {connection.address} in "
            f"{loop.time() - began_s:.2f} s",
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


async def _receive_answer(connection, outgoing, limit):
    connection.send(outgoing)
    head = await connection.head()
    return head, await connection.rest(limit=limit)


async def _unless_left(answer, leave):
    """Return an answer; raise ``TimeoutError`` if it is left before."""
    receiving = asyncio.ensure_future(answer)
    try:
        done, _ = await asyncio.wait({receiving}, timeout=leave.after_s)
        if not done and await leave.may_leave() and not receiving.done():
            raise TimeoutError
        return await receiving
    finally:
        receiving.cancel()


def _is_of_no_more_use(connection, outgoing, head):
    """Return whether no request is likely to follow on a connection.

    The next call of the system needs another connection.  Upstreams bound
    the number of their connections.
    """
    if outgoing.is_id_echoed or outgoing.grant is not None:
        return False
    return head.status >= 400 and not connection.recognises_calls
