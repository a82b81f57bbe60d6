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

from currantdeal.adapters.answer_bounds import (
    MAX_ANSWER_BYTES,
    AnswerTooLargeError,
    BoundedConnection,
    KeptAnswers,
    ReadBudget,
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
from currantdeal.policy.answers.chunk_sizes import ChunkSizes

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; some dozen round trips between regions."""

READ_BYTES = 65_536
"""Maximum number of bytes that are read at once."""

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


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = BoundedConnection


class OpenAnswer:
    """An answer whose body is not received yet.

    Parameters
    ----------
    response : urllib3.HTTPResponse
        Its head, and the connection.
    budget : ReadBudget
        Bytes that may still be read from the connection.
    address : str
        The upstream.
    """

    def __init__(self, *, response, budget, address):
        """Receive nothing yet."""
        self._response = response
        self._budget = budget
        self._address = address

    @property
    def status(self):
        """Status of the answer."""
        return self._response.status

    @property
    def headers(self):
        """Names and values of the headers."""
        return tuple(self._response.headers.items())

    def allow(self, size_bytes):
        """Allow the upstream to send a number of bytes from now on."""
        self._budget.refill(size_bytes)

    def parts(self):
        """Yield the bytes of the body as they arrive.

        Raises
        ------
        UpstreamTimeoutError
            If the connection broke or timed out, or the upstream sends more
            than is allowed.
        """
        chunks = ChunkSizes()
        try:
            for part in self._parts():
                chunks.add(part)
                if chunks.are_too_small:
                    raise AnswerTooLargeError("the chunks are too small")
                yield part
        except (HTTPError, OSError) as exc:
            raise connection_lost_error(self._address, exc) from exc

    def close(self):
        """Close the connection."""
        self._response.close()

    def _parts(self):
        if self._response.chunked:
            # Each read passes through fewer layers than with ``read1``.
            yield from self._response.read_chunked(
                READ_BYTES, decode_content=False
            )
            return
        while data := self._response.read1(READ_BYTES):
            yield data


class Connections:
    """Sends each request once, on a new connection."""

    def __init__(self):
        """Keep no answers yet."""
        self._kept = KeptAnswers()

    def open(self, request, *, timeout_s):
        """Send the request and return the answer with its body unread.

        Parameters
        ----------
        request : HttpRequest
            The request.
        timeout_s : float
            Longest time to send the request, and without data afterwards,
            before the response and within it.

        Returns
        -------
        OpenAnswer
            May send ``MAX_ANSWER_BYTES`` unless more are allowed.

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
        budget = ReadBudget()
        pool = _Pool(
            host,
            int(port),
            maxsize=1,
            socket_options=_OPTIONS,
            send_timeout_s=timeout_s,
            budget=budget,
        )
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
        )
        try:
            response = pool.urlopen(
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
        answer = OpenAnswer(
            response=response, budget=budget, address=request.address
        )
        answer.allow(MAX_ANSWER_BYTES)
        return answer

    def fetch(self, request, *, timeout_s):
        """Send the request and return the whole ``HttpResponse``."""
        answer = self.open(request, timeout_s=timeout_s)
        try:
            body = self.read(answer)
        finally:
            answer.close()
        return HttpResponse(
            status=answer.status,
            headers=answer.headers,
            body=body,
            is_known_whole=_is_known_whole(
                request, answer.status, answer.headers
            ),
        )

    def read(self, answer):
        """Return the whole body of an ``OpenAnswer``.

        Raises
        ------
        UpstreamTimeoutError
            See ``OpenAnswer.parts``; also if the answers that all threads are
            receiving take too much memory.
        """
        body = bytearray()
        try:
            for part in answer.parts():
                body += part
                self._kept.record(answer, len(body))
            return bytes(body)
        except AnswerTooLargeError as exc:
            raise UpstreamTimeoutError(str(exc), ran=Ran.MAYBE) from exc
        finally:
            # The traceback of an error would keep it.
            body.clear()
            self._kept.record(answer, 0)


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
