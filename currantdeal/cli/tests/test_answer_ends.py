"""Ends of answers when an entry ends, with real processes."""

import asyncio
import contextlib
import signal
import time

import pytest

from currantdeal.testing.answer_shapes import (
    Answer,
    Received,
    Shape,
    ShapedUpstream,
    events,
    parse_answer,
)
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import EVENTS
from currantdeal.testing.upstream_fleet import UpstreamFleet

NOTE = request_bytes("/note/1", more=GENERATION, close=False)
START_S = 20.0
PAUSE_S = 0.1
"""Pause between the events of a stream."""

WHOLE = events(1, EVENTS)


def _standin(shape):
    def answer_to(request):
        if request.is_generation and not request.is_prefill:
            return Answer(body=WHOLE, shape=shape, pause_s=PAUSE_S)
        return None

    return lambda upstream: ShapedUpstream(
        upstream=upstream, answer_to=answer_to
    )


async def _stream(entry):
    """Return the connection to an entry, once its first bytes are there."""
    host, port = entry.settings["listen"]["callers"].rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(NOTE)
    return await reader.read(1 << 16), reader, writer


async def _end_during_a_stream(folder, shape, signal_number):
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    fleet = UpstreamFleet(
        cluster=cluster, services=1, engines=2, make_standin=_standin(shape)
    )
    entry = cluster.entries[0]
    with cluster:
        await asyncio.to_thread(
            cluster.put_config, config_body(timeout_ms=3_000)
        )
        await fleet.start()
        deadline_s = time.monotonic() + START_S
        while True:
            assert time.monotonic() < deadline_s, "the entry does not serve"
            # The process may not listen yet.
            with contextlib.suppress(ConnectionRefusedError):
                first, reader, writer = await _stream(entry)
                if first.startswith(b"HTTP/1.1 200"):
                    break
                writer.close()
            await asyncio.sleep(0.1)
        entry.send_signal(signal_number)
        received = first + await read_to_end(reader)
        writer.close()
        fleet.stop()
    return parse_answer(received)


@pytest.mark.parametrize("shape", [Shape.CHUNKS, Shape.NEITHER])
def test_stream_is_cut_when_its_entry_is_killed(tmp_path, shape):
    """Guards against a process whose end looks like that of an answer."""
    answer = asyncio.run(_end_during_a_stream(tmp_path, shape, signal.SIGKILL))
    assert answer.received is Received.CUT
    assert answer.body != WHOLE


@pytest.mark.parametrize("shape", [Shape.CHUNKS, Shape.NEITHER])
def test_stream_ends_whole_when_its_entry_is_stopped(tmp_path, shape):
    """Guards against a planned stop that cuts an open-ended answer."""
    answer = asyncio.run(_end_during_a_stream(tmp_path, shape, signal.SIGTERM))
    expected = Received.WHOLE if shape is Shape.CHUNKS else Received.OPEN
    assert (answer.received, answer.body) == (expected, WHOLE)
