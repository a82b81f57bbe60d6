"""Callers of the node soak, and what they received."""

import asyncio
import contextlib
from dataclasses import dataclass

import h11

from currantdeal.testing.entry_world import GENERATION
from currantdeal.testing.platform_upstream import EVENTS, pieces

PATIENCE_S = 3.0
"""Time that a caller waits, which its requests say."""

GIVE_UP_S = PATIENCE_S + 2.0
"""Time after which a caller's socket is given up for silent."""

TARGETS = {
    "menu": ("/menu/1", ()),
    "order": ("/order/1", ()),
    "note": ("/note/1", GENERATION),
    "draft": ("/draft/1", GENERATION),
}
"""Path and headers by kind of request; the last two are streams."""

ONCE = ("order", "note")
"""Kinds that may run only once."""


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """A request and what came back.

    Parameters
    ----------
    status : int
        0 if no whole head came.
    body : bytes
        As far as it came.
    whole : bool
        True if the answer ended as an answer does.
    connected : bool
        False if no connection was made, so that nothing was sent.
    """

    number: str
    kind: str
    entry: str
    began_s: float
    ended_s: float
    status: int = 0
    body: bytes = b""
    whole: bool = False
    connected: bool = True


class Caller:
    """Sends one request after the other, on open connections while it can.

    Parameters
    ----------
    name : str
        Begins the ids of its requests.
    entries : dict
        Address of each entry by name.
    chance : random.Random
        Chooses entries and kinds.
    attempts : list
        Takes every ``Attempt``.
    kinds : tuple of str
        Kinds of ``TARGETS`` that it sends.
    body : bytes or None
        Of each request; None for the request's own id.
    longest_pause_s : float
        Longest pause between two requests.
    """

    def __init__(
        self,
        *,
        name,
        entries,
        chance,
        attempts,
        kinds=tuple(TARGETS),
        body=None,
        longest_pause_s=0.08,
    ):
        """Send nothing before ``run``."""
        self._kinds = kinds
        self._body = body
        self._longest_pause_s = longest_pause_s
        self._name = name
        self._entries = entries
        self._chance = chance
        self._attempts = attempts
        self._count = 0
        self._open = None

    async def run(self):
        """Send, until cancelled."""
        while True:
            await self.send_one()
            await asyncio.sleep(
                self._chance.uniform(0.0, self._longest_pause_s)
            )

    async def send_one(self):
        """Send one request and note what came back."""
        loop = asyncio.get_running_loop()
        self._count += 1
        number = f"{self._name}-{self._count}"
        kind = self._chance.choice(self._kinds)
        entry = self._open[0] if self._open else self._draw_entry()
        began_s = loop.time()
        known = {"number": number, "kind": kind, "entry": entry}
        try:
            async with asyncio.timeout(GIVE_UP_S):
                found = await self._exchange(entry, number, kind)
        except (OSError, TimeoutError):
            found = {"connected": False}
        self._attempts.append(
            Attempt(began_s=began_s, ended_s=loop.time(), **known, **found)
        )

    def _draw_entry(self):
        return self._chance.choice(sorted(self._entries))

    async def _exchange(self, entry, number, kind):
        if self._open is None:
            host, _, port = self._entries[entry].rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            self._open = (entry, reader, writer)
        _, reader, writer = self._open
        self._open = None
        http = h11.Connection(h11.CLIENT)
        found = {"status": 0, "body": b"", "whole": False}
        try:
            async with asyncio.timeout(GIVE_UP_S):
                body = self._body or number.encode()
                writer.write(_request(http, number, kind, body))
                await _read(http, reader, found)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        if found["whole"] and http.their_state is h11.DONE:
            self._open = (entry, reader, writer)
        else:
            with contextlib.suppress(OSError):
                writer.transport.abort()
        return found


def _request(http, number, kind, body):
    target, more = TARGETS[kind]
    headers = [line.split(": ") for line in more]
    return (
        http.send(
            h11.Request(
                method="POST",
                target=target,
                headers=[
                    ("Host", "cakes.example"),
                    ("X-Currantdeal-Request-Id", number),
                    ("X-Currantdeal-Deadline-Ms", str(int(PATIENCE_S * 1e3))),
                    ("Content-Length", str(len(body))),
                    *headers,
                ],
            )
        )
        + http.send(h11.Data(data=body))
        + http.send(h11.EndOfMessage())
    )


async def _read(http, reader, found):
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await reader.read(65_536))
        elif isinstance(event, h11.Response):
            found["status"] = event.status_code
        elif isinstance(event, h11.Data):
            found["body"] += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            found["whole"] = True
            return
        elif isinstance(event, h11.ConnectionClosed):
            return


def judge_attempts(attempts, runs):
    """Return what callers were promised and did not get.

    Parameters
    ----------
    attempts : iterable of Attempt
        Everything that callers sent.
    runs : Counter
        How often an upstream ran each request, by its id.

    Returns
    -------
    list of tuple
        The promise and what was seen.
    """
    found = []
    for one in attempts:
        if one.status == 200 and one.whole:
            found += _judge_answer(one)
        ran = runs[one.number]
        if one.kind in ONCE and ran > 1:
            found.append(("runs at most once", f"{one.number}: {ran}"))
        if one.kind in ONCE and one.status == 503 and ran:
            found.append(('"not run" is true', f"{one.number}: {ran}"))
        if one.status == 200 and not ran:
            found.append(("an answer comes from a run", one.number))
        if one.status in (401, 403, 404):
            found.append(("a route is known", f"{one.number}: {one.status}"))
    return found


def _judge_answer(one):
    if one.kind in ("menu", "order"):
        if one.body != one.number.encode():
            return [("its own whole answer", f"{one.number}: {one.body!r}")]
        return []
    if pieces(one.body) != list(range(1, EVENTS + 1)):
        return [
            ("events whole and in order", f"{one.number}: {pieces(one.body)}")
        ]
    return []
