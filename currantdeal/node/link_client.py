"""Opens connections to upstreams through other entries."""

import asyncio
from dataclasses import dataclass
from typing import Any

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.node.errors import ExchangeError, LinkError
from currantdeal.node.futures import mark_retrieved
from currantdeal.node.link_messages import LinkAnswer, LinkCall, LinkOutcome
from currantdeal.node.peer_watch import peer_watch
from currantdeal.node.peers import (
    FrameReader,
    UnreadableFrameError,
    pack_frame,
)
from currantdeal.node.settings import split_address
from currantdeal.node.sockets import prepare_socket

HEDGE_S = 0.1
"""Delay after which the next entry is asked beside one that is slow."""


@dataclass(frozen=True, kw_only=True)
class _Attempt:
    """What became of the attempt through one entry."""

    connection: Any = None
    outcome: LinkOutcome = LinkOutcome.UNANSWERED
    is_sound: bool = False
    is_conclusive: bool = False


class LinkClient:
    """Opens connections through other entries, a few at a time.

    Parameters
    ----------
    choice : currantdeal.policy.placement.helper_choice.HelperChoice
        Order in which to ask them.
    groups : callable
        Returns the peer addresses of the other entries, by distance.
    metrics : currantdeal.ports.MetricsPort
        Counts links by their outcome.
    """

    def __init__(self, *, choice, groups, metrics):
        """Open nothing yet."""
        self._choice = choice
        self._groups = groups
        self._metrics = metrics

    @property
    def has_helpers(self):
        """Whether any other entry is known."""
        return any(self._groups())

    def is_listed(self, helper):
        """Return whether an entry may still be asked for help."""
        return any(helper in group for group in self._groups())

    def avoid(self, helper):
        """Ask an entry last for a while, since a link through it was lost."""
        self._choice.record_failure(helper, now_s=_now_s())

    async def open(self, address, make_connection, *, timeout_s, verify=None):
        """Return a connection to an upstream through another entry.

        Parameters
        ----------
        make_connection : callable
            Returns the protocol of the connection for a helper's address.
        verify : callable or None
            Coroutine function that raises ``ExchangeError`` unless the
            upstream answers on a connection.

        Raises
        ------
        LinkError
            If none was opened, or verified, in time.
        """
        left = list(self._choice.order(self._groups(), now_s=_now_s()))
        end_s = _now_s() + timeout_s
        pending, failed = set(), []
        try:
            while left or pending:
                if left:
                    helper = left.pop(0)
                    work = self._attempt(
                        helper, address, make_connection, end_s, verify
                    )
                    pending.add(asyncio.ensure_future(work))
                wait_s = end_s - _now_s()
                if wait_s <= 0.0:
                    break
                done, pending = await asyncio.wait(
                    pending,
                    timeout=min(wait_s, HEDGE_S) if left else wait_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                attempts = [task.result() for task in done]
                connection = _take_one(attempts)
                if connection is not None:
                    self._metrics.add("links_opened_total", outcome="opened")
                    return connection
                failed += attempts
                if any(attempt.is_conclusive for attempt in attempts):
                    break
        finally:
            _discard(pending)
        self._metrics.add("links_opened_total", outcome="failed")
        raise _error(address, failed)

    async def _attempt(self, helper, address, make_connection, end_s, verify):
        try:
            async with asyncio.timeout_at(end_s):
                found = await _call(
                    helper, address, make_connection, end_s - _now_s()
                )
                if found.connection is not None and verify is not None:
                    found = await _verified(found, verify)
        except (TimeoutError, OSError, UnreadableFrameError):
            found = _Attempt()
        if found.connection is not None:
            self._choice.record_success(helper, now_s=_now_s())
        elif not found.is_conclusive:
            self.avoid(helper)
        return found


_VERDICTS = (LinkOutcome.REFUSED, LinkOutcome.UNANSWERED)
"""Outcomes that say something of the upstream."""


class _Opening(asyncio.Protocol):
    """Sends a call on a connection to a helper and reads the answer."""

    def __init__(self, *, call):
        self._call = call
        self._reader = FrameReader()
        self._transport = None
        self._peer = None
        self.answer = asyncio.get_running_loop().create_future()
        self.answer.add_done_callback(mark_retrieved)

    def connection_made(self, transport):
        self._transport = transport
        self._peer = prepare_socket(transport, on_gone=self._fail)
        transport.write(pack_frame(FrameKind.CALL, 1, self._call))
        self._peer.record_write()

    def hand_over(self, protocol):
        """Let another protocol go on with the connection."""
        peer_watch().remove(self._peer)
        self._transport.set_protocol(protocol)
        protocol.connection_made(self._transport)
        self._transport.resume_reading()

    def data_received(self, data):
        try:
            message = self._reader.receive(data)
            if message is None:
                return
            if not isinstance(message, LinkAnswer):
                raise UnreadableFrameError("not an answer to a call for links")
        except UnreadableFrameError as exc:
            self._fail(exc)
            return
        if not self.answer.done():
            # Nothing but the upstream's bytes may follow.
            self._transport.pause_reading()
            self.answer.set_result(message)

    def connection_lost(self, exc):
        self._fail(exc or ConnectionResetError("closed without an answer"))

    def _fail(self, exc):
        self._transport.abort()
        if not self.answer.done():
            self.answer.set_exception(exc)


async def _call(helper, address, make_connection, timeout_s):
    """Return what became of the call to one helper, as an ``_Attempt``."""
    loop = asyncio.get_running_loop()
    host, port = split_address(helper)
    call = LinkCall(address=address, timeout_s=timeout_s)
    transport, opening = await loop.create_connection(
        lambda: _Opening(call=call), host, port
    )
    try:
        answer = await opening.answer
    except BaseException:
        transport.abort()
        raise
    if answer.outcome is not LinkOutcome.CONNECTED:
        transport.abort()
        return _Attempt(
            outcome=answer.outcome,
            is_sound=answer.is_sound,
            is_conclusive=answer.is_sound and answer.outcome in _VERDICTS,
        )
    connection = make_connection(helper)
    opening.hand_over(connection)
    return _Attempt(
        connection=connection,
        outcome=answer.outcome,
        is_sound=answer.is_sound,
    )


async def _verified(attempt, verify):
    """Return an attempt, without its connection if that has no answer."""
    try:
        await verify(attempt.connection)
    except ExchangeError:
        return _Attempt(is_conclusive=attempt.is_sound)
    except BaseException:
        attempt.connection.close()
        raise
    return attempt


def _take_one(attempts):
    """Return one connection that was opened, and close the others."""
    opened = [a.connection for a in attempts if a.connection]
    for spare in opened[1:]:
        spare.close()
    return opened[0] if opened else None


def _discard(pending):
    """Cancel attempts, and close what they may just have opened."""
    for task in pending:
        task.cancel()
        task.add_done_callback(_close_result)


def _close_result(task):
    if not task.cancelled() and task.result().connection is not None:
        task.result().connection.close()


def _error(address, failed):
    conclusive = [a for a in failed if a.is_conclusive]
    refused = any(a.outcome is LinkOutcome.REFUSED for a in conclusive)
    return LinkError(
        f"no other entry reaches {address}",
        is_conclusive=bool(conclusive),
        is_refused=refused,
    )


def _now_s():
    return asyncio.get_running_loop().time()
