"""Callers of a real entry process beside messages that do not end."""

import asyncio
import contextlib
import itertools
import time
from pathlib import Path

from currantdeal.testing.endless import Flood, flood
from currantdeal.testing.entry_world import (
    GENERATION,
    read_to_end,
    request_bytes,
)

DEADLINE_S = 1.5
"""Timeout that the callers state."""

ANSWER_MARGIN_S = 0.5
"""Time after its timeout in which a caller still waits for an answer."""

SERVED_WITHIN_S = 20.0
"""Time in which a request must be served at another upstream."""


class Answers:
    """Statuses and times of the answers to some requests."""

    def __init__(self):
        """Start without answers."""
        self.statuses = []
        self.took_s = []


class Callers:
    """Sends requests to one entry process.

    Parameters
    ----------
    address : str
        Host and port of the entry.
    """

    def __init__(self, *, address):
        """Send nothing yet."""
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self._ids = itertools.count()

    def request(self, target):
        """Return the bytes of a request; a draft and a note are generations.

        Each has an id of its own.
        """
        is_generation = target.startswith(("/draft", "/note"))
        raw = request_bytes(target, more=GENERATION if is_generation else ())
        number = next(self._ids)
        return raw.replace(b"Id: r-1", b"Id: r-%d" % number).replace(
            b"Deadline-Ms: 3000", b"Deadline-Ms: %d" % (1_000 * DEADLINE_S)
        )

    async def send(self, target, answers=None):
        """Send a request; returns its status, 0 without a whole head."""
        began_s = time.monotonic()
        answer = b""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(DEADLINE_S + ANSWER_MARGIN_S):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(self.request(target))
                answer = await read_to_end(reader)
                writer.close()
        status = int(answer[9:12] or 0) if answer[:4] == b"HTTP" else 0
        if answers is not None:
            answers.statuses.append(status)
            answers.took_s.append(time.monotonic() - began_s)
        return status

    async def abandon(self, target, after_s):
        """Send a request and close its connection soon."""
        _, writer = await asyncio.open_connection(*self.address)
        writer.write(self.request(target))
        await asyncio.sleep(after_s)
        writer.transport.abort()

    async def wait_served(self, target):
        """Send requests until one is served."""
        async with asyncio.timeout(SERVED_WITHIN_S):
            while await self.send(target) != 200:
                await asyncio.sleep(0.05)

    async def keep_sending(self, target, answers):
        """Send one request after the other until cancelled."""
        while True:
            await self.send(target, answers)
            await asyncio.sleep(0.05)


async def flood_server(address, place):
    """Send a server a request that does not end; returns the ``Flood``."""
    record = Flood()
    reader, writer = await asyncio.open_connection(*address)
    lines = ("POST /menu/1 HTTP/1.1", "Host: cakes.example")
    await flood(writer, place, lines, record)
    return record


def peak_memory_bytes(process_id):
    """Return the largest resident size that a process has had."""
    status = Path(f"/proc/{process_id}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM:"))
    return 1_024 * int(line.split()[1])
