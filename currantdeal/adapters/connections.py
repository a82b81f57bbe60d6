"""Sends HTTP requests to upstreams over pooled or new connections.

Pooled connections are for short calls that may be repeated.  A request whose
loss costs more than the round trip of opening a connection (a prefill, a
call that must not run twice, a resumed stream) gets a new one: a pooled
connection can be dead while new ones work (gray failure), which only shows
once it is used.

See Also
--------
currantdeal.adapters.peers : the same for calls between instances
"""

import socket
import time
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from currantdeal.core import (
    Ran,
    UpstreamCrashedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from currantdeal.policy.answer_end import (
    Completeness,
    Position,
    completeness,
    framing_of,
    orderly_ending,
)

MAX_IDLE_AGE_S = 2.0
"""Idle time after which a pooled connection is not reused.

Engines are called several times a second while they serve requests, so a
connection idle for longer belongs to an upstream with little load, where one
more round trip does not matter.
"""

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; some dozen round trips between regions."""

_POOLS = 2048
_IDLE_PER_ADDRESS = 8
_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
]


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """A request to an upstream."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """The answer of an upstream, received to its end.

    Parameters
    ----------
    is_known_whole : bool
        False if only the close of the connection ended the body, which may
        be incomplete.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_known_whole: bool = True


class _ExpiringPool(urllib3.HTTPConnectionPool):
    _valid_from_s = 0.0

    def invalidate_idle(self):
        """Do not reuse any connection that is idle now."""
        self._valid_from_s = time.monotonic()

    def _get_conn(self, timeout=None):
        conn = super()._get_conn(timeout)
        valid_from_s = max(
            self._valid_from_s, time.monotonic() - MAX_IDLE_AGE_S
        )
        if getattr(conn, "idle_since_s", valid_from_s) < valid_from_s:
            conn.close()
        return conn

    def _put_conn(self, conn):
        if conn is not None:
            conn.idle_since_s = time.monotonic()
        super()._put_conn(conn)


class Connections:
    """Sends each request once, on a pooled or on a new connection."""

    def __init__(self):
        """Start with no connections."""
        self._pools = urllib3.PoolManager(
            num_pools=_POOLS,
            maxsize=_IDLE_PER_ADDRESS,
            block=False,
            socket_options=_OPTIONS,
        )
        self._pools.pool_classes_by_scheme = {"http": _ExpiringPool}

    def open(self, request, *, timeout_s, fresh=False):
        """Send the request and return the response with its body unread.

        Parameters
        ----------
        request : HttpRequest
            The request.
        timeout_s : float
            Longest time without data, before the response and within it.
        fresh : bool
            True to open a new connection for this request only.

        Raises
        ------
        UpstreamUnreachableError
            If no connection could be opened; the request was not run.
        UpstreamCrashedError
            If the connection broke and the upstream's process has ended.
        UpstreamTimeoutError
            If the connection broke or timed out; the request may have run.
        """
        pool = self._fresh(request) if fresh else self._pooled(request)
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            return pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=_headers_of(request, fresh),
                retries=False,
                redirect=False,
                assert_same_host=False,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            raise UpstreamUnreachableError(str(exc), ran=Ran.NO) from exc
        except (HTTPError, OSError) as exc:
            self.forget(request.address)
            raise connection_lost_error(request.address, exc) from exc

    def fetch(self, request, *, timeout_s, fresh=False):
        """Send the request and return the whole ``HttpResponse``."""
        response = self.open(request, timeout_s=timeout_s, fresh=fresh)
        try:
            body = response.read()
        except (HTTPError, OSError) as exc:
            response.close()
            self.forget(request.address)
            raise connection_lost_error(request.address, exc) from exc
        response.release_conn()
        headers = tuple(response.headers.items())
        return HttpResponse(
            status=response.status,
            headers=headers,
            body=body,
            is_known_whole=_is_known_whole(request, response.status, headers),
        )

    def forget(self, address):
        """Stop reusing the idle connections to an address.

        When one connection of a path is dead, the others most likely are
        too, and each of them would cost another timeout.
        """
        host, _, port = address.rpartition(":")
        self._pools.connection_from_host(host, int(port)).invalidate_idle()

    def _pooled(self, request):
        host, _, port = request.address.rpartition(":")
        return self._pools.connection_from_host(host, int(port))

    def _fresh(self, request):
        host, _, port = request.address.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, socket_options=_OPTIONS
        )


def connection_lost_error(address, failure):
    """Return the error for a connection lost during a request.

    A connection that ends early may have been reset by the network.  Only if
    the upstream's process has ended are new connections refused.
    """
    crashed = not isinstance(
        failure, ReadTimeoutError
    ) and _refuses_connections(address)
    error = UpstreamCrashedError if crashed else UpstreamTimeoutError
    return error(str(failure), ran=Ran.MAYBE)


def _refuses_connections(address):
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # The upstream may be unreachable, which does not prove a crash.
        return False
    return False


def _is_known_whole(request, status, headers):
    framing = framing_of(
        method=request.method,
        status=status,
        headers=((name.lower().encode(), value) for name, value in headers),
    )
    ending = orderly_ending(framing)
    found = completeness(framing, ending, Position.NO_EVENTS)
    return found is Completeness.WHOLE


def _headers_of(request, fresh):
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    if fresh:
        headers["Connection"] = "close"
    return headers
