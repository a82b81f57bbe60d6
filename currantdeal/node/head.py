"""Heads of HTTP messages, independent of the HTTP parser in use."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from currantdeal.policy.answers.answer_end import Framing

Headers = tuple[tuple[bytes, bytes], ...]

EVENT_STREAM = "text/event-stream"
"""Media type of a stream of events."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Hop-by-hop headers, which are never forwarded (RFC 9110)."""


@dataclass(frozen=True, kw_only=True)
class RequestHead:
    """Method, target and headers; header names are in lower case."""

    method: str
    target: str
    headers: Headers

    def get(self, name, default=None):
        """Return a header's value as text."""
        return find_header(self.headers, name, default)


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """Status and headers; header names are in lower case.

    Parameters
    ----------
    framing : Framing
        How the end of the body is marked.
    is_identified : bool
        Whether it is known which request it answers.  Otherwise only the
        grant that it names may be used, not its load or limits.
    """

    status: int
    headers: Headers
    framing: Framing = Framing.LENGTH
    is_identified: bool = True

    @property
    def media_type(self):
        """Media type of the body in lower case; empty if it is not stated."""
        value = self.get("content-type", "")
        return value.partition(";")[0].strip().lower()

    def get(self, name, default=None):
        """Return a header's value as text."""
        return find_header(self.headers, name, default)


@dataclass(frozen=True, kw_only=True)
class GrantRequest:
    """What a request for a grant asks for.

    Parameters
    ----------
    size : int
        How much, in tokens.
    read : callable
        Returns the name of what a body grants; empty if it grants nothing.
    """

    size: int
    read: Callable[[bytes], str]


@dataclass(frozen=True, kw_only=True)
class Outgoing:
    """A request to be sent to an upstream.

    Parameters
    ----------
    send_before_s : float
        Time since boot (``currantdeal.core.boot_time_s``) from which it must
        not be sent any more.
    id_header : bytes
        Name of the header with the id of the request, which its answer bears
        too.
    is_id_echoed : bool
        True if upstreams answer such a request only with its id.
    grant : GrantRequest or None
        What it asks for, if a successful answer names it.
    on_send : callable or None
        Called before it is sent; raises an error if it must not be.  Without
        one, only calls of the system are sent.
    """

    method: str
    target: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""
    send_before_s: float = math.inf
    id_header: bytes = b""
    is_id_echoed: bool = False
    grant: GrantRequest | None = None
    on_send: Callable[[], None] | None = None

    @property
    def request_id(self):
        """Id of the request as bytes; empty if it has none."""
        found = find_values(self.headers, self.id_header)
        return found[0] if found else b""


def find_header(headers, name, default=None):
    """Return the value of the first header with this name, as text.

    Examples
    --------
    >>> find_header(((b"host", b"a"),), "host")
    'a'
    """
    wanted = name.lower().encode("ascii")
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return default


def find_values(headers, name):
    """Return the values of all headers with this name in lower case.

    Examples
    --------
    >>> find_values(((b"via", b"a"), (b"host", b"b"), (b"via", b"c")), b"via")
    (b'a', b'c')
    """
    return tuple(value for key, value in headers if key == name)


def end_to_end(headers, *, without=frozenset()):
    """Return the headers that are forwarded to the next hop.

    Hop-by-hop headers, those listed in ``Connection`` and those in
    ``without`` are left out.
    """
    listed = _connection_options(headers)
    return tuple(
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in listed and key not in without
    )


def _connection_options(headers):
    values = [value for key, value in headers if key == b"connection"]
    return {
        part.strip().lower() for value in values for part in value.split(b",")
    }
