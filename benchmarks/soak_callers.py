"""Sends requests to entries during a soak and verifies the answers.

``Caller`` sends requests and records an ``Attempt`` for each;
``verify_attempts`` compares them with what the upstreams ran.
"""

import asyncio
import contextlib
from dataclasses import dataclass

import h11

from currantdeal.testing.answer_shapes import events
from currantdeal.testing.entry_world import GENERATION
from currantdeal.testing.platform_upstream import EVENTS, event_numbers
from currantdeal.testing.prompt_parts import PREFIX_HEADER, prefix_value

DEADLINE_S = 3.0
"""Deadline that callers send with each request."""

SOCKET_TIMEOUT_S = DEADLINE_S + 2.0
"""Time after which a caller abandons a silent socket."""

TARGETS = {
    "menu": ("/menu/1", ()),
    "order": ("/order/1", ()),
    "note": ("/note/1", GENERATION),
    "draft": ("/draft/1", GENERATION),
}
"""Path and headers by kind of request; the last two are streams."""

AT_MOST_ONCE = ("order", "note")
"""Kinds of requests that may run at most once."""


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """A request and its answer.

    Parameters
    ----------
    status : int
        Status of the answer; 0 if its head was not received in full.
    body : bytes
        The part of the body that was received.
    whole : bool
        True if the answer was received to its proper end.
    framed : bool
        False if it has neither a length nor chunks, so that only the close of
        its connection ended it.
    connected : bool
        False if no connection was established, so that nothing was sent.
    """

    request_id: str
    kind: str
    entry: str
    began_s: float
    ended_s: float
    status: int = 0
    body: bytes = b""
    whole: bool = False
    framed: bool = True
    connected: bool = True


class Caller:
    """Sends requests one after the other, reusing an open connection.

    Parameters
    ----------
    name : str
        Prefix of the ids of its requests.
    entries : dict
        Address of each entry by name.
    rng : random.Random
        Draws entries, kinds and pauses.
    attempts : list
        Receives every ``Attempt``.
    kinds : tuple of str
        Kinds of ``TARGETS`` to send.
    body : bytes or None
        Body of each request; None for the request's own id.
    longest_pause_s : float
        Longest pause between two requests.
    parts : callable
        Returns the parts of the prompt of the next generation that others may
        share.
    """

    def __init__(
        self,
        *,
        name,
        entries,
        rng,
        attempts,
        kinds=tuple(TARGETS),
        body=None,
        longest_pause_s=0.08,
        parts=tuple,
    ):
        """Prepare the caller; ``run`` starts to send."""
        self._kinds = kinds
        self._body = body
        self._longest_pause_s = longest_pause_s
        self._parts = parts
        self._name = name
        self._entries = entries
        self._rng = rng
        self._attempts = attempts
        self._count = 0
        self._connection = None

    async def run(self):
        """Send requests until cancelled."""
        while True:
            await self.send_one()
            await asyncio.sleep(self._rng.uniform(0.0, self._longest_pause_s))

    async def send_one(self):
        """Send one request and record the answer."""
        loop = asyncio.get_running_loop()
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        kind = self._rng.choice(self._kinds)
        entry = (
            self._connection[0] if self._connection else self._choose_entry()
        )
        began_s = loop.time()
        identity = {"request_id": request_id, "kind": kind, "entry": entry}
        try:
            async with asyncio.timeout(SOCKET_TIMEOUT_S):
                result = await self._exchange(entry, request_id, kind)
        except (OSError, TimeoutError):
            result = {"connected": False}
        self._attempts.append(
            Attempt(began_s=began_s, ended_s=loop.time(), **identity, **result)
        )

    def _choose_entry(self):
        return self._rng.choice(sorted(self._entries))

    async def _exchange(self, entry, request_id, kind):
        if self._connection is None:
            host, _, port = self._entries[entry].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            self._connection = (entry, reader, writer)
        _, reader, writer = self._connection
        self._connection = None
        http = h11.Connection(h11.CLIENT)
        result = {"status": 0, "body": b"", "whole": False}
        try:
            async with asyncio.timeout(SOCKET_TIMEOUT_S):
                body = self._body or request_id.encode()
                parts = self._parts()
                writer.write(_request(http, request_id, kind, body, parts))
                await _read(http, reader, result)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        if result["whole"] and http.their_state is h11.DONE:
            self._connection = (entry, reader, writer)
        else:
            with contextlib.suppress(OSError):
                writer.transport.abort()
        return result


