"""Sends HTTP requests to upstreams, each on a connection of its own.

Requests to these upstreams have no id.  On a connection that has carried
another request, an upstream that answers that one twice would be taken to
answer the next one.  A kept connection can also be dead while new ones work
(gray failure), which only shows once it is used.

See Also
--------
currantdeal.adapters.peers : the same for calls between instances
"""

import socket
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
from currantdeal.policy.answers.answer_end import (
    Completeness,
    Position,
    completeness,
    framing_of,
    orderly_ending,
)

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; some dozen round trips between regions."""

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


class _Connection(HTTPConnection):
    """A connection whose connect timeout does not limit the request."""

    def __init__(self, *args, send_timeout_s, **options):
        super().__init__(*args, **options)
        self._send_timeout_s = send_timeout_s

    def connect(self):
        super().connect()
        self.sock.settimeout(self._send_timeout_s)


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


class Connections:
    """Sends each request once, on a new connection."""

    def open(self, request, *, timeout_s):
        """Send the request and return the response with its body unread.

        Parameters
        ----------
        request : HttpRequest
            The request.
        timeout_s : float
            Longest time to send the request, and without data afterwards,
            before the response and within it.

        Raises
        ------
        UpstreamUnreachableError
            If no connection could be opened; the request was not run.
        UpstreamCrashedError
            If the connection broke and the upstream's process has ended.
        UpstreamTimeoutError
            If the connection broke or timed out; the request may have run.
        """
        host, _, port = request.address.rpartition(":")
        pool = _Pool(
            host,
            int(port),
            maxsize=1,
            socket_options=_OPTIONS,
            send_timeout_s=timeout_s,
        )
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            return pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=_headers_of(request),
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
            raise connection_lost_error(request.address, exc) from exc

    def fetch(self, request, *, timeout_s):
        """Send the request and return the whole ``HttpResponse``."""
        response = self.open(request, timeout_s=timeout_s)
        try:
            body = response.read()
        except (HTTPError, OSError) as exc:
            response.close()
            raise connection_lost_error(request.address, exc) from exc
        response.release_conn()
        headers = tuple(response.headers.items())
        return HttpResponse(
            status=response.status,
            headers=headers,
            body=body,
            is_known_whole=_is_known_whole(request, response.status, headers),
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


def _headers_of(request):
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    headers["Connection"] = "close"
    return headers
