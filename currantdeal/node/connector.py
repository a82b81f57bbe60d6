"""Opens connections to upstreams, directly or through another entry."""

import asyncio

from currantdeal.node.errors import (
    ConnectError,
    ConnectRefusedError,
    LinkError,
)
from currantdeal.node.link_traffic import LinkTraffic
from currantdeal.node.settings import split_address
from currantdeal.node.sockets import UNREACHABLE_ERRORS
from currantdeal.policy.health.links import Links

CONNECT_TIMEOUT_S = 0.8
"""Timeout for opening a connection.

It is shorter than the time after which TCP retransmits a lost first packet.
"""

LINK_HEDGE_S = 0.3
"""Delay after which a slow connection is also opened through another entry."""


class Connector:
    """Opens connections over the links that this process has left.

    Parameters
    ----------
    make_connection : callable
        Returns an ``UpstreamConnection`` that is not open yet for the address
        of an upstream, that of the entry which leads there or an empty
        string, and a ``LinkTraffic``.

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

    def __init__(self, *, make_connection):
        """Start with sound links, and without other entries."""
        self._make_connection = make_connection
        self.on_connected = None
        self.links = Links()
        self.traffic = LinkTraffic(links=self.links)
        self.link_client = None

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
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        try:
            return await self.open_linked(address, timeout_s=timeout_s)
        except LinkError as exc:
            if exc.is_refused:
                raise ConnectRefusedError(str(exc)) from exc
            if not self.links.is_returning(address):
                raise
        # The helpers may be cut as well, or have ended.
        left_s = max(0.0, end_s - loop.time())
        return await self.open_direct(address, timeout_s=left_s)

    def avoid(self, helper):
        """Use an entry last for a while, after a connection through it ended.

        Does nothing for an empty string, which is a direct connection.
        """
        if helper and self.link_client is not None:
            self.link_client.avoid(helper)

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
                    lambda: self._make(address), host, port
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
            lambda helper: self._make(address, helper),
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

    def may_use(self, helper):
        """Return whether a helper still helps; true without a helper."""
        return not helper or self.link_client.is_listed(helper)

    def _make(self, address, helper=""):
        return self._make_connection(
            address=address, helper=helper, traffic=self.traffic
        )


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
