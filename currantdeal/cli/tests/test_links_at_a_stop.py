"""Links that an entry process carries for others while it stops."""

import asyncio

import pytest

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.node.link_messages import LinkCall, LinkOutcome
from currantdeal.node.peers import FrameReader, pack_frame
from currantdeal.testing.entry_world import config_body, read_to_end
from currantdeal.testing.platform_upstream import StandInUpstream
from currantdeal.testing.stalled_peers import small_socket
from currantdeal.testing.stopping_entry import stopping_entry

GRACE_S = 8.0
CALL = b"POST /order/1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
PART = b"x" * 10_000
PARTS_PER_S = 10
SHORT_S, LONG_S = 6.0, 12.0
"""Durations of an answer that ends within the grace, and of a longer one."""


async def _answer_slowly(standin, request, writer):
    """Send a part at a time, and end the answer with the connection."""
    if request.is_system_call:
        return False
    duration_s = SHORT_S if "short" in request.target else LONG_S
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
    for _ in range(int(duration_s * PARTS_PER_S)):
        writer.write(PART)
        await writer.drain()
        await asyncio.sleep(1 / PARTS_PER_S)
    writer.close()
    return True


async def _open_link(entry, address):
    """Return outcome, reader and writer of a link to an upstream."""
    settings = entry.process.settings
    sock = small_socket()
    loop = asyncio.get_running_loop()
    peer = (settings["address"], settings["peer_port"])
    await loop.sock_connect(sock, peer)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1)
    call = LinkCall(address=address, timeout_s=0.4)
    writer.write(pack_frame(FrameKind.CALL, 1, call))
    frames, answer = FrameReader(), None
    while answer is None:
        # Bytes of the upstream come only after the request.
        answer = frames.receive(await reader.read(65_536))
    return answer.outcome, reader, writer


async def _receive(entry, address, target, *, stall_s=0.0):
    _, reader, writer = await _open_link(entry, address)
    writer.write(CALL.replace(b"/order/1", target))
    await asyncio.sleep(stall_s)
    answer = await read_to_end(reader)
    writer.close()
    return answer


async def _play(folder):
    upstream = StandInUpstream(upstream="u1", script=_answer_slowly)
    async with stopping_entry(
        folder, config_body(), (upstream, "shop", {})
    ) as entry:
        tasks = {
            name: asyncio.create_task(
                _receive(entry, upstream.address, target, stall_s=stall_s)
            )
            for name, target, stall_s in (
                ("short", b"/short", 0.0),
                ("stalled", b"/short", 8.8),
                ("long", b"/long", 0.0),
            )
        }
        await asyncio.sleep(0.3)
        entry.stop()
        await asyncio.sleep(0.3)
        late, _, writer = await _open_link(entry, upstream.address)
        writer.close()
        status, ended_s = await entry.wait(GRACE_S)
        answers = {name: await task for name, task in tasks.items()}
    return status, ended_s - entry.stopped_s, late, answers


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """One stop of an entry that carries three links."""
    return asyncio.run(_play(tmp_path_factory.mktemp("stop")))


@pytest.mark.parametrize("name", ["short", "stalled"])
def test_link_carries_an_answer_that_ends_within_the_grace(played, name):
    """Guards against an answer that ends with the helper's stop request."""
    status, after_s, _, answers = played
    assert (status, after_s < GRACE_S) == (0, True)
    body = answers[name].partition(b"\r\n\r\n")[2]
    assert len(body) == int(SHORT_S * PARTS_PER_S) * len(PART)
    assert set(body) == {ord("x")}


def test_link_that_outlasts_its_helper_is_reset(played):
    """Guards against an answer that is cut and looks complete."""
    *_, answers = played
    assert answers["long"].endswith(b"<reset>")


def test_helper_that_stops_takes_no_further_link(played):
    """Guards against links that end before their answers."""
    assert played[2] is LinkOutcome.STOPPING
