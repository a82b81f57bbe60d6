"""Answers of upstreams that are malformed at random, with real sockets."""

import asyncio
from random import Random

import pytest
from structlog.testing import capture_logs

from currantdeal.testing.entry_world import (
    GENERATION,
    entry_world,
    request_bytes,
)
from currantdeal.testing.malformed_answers import malformed_answers
from currantdeal.testing.platform_upstream import StandInUpstream

ROUNDS = 5
REQUESTS = 20
"""Requests that are sent at once."""

METHODS = ("POST", "POST", "GET", "HEAD", "PUT", "OPTIONS", "TRACE")


def _request(random, number):
    kind = random.choice(("menu", "order", "note", "draft"))
    raw = request_bytes(
        f"/{kind}/{number}",
        method=random.choice(METHODS),
        body=random.choice((b"", b"x", b"{}" * 99)),
        more=GENERATION if kind in ("note", "draft") else (),
    )
    raw = raw.replace(b"Id: r-1", b"Id: r-%d" % number)
    return raw.replace(b"Ms: 3000", b"Ms: 700")


async def _play(seed):
    """Return the answers to random requests."""
    random = Random(seed)
    answers = []
    async with entry_world() as world:
        names = ("p", "d1", "d2", "s1", "s2")
        standins = [
            StandInUpstream(upstream=name, script=malformed_answers(random))
            for name in names
        ]
        for standin in standins:
            await standin.start()
        for round_number in range(ROUNDS):
            world.announce_engines(*standins[:3])
            for standin in standins[3:]:
                world.announce(standin)
            first = round_number * REQUESTS
            answers += await asyncio.gather(
                *(
                    world.exchange(_request(random, first + number))
                    for number in range(REQUESTS)
                )
            )
    return answers


@pytest.mark.parametrize("seed", [1, 2])
def test_no_answer_of_an_upstream_fails_a_handler(seed):
    """Guards against bytes of an upstream that raise an unexpected error."""
    unhandled = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: unhandled.append(found))
        return await _play(seed)

    with capture_logs() as lines:
        answers = asyncio.run(run())
    assert all(answer.startswith(b"HTTP/1.1 ") for answer in answers)
    assert [x for x in lines if x["event"] == "handler-failed"] == []
    assert unhandled == []
