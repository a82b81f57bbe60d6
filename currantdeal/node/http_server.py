"""HTTP/1.1 server for callers, on the event loop."""

import asyncio

from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.caller_connection import CallerConnection
from currantdeal.node.http_request import RefusedRequest
from currantdeal.routing import CallerLimits

CUT_TIMEOUT_S = 0.1
"""Longest wait for the ends of requests that were cut."""


class HttpServer:
    """Accepts connections and passes complete requests to a handler.

    Parameters
    ----------
    handler : callable
        Coroutine function of a ``Request`` and a ``Responder``; cancelled
        when the caller disconnects.
    limits : callable
        Returns the ``CallerLimits`` in force.
    on_refused : callable
        Called with the status, the reason and the parser's detail of a
        malformed request.
    on_untaken : callable
        Called with the id of a request whose whole answer was written, the
        bytes that its caller has not taken, and the ``ConnectionEnd``.
    """

    def __init__(
        self,
        *,
        handler,
        limits=CallerLimits,
        on_refused=None,
        on_untaken=None,
    ):
        """Store the parameters; ``start`` begins listening."""
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused or (lambda status, reason, detail: None)
        self.on_untaken = on_untaken or (lambda request_id, size, end: None)
        self.connections = set()
        self.unsent = BufferedAnswers(
            measure=lambda writer: writer.unsent_bytes
        )
        self.unread = BufferedAnswers()
        self.closing = False
        self._listeners = []

    async def start(self, host, port):
        """Start to listen at a host and port, besides earlier ones."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: CallerConnection(server=self), host, port, backlog=1024
        )
        self._listeners.append(listener)

    @property
    def address(self):
        """Host and port at which this server listens first."""
        return self._listeners[0].sockets[0].getsockname()[:2]

    def stop_listening(self):
        """Stop accepting connections."""
        for listener in self._listeners:
            listener.close()

    def close_idle(self):
        """Close idle connections, and each other one after its request.

        A request that is in transit when its connection closes is answered
        with a reset, from which the caller learns that it was not read.
        """
        self.closing = True
        for connection in tuple(self.connections):
            connection.close_if_idle()

    @property
    def active_requests(self):
        """Number of requests in progress."""
        return sum(1 for c in self.connections if c.is_busy)

    def hand_over(self):
        """Give answers that wait here to the operating system."""
        for connection in self.connections:
            connection.hand_over()

    async def cut_all(self):
        """Cut the requests and answers that end with the process."""
        cut = [c for c in self.connections if c.ends_with_process]
        tasks = [connection.cut() for connection in cut]
        if tasks := [task for task in tasks if task is not None]:
            await asyncio.wait(tasks, timeout=CUT_TIMEOUT_S)

    def refuse_incoming(self, reason, *, choose_retry_after_s):
        """Refuse the requests of which only a part was received."""
        for connection in tuple(self.connections):
            if connection.is_receiving:
                connection.refuse(
                    RefusedRequest(
                        503, reason, retry_after_s=choose_retry_after_s()
                    )
                )

    @property
    def refused(self):
        """Number of connections that are closed once a refusal is read."""
        return sum(1 for c in self.connections if c.is_refused)

    @property
    def receiving(self):
        """Number of requests of which a part was received."""
        return sum(1 for c in self.connections if c.is_receiving)

    @property
    def untaken_answers(self):
        """Number of answers of which the callers have not taken all yet."""
        return sum(1 for c in self.connections if c.untaken_bytes)
