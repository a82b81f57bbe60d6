"""Streams that are moved between engines of an entry in the test process."""

import asyncio
import time
from contextlib import asynccontextmanager

from currantdeal.entry.run_wait import (
    DEFAULT_GAP_TARGET_S,
    RESUME_SILENCE_GAPS,
)
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import EVENTS, send_event

DRAFT = request_bytes("/draft/1", more=GENERATION).replace(
    b"Deadline-Ms: 3000", b"Deadline-Ms: 9000"
)
"""Request for a stream that may be resumed."""

SENT = 2
"""Events that the first run sends before it is silent."""

MOVED_S = RESUME_SILENCE_GAPS * DEFAULT_GAP_TARGET_S
"""Silence after which a stream is moved."""

ALL = list(range(1, EVENTS + 1))
"""Numbers of the events of a whole stream."""

FOREVER_S = 30.0

_CONFIG = config_body(timeout_ms=20_000, kv_handle_ttl_s=5.0)


@asynccontextmanager
async def handover_world(engines, *, allowance=100.0):
    """Run an entry with a prefill engine and decode engines."""
    for engine in engines:
        await engine.start()
    async with entry_world(config=_CONFIG, allowance=allowance) as world:
        world.announce_engines(*engines)
        yield world


async def play_stream(engines, *, allowance=100.0):
    """Send one stream; returns its answer, its time and the entry's world."""
    async with handover_world(engines, allowance=allowance) as world:
        began_s = time.monotonic()
        answer = await world.exchange(DRAFT, timeout_s=10.0)
        took_s = time.monotonic() - began_s
        # What is released in the background reaches its engine.
        await asyncio.sleep(0.1)
        return answer, took_s, world


def begin_stream(standin, request, writer):
    """Send the events that come before a silence."""
    standin.begin_stream(request, writer)
    for number in ALL[:SENT]:
        send_event(writer, number)


async def go_on(writer, first):
    """Send the rest of a stream, from an event on."""
    for number in range(first, EVENTS + 1):
        send_event(writer, number)
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")
