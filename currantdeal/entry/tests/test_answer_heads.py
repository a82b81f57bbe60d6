"""Answers of upstreams that end within their heads, with real sockets."""

import asyncio

import pytest

from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.registry import UpstreamState
from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import StandInUpstream, echo_lines

PLACES = 19
"""Number of places within the head at which an answer ends."""

REQUESTS = {
    kind: request_bytes(
        f"/{kind}/1", more=GENERATION if kind in ("note", "draft") else ()
    )
    for kind in ("menu", "order", "note", "draft")
}

HEADS = {
    "length": "Content-Length: 2",
    "chunks": "Transfer-Encoding: chunked",
    "neither": "Connection: close",
}


def _cut_heads(framing, place, *, resets):
    """Return a script that ends each run within the head of its answer."""

    async def script(standin, request, writer):
        if request.is_system_call or request.is_prefill:
            return False
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Currantdeal-Response-Signature: by-{standin.upstream}",
            *echo_lines(request),
            HEADS[framing],
        ]
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        writer.write(head[: max(1, len(head) * place // PLACES)][:-1])
        await writer.drain()
        sock = writer.get_extra_info("socket")
        set_reset_on_close(sock, resets)
        writer.close()
        return True

    return script


async def _answers(kind, framing, *, resets):
    found = []
    async with entry_world() as world:
        for place in range(1, PLACES + 1):
            script = _cut_heads(framing, place, resets=resets)
            engines = [
                StandInUpstream(upstream=f"{name}{place}", script=script)
                for name in ("p", "d", "e", "s", "t")
            ]
            for standin in engines:
                await standin.start()
            world.announce_engines(*engines[:3])
            for standin in engines[3:]:
                world.announce(standin)
            found.append(await world.exchange(REQUESTS[kind]))
            # A port that is free again may soon be that of another test.
            for standin in engines:
                world.announce(standin, state=UpstreamState.GONE)
                standin.stop()
    return found


@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", HEADS)
@pytest.mark.parametrize("kind", REQUESTS)
def test_answer_that_ends_within_its_head_is_no_success(kind, framing, resets):
    """Guards against half a head that becomes a success with a short body."""
    answers = asyncio.run(_answers(kind, framing, resets=resets))
    assert len(answers) == PLACES
    assert [a[:40] for a in answers if a[9:10] == b"2"] == []
