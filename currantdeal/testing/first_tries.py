"""Sends first tries of all kinds of requests to entries."""

import asyncio
import contextlib
from dataclasses import dataclass

from currantdeal.testing.entry_world import (
    GENERATION,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.platform_upstream import EVENTS, event_numbers

KINDS = ("menu", "order", "note", "draft")
"""Routes: idempotent, not idempotent, a stream and a resumable stream."""

CALLER_TIMEOUT_S = 3.5


@dataclass(frozen=True, kw_only=True)
class FirstTry:
    """A request that was sent once, and its answer.

    Parameters
    ----------
    sent_s : float
        Event loop time at which it was sent.
    entry : str
        Instance that it was sent to.
    kind : str
        One of ``KINDS``.
    request_id : str
        Its id.
    status : int
        Status of the answer; 0 without one.
    served : bool
        Whether the whole answer of an upstream was received.
    took_s : float
        Time until the answer had ended.
    """

    sent_s: float
    entry: str
    kind: str
    request_id: str
    status: int
    served: bool
    took_s: float


class FirstTries:
    """Callers that spread their requests over all entries.

    Parameters
    ----------
    addresses : callable
        Returns host and port of each entry that takes callers, by instance.
    rng : random.Random
        Draws entries, kinds and pauses.
    """

    def __init__(self, *, addresses, rng):
        """Send nothing before ``run``."""
        self._addresses = addresses
        self._rng = rng
        self._tasks = set()
        self.sent = []

    async def run(self, *, per_s):
        """Send requests at a mean rate until cancelled."""
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(per_s))
                addresses = self._addresses()
                entry = self._rng.choice(sorted(addresses))
                kind = self._rng.choice(KINDS)
                task = asyncio.ensure_future(
                    self.send(entry, addresses[entry], kind)
                )
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        finally:
            for task in tuple(self._tasks):
                task.cancel()

    async def send(self, entry, address, kind):
        """Send one request and return its ``FirstTry``."""
        loop = asyncio.get_running_loop()
        request_id = f"{self._rng.randrange(1 << 64):016x}"
        sent_s = loop.time()
        raw = request_bytes(
            f"/{kind}/1", more=GENERATION if kind in KINDS[2:] else ()
        ).replace(b"Id: r-1", f"Id: {request_id}".encode())
        answer = b""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                answer = await _exchange(address, raw)
        found = FirstTry(
            sent_s=sent_s,
            entry=entry,
            kind=kind,
            request_id=request_id,
            status=int(answer[9:12] or 0),
            served=_is_whole(answer, kind),
            took_s=loop.time() - sent_s,
        )
        self.sent.append(found)
        return found


def share_served(tries):
    """Return the share of some tries that were served."""
    return sum(t.served for t in tries) / max(1, len(tries))


async def _exchange(address, raw):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(raw)
        return await read_to_end(reader)
    finally:
        writer.close()


def _is_whole(answer, kind):
    if (
        not answer.startswith(b"HTTP/1.1 200")
        or b"-signature: " not in answer.lower()
    ):
        return False
    if kind in KINDS[2:]:
        return event_numbers(answer) == list(range(1, EVENTS + 1))
    return answer.endswith(b"\r\n\r\nok")
