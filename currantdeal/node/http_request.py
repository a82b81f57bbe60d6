"""Requests of callers and their responses, as handlers see them.

Also checks request heads for forms that two parsers may read differently.
"""

import math
import re

from currantdeal.policy.answers.answer_end import Framing

_DOT_SEGMENT = re.compile(r"/(?:\.|%2e){1,2}(?:[/;\\]|$)", re.IGNORECASE)


class RefusedRequest(Exception):  # noqa: N818
    """The received bytes are not an acceptable request.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    reason : str
        Text for the caller.
    detail : str
        The parser's error message, for the log.
    retry_after_s : float or None
        Time after which the caller may send it again, if it may.
    """

    def __init__(self, status, reason, *, detail="", retry_after_s=None):
        """Store the status and what else the response needs."""
        super().__init__(reason)
        self.status = status
        self.detail = detail
        self.retry_after_s = retry_after_s


class Request:
    """A complete request.

    Parameters
    ----------
    head : RequestHead
        Method, target and headers.
    body : bytes
        The whole body, with its transfer coding removed.
    arrived_s : float
        Event-loop time at which its first bytes were received.
    sender : str
        Network address of the sender, or empty.
    """

    def __init__(self, *, head, body, arrived_s, sender=""):
        """Store the parts."""
        self.head = head
        self.body = body
        self.arrived_s = arrived_s
        self.sender = sender


class Responder:
    """Writes one response to a caller.

    Parameters
    ----------
    writer : ResponseWriter
        Writes to the connection.
    has_body : bool
        False if the response ends with its head, whatever body it describes.

    Attributes
    ----------
    started, finished : bool
        Whether the response was begun, and ended in order.
    request_id : str
        Names the request in log lines; empty until the handler has set it.
    deadline_s : float
        Event-loop time until which the caller may still read.
    """

    def __init__(self, *, writer, has_body=True):
        """Start without a response."""
        self._writer = writer
        self._has_body = has_body
        self.started = False
        self.finished = False
        self.request_id = ""
        self.deadline_s = -math.inf

    @property
    def connection_end(self):
        """The ``ConnectionEnd`` of the caller's connection, or None."""
        return self._writer.end

    def begin(self, status, headers, *, framing=Framing.CHUNKS):
        """Send the head.

        Parameters
        ----------
        headers : iterable of tuple
            Include the length if that is the framing.
        framing : Framing
            How the end of the body is marked.
        """
        self.started = True
        self._writer.send_head(status, headers, framing)

    async def send(self, data, source):
        """Send a part of the body; wait while the caller reads slowly.

        See ``ResponseWriter.writable``.
        """
        self._writer.send_body(data)
        return await self._writer.writable(source)

    def finish(self):
        """End the response in order, which completes a framed one."""
        self.finished = True
        self._writer.send_end()

    def abort(self):
        """Abort the connection so that the response cannot look complete."""
        self._writer.abort()

    def answer(self, status, headers, body, *, framing=Framing.LENGTH):
        """Send a response whose body is known.

        Parameters
        ----------
        framing : Framing
            ``LENGTH``, or ``CONNECTION`` if the body may be incomplete.
        """
        if framing is Framing.LENGTH:
            length = (b"content-length", str(len(body)).encode("ascii"))
            headers = (*headers, length)
        self.begin(status, headers, framing=framing)
        if body and self._has_body:
            self._writer.send_body(body)
        self.finish()


def check_head(head):
    """Reject a head that two parsers may end in different places.

    Raises
    ------
    RefusedRequest
        If a header line is folded or a line does not end with CR LF.
    """
    if b"\n " in head or b"\n\t" in head:
        raise RefusedRequest(400, "folded header lines are not accepted")
    if head.count(b"\n") != head.count(b"\r\n"):
        raise RefusedRequest(400, "lines must end with CR LF")


def check_target(target):
    """Reject a target that two parsers may resolve to different paths.

    A route matches by the prefix of a path.  An upstream that resolves dot
    segments would run a different path from the one that was matched.

    Raises
    ------
    RefusedRequest
        If the target is not a path, or has plain or encoded dot segments.

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
    """Reject a major version of HTTP other than 1.

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
    """Return the value of the ``Content-Length`` header, or 0."""
    for key, value in headers:
        if key == b"content-length":
            return int(value)
    return 0
