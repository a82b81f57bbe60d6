"""Build answers of upstreams in each framing, and parse those of an entry.

Neither side uses the product's parser.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.testing.platform_upstream import StandInUpstream

READ_DELAY_S = 0.05
"""Time for a receiver to read: a reset discards unread bytes."""


class Shape(str, Enum):
    """How an upstream marks the end of its answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    NEITHER = "neither"
    HTTP_1_0 = "http-1.0"


OPEN_SHAPES = (Shape.NEITHER, Shape.HTTP_1_0)
"""Shapes of answers that end with their connection."""


class Close(str, Enum):
    """What an upstream does after the last byte that it sends.

    ``FRAMED`` ends the answer in its framing, also if bytes are missing.
    """

    FRAMED = "framed"
    FIN = "fin"
    RESET = "reset"


class Received(str, Enum):
    """What a caller knows of the answer that it received.

    ``WHOLE`` is an answer that its framing states to be complete, ``OPEN`` one
    with neither a length nor chunks whose connection was closed in order, and
    ``CUT`` one that is certainly incomplete.
    """

    WHOLE = "whole"
    OPEN = "open"
    CUT = "cut"


@dataclass(frozen=True, kw_only=True)
class Answer:
    """An answer that an upstream sends, perhaps only in part.

    Parameters
    ----------
    body : bytes
        The whole body.
    sent : int or None
        Number of its bytes that are sent; None for all.
    content_type : str
        Value of its ``Content-Type`` header; empty for none.
    pause_s : float
        Pause after each of its events; 0 to send all bytes at once.
    crashes : bool
        Whether the upstream stops listening before it closes.
    forwarded : asyncio.Event or None
        What it waits for before it closes, such as the arrival of a part of
        the answer at the caller.
    """

    body: bytes
    shape: Shape = Shape.CHUNKS
    close: Close = Close.FRAMED
    sent: int | None = None
    status: int = 200
    content_type: str = "text/event-stream"
    pause_s: float = 0.0
    crashes: bool = False
    forwarded: asyncio.Event | None = None

    @property
    def pieces(self):
        """The bytes that are sent, in the pieces that a pause separates."""
        body = self.body[: self.sent]
        if not self.pause_s:
            return (body,) if body else ()
        found = body.split(b"\n\n")
        ended = tuple(piece + b"\n\n" for piece in found[:-1])
        return (*ended, found[-1]) if found[-1] else ended

    def head(self, request, upstream):
        """Return the bytes of the head."""
        version = "1.0" if self.shape is Shape.HTTP_1_0 else "1.1"
        lines = [
            f"HTTP/{version} {self.status} Answer",
            f"X-Currantdeal-Request-Id: {request.request_id}",
            f"X-Currantdeal-Response-Signature: by-{upstream}",
        ]
        if self.content_type:
            lines.append(f"Content-Type: {self.content_type}")
        if self.shape is Shape.LENGTH:
            # One that is framed as complete states what it sends.
            framed = self.close is Close.FRAMED
            length = len(self.body[: self.sent] if framed else self.body)
            lines.append(f"Content-Length: {length}")
        elif self.shape is Shape.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


def events(first, last, *, line_end="\n"):
    """Return the bytes of events with ascending ids, ``last`` included."""
    return b"".join(
        f"id: {n}{line_end}data: piece {n}{line_end}{line_end}".encode()
        for n in range(first, last + 1)
    )


class ShapedUpstream(StandInUpstream):
    """An upstream whose runs get the answers that a function returns.

    Parameters
    ----------
    answer_to : callable
        Returns an ``Answer`` for a ``ReceivedRequest``, or None for the
        default one.
    """

    def __init__(self, *, answer_to, **more):
        """Store the function."""
        super().__init__(**more)
        self._answer_to = answer_to

    async def answer(self, request, writer):
        """Send the answer of the function."""
        answer = self._answer_to(request)
        if answer is None:
            await super().answer(request, writer)
            return
        writer.write(answer.head(request, self.upstream))
        await self._send_body(answer, writer)
        await asyncio.sleep(READ_DELAY_S)
        if answer.forwarded is not None:
            await answer.forwarded.wait()
        if answer.crashes:
            self.stop()
        if answer.close is Close.RESET:
            reset(writer)
        elif answer.close is Close.FIN or answer.shape in OPEN_SHAPES:
            writer.close()

    async def _send_body(self, answer, writer):
        for piece in answer.pieces:
            if answer.shape is Shape.CHUNKS:
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            else:
                writer.write(piece)
            await writer.drain()
            await asyncio.sleep(answer.pause_s)
        if answer.shape is Shape.CHUNKS and answer.close is Close.FRAMED:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


def reset(writer):
    """Close a connection with a TCP reset instead of a FIN."""
    if writer.transport.is_closing():
        return
    set_reset_on_close(writer.get_extra_info("socket"), True)
    writer.transport.abort()


@dataclass(frozen=True, kw_only=True)
class CallerAnswer:
    """An answer as a caller parses it."""

    status: int
    received: Received
    body: bytes


def parse_answer(raw):
    """Return the ``CallerAnswer`` in the bytes up to a connection's end.

    Parameters
    ----------
    raw : bytes
        The bytes; ``<reset>`` follows them if the connection was reset.
    """
    was_reset = raw.endswith(b"<reset>")
    head, _, rest = raw.removesuffix(b"<reset>").partition(b"\r\n\r\n")
    lines = head.decode("latin-1").lower().split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:])
    if "transfer-encoding" in headers:
        body, is_complete = _join_chunks(rest)
        received = Received.WHOLE if is_complete else Received.CUT
    elif "content-length" in headers:
        body = rest
        is_complete = len(body) == int(headers["content-length"])
        received = Received.WHOLE if is_complete else Received.CUT
    else:
        body = rest
        received = Received.CUT if was_reset else Received.OPEN
    return CallerAnswer(
        status=int(lines[0].split()[1]) if head else 0,
        received=received,
        body=body,
    )


def _join_chunks(rest):
    """Return the joined chunks, and whether the last one is there."""
    parts, at = [], 0
    while at < len(rest):
        end = rest.find(b"\r\n", at)
        size = rest[at : len(rest) if end < 0 else end]
        at += len(size) + 2
        length = int(size or b"0", 16)
        if not length:
            return b"".join(parts), True
        parts.append(rest[at : at + length])
        at += length + 2
    return b"".join(parts), False
