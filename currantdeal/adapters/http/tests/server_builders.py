"""Builders of servers and clients for tests of the HTTP listener."""

import contextlib

from currantdeal.adapters.http.app import App, Routes
from currantdeal.adapters.http.messages import Response
from currantdeal.adapters.http.server import HttpServer
from currantdeal.adapters.metrics import Metrics


@contextlib.contextmanager
def instance(handler, *, threads=2):
    """Run a server whose answers to all requests a handler returns."""
    routes = Routes()
    routes.add("GET", "/.*", handler)
    server = HttpServer(
        app=App(
            routes=routes, keys=None, metrics=Metrics(), max_body_bytes=1_000
        ),
        host="127.0.0.1",
        port=0,
        threads=threads,
        max_header_bytes=4_000,
        max_body_bytes=1_000,
    )
    server.start()
    yield server.port
    server.stop()


class StreamBody:
    """Body of equal events at an interval, until it is closed.

    Parameters
    ----------
    events : iterable of bytes
        The events.
    wait : callable
        Called with each event's number, before the next one.

    Attributes
    ----------
    is_closed : bool
        Whether the server has closed the body, which frees its engine.
    """

    def __init__(self, *, events, wait):
        """Send nothing before iteration."""
        self.is_closed = False
        self._events = events
        self._wait = wait

    def __iter__(self):
        """Yield the events."""
        for number, event in enumerate(self._events):
            yield event
            self._wait(number)

    def close(self):
        """Record that the body is needed no more."""
        self.is_closed = True


def text_response(size):
    """Return a complete answer of a size in bytes."""
    return Response(body=b"x" * size)
