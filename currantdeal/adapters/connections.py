"""HTTP connections to upstreams.

Pooled connections are for short calls that may be repeated.  Anything whose
loss costs more than the round trip of opening a connection (a prefill, a
call that may not run twice, a resumed stream) goes on a new one: an old
connection can have gone silent for good while new ones work, and it looks
sound until it is used.

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
    UpstreamSilentError,
    UpstreamUnreachableError,
)

IDLE_AGE_S = 2.0
"""Idle time after which a pooled connection is not used again.

Engines are asked several times a second while they serve anything, so an
older connection belongs to a quiet upstream, where one more round trip is
of no account.
"""

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection; some dozen round trips between regions."""

_POOLS = 2048
_IDLE_PER_ADDRESS = 8
_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
]


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """What is sent to an upstream."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """What an upstream answered."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class _AgedPool(urllib3.HTTPConnectionPool):
    _trusted_from_s = 0.0

    def distrust(self):
        """Use no connection again that is idle now."""
        self._trusted_from_s = time.monotonic()

    def _get_conn(self, timeout=None):
        conn = super()._get_conn(timeout)
        oldest_s = max(self._trusted_from_s, time.monotonic() - IDLE_AGE_S)
        if getattr(conn, "idle_since_s", oldest_s) < oldest_s:
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
        self._pools.pool_classes_by_scheme = {"http": _AgedPool}

    def open(self, request, *, timeout_s, fresh=False):
        """Return the response as a stream, its body not yet read.

        Parameters
        ----------
        request : HttpRequest
            What to send.
        timeout_s : float
            Longest silence, before the response and within it.
        fresh : bool
            True to open a connection for this request alone.

        Raises
        ------
        UpstreamUnreachableError
            If no connection could be opened; nothing ran.
        UpstreamCrashedError
            If the connection broke and the upstream's process has ended.
        UpstreamSilentError
            If the connection broke or brought nothing; it may have run.
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
            raise lost_run(request.address, exc) from exc

    def fetch(self, request, *, timeout_s, fresh=False):
        """Return the response with its whole body, as ``HttpResponse``."""
        response = self.open(request, timeout_s=timeout_s, fresh=fresh)
        try:
            body = response.read()
        except (HTTPError, OSError) as exc:
            response.close()
            self.forget(request.address)
            raise lost_run(request.address, exc) from exc
        response.release_conn()
        return HttpResponse(
            status=response.status,
            headers=tuple(response.headers.items()),
            body=body,
        )

    def forget(self, address):
        """Close the idle connections to an address.

        When one connection of a path went silent, the others most likely
        did too; without this each would cost a timeout of its own.
        """
        host, _, port = address.rpartition(":")
        self._pools.connection_from_host(host, int(port)).distrust()

    def _pooled(self, request):
        host, _, port = request.address.rpartition(":")
        return self._pools.connection_from_host(host, int(port))

    def _fresh(self, request):
        host, _, port = request.address.rpartition(":")
        return urllib3.HTTPConnectionPool(
            host, int(port), maxsize=1, socket_options=_OPTIONS
        )


def lost_run(address, failure):
    """Return the error for a connection that was lost with a request.

    A connection that ends early may have been reset on its way; only a process
    that has ended refuses a new one.
    """
    crashed = not isinstance(failure, ReadTimeoutError) and _refuses(address)
    error = UpstreamCrashedError if crashed else UpstreamSilentError
    return error(str(failure), ran=Ran.MAYBE)


def _refuses(address):
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        # It may be cut off, which is no crash.
        return False
    return False


def _headers_of(request, fresh):
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    if fresh:
        headers["Connection"] = "close"
    return headers