class FixedChoice:
    """Replaces a random generator: draws one kind of request.

    Of other options, such as the only entry of a probe, it draws the first.
    """

    def __init__(self, kind):
        """Store the kind."""
        self._kind = kind

    def choice(self, options):
        """Return the kind if it is an option, else the first option."""
        return self._kind if self._kind in options else options[0]


def _request(http, request_id, kind, body, parts):
    target, extra = TARGETS[kind]
    headers = [line.split(": ") for line in extra]
    if headers and parts:
        headers.append([PREFIX_HEADER, prefix_value(parts, body.hex() or "0")])
    return (
        http.send(
            h11.Request(
                method="POST",
                target=target,
                headers=[
                    ("Host", "cakes.example"),
                    ("X-Currantdeal-Request-Id", request_id),
                    ("X-Currantdeal-Deadline-Ms", str(int(DEADLINE_S * 1e3))),
                    ("Content-Length", str(len(body))),
                    *headers,
                ],
            )
        )
        + http.send(h11.Data(data=body))
        + http.send(h11.EndOfMessage())
    )


_FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}


async def _read(http, reader, result):
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Response):
            result["status"] = event.status_code
            names = {name for name, _ in event.headers}
            result["framed"] = bool(names & _FRAMING_HEADERS)
        elif isinstance(event, h11.Data):
            result["body"] += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            result["whole"] = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


def verify_attempts(attempts, runs, *, closed=None):
    """Return the promises to callers that were violated.

    Parameters
    ----------
    attempts : iterable of Attempt
        All requests that callers sent.
    runs : Counter
        Number of times that upstreams ran each request, by request id.
    closed : dict or None
        By request id, where upstreams closed an answer with neither a length
        nor chunks in order: the last event of a stream, or the bytes of
        another answer.  None if all upstreams frame their answers.

    Returns
    -------
    list of tuple
        The promise and what was observed.
    """
    result = []
    for attempt in attempts:
        if attempt.status == 200 and attempt.whole:
            result += _verify_answer(attempt, closed or {})
        ran = runs[attempt.request_id]
        if attempt.kind in AT_MOST_ONCE and ran > 1:
            result.append(
                ("runs at most once", f"{attempt.request_id}: {ran}")
            )
        if attempt.kind in AT_MOST_ONCE and attempt.status == 503 and ran:
            result.append(
                ('"not run" is true', f"{attempt.request_id}: {ran}")
            )
        if attempt.status == 200 and not ran:
            result.append(("an answer comes from a run", attempt.request_id))
        if attempt.status in (401, 403, 404):
            result.append(
                ("a route is known", f"{attempt.request_id}: {attempt.status}")
            )
    return result


def _verify_answer(attempt, closed):
    if not attempt.framed:
        return _verify_open(attempt, closed)
    if attempt.kind in ("menu", "order"):
        if attempt.body != attempt.request_id.encode():
            return [
                (
                    "its own whole answer",
                    f"{attempt.request_id}: {attempt.body!r}",
                )
            ]
        return []
    if attempt.body != events(1, EVENTS):
        return [
            (
                "events whole and in order",
                f"{attempt.request_id}: {event_numbers(attempt.body)}",
            )
        ]
    return []


def _verify_open(attempt, closed):
    """Verify an answer with neither a length nor chunks."""
    ends = closed.get(attempt.request_id, ())
    if attempt.kind in ("menu", "order"):
        holds = attempt.body in ends
    else:
        numbers = event_numbers(attempt.body)
        last = len(numbers)
        holds = (
            numbers == list(range(1, last + 1))
            and attempt.body.endswith(b"\n\n")
            and (last in ends or last == EVENTS)
        )
    if holds:
        return []
    return [
        (
            "an open-ended answer ends where its upstream closed",
            f"{attempt.request_id}: {attempt.body[-60:]!r}, {ends}",
        )
    ]
