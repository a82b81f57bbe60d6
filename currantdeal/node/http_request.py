"""One request of a caller and its answer, as handlers see them."""

import re

_DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?:[/;\\]|$)", re.IGNORECASE)


class RefusedRequest(Exception):  # noqa: N818
    """The bytes are not a request that may be handled.

    Parameters
    ----------
    status : int
        Status to answer with.
    reason : str
        Text for the caller.
    detail : str
        What the parser says, for the log.
    """

    def __init__(self, status, reason, *, detail=""):
        """Keep the status and the detail."""
        super().__init__(reason)
        self.status = status
        self.detail = detail


class Request:
    """One whole request.

    Parameters
    ----------
    head : RequestHead
        Method, target and headers.
    body : bytes
        The whole body, with no transfer coding.
    arrived_s : float
        Loop time at which its first bytes came.
    sender : str
        Network address that it came from, or empty.
    """

    def __init__(self, *, head, body, arrived_s, sender=""):
        """Keep the parts."""
        self.head = head
        self.body = body
        self.arrived_s = arrived_s
        self.sender = sender


class Responder:
    """Writes one answer to a caller."""

    def __init__(self, *, connection):
        """Answer on a connection."""
        self._connection = connection
        self.started = False

    def begin(self, status, headers):
        """Send the head; without a length the body is sent in chunks."""
        self.started = True
        self._connection.send_head(status, headers)

    async def send(self, data):
        """Send a part of the body; waits while the caller reads slowly."""
        self._connection.send_body(data)
        await self._connection.writable()

    def finish(self):
        """End the answer as complete."""
        self._connection.send_end()

    def abort(self):
        """Break the answer off so that it cannot look complete."""
        self._connection.abort()

    def answer(self, status, headers, body):
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode("ascii"))
        self.begin(status, (*headers, length))
        if body:
            self._connection.send_body(body)
        self.finish()


def check_head(head):
    """Refuse a head that two parsers may end in different places."""
    if b"\n " in head or b"\n\t" in head:
        raise RefusedRequest(400, "folded header lines are not accepted")
    if head.count(b"\n") != head.count(b"\r\n"):
        raise RefusedRequest(400, "lines must end with CR LF")


def check_target(target):
    """Refuse a target of which two parsers may make two paths.

    A route matches by the prefix of a path.  An upstream that resolves dot
    segments would run another path than the one that was matched.

    Raises
    ------
    RefusedRequest
        If the target is no path, or has dot segments, plain or encoded.

    Examples
    --------
    >>> check_target("/order/7/..data?next=/../x")
    >>> check_target("/order/%2E%2e/admin")
    Traceback (most recent call last):
    ...
    currantdeal.node.http_request.RefusedRequest: the path has dot segments
    """
    if not target.startswith("/"):
        raise RefusedRequest(400, "the target must be a path")
    if _DOT_SEGMENT.search(target.partition("?")[0]):
        raise RefusedRequest(400, "the path has dot segments")


def check_version(version):
    """Refuse a major version of HTTP other than 1.

    Raises
    ------
    RefusedRequest
        With status 505.

    Examples
    --------
    >>> check_version("1.1")
    >>> check_version("9.9")
    Traceback (most recent call last):
    ...
    currantdeal.node.http_request.RefusedRequest: HTTP/9.9 is not supported
    """
    if version.partition(".")[0] != "1":
        raise RefusedRequest(505, f"HTTP/{version} is not supported")


def content_length(headers):
    """Return the length that a head names, or 0."""
    for key, value in headers:
        if key == b"content-length":
            return int(value)
    return 0
