"""The counts of moves of silent streams to another engine."""

import asyncio

import pytest

from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    send_event,
    send_refusal,
)

DRAFT = request_bytes("/draft/1", more=GENERATION)
SILENT_S = 10.0


def _play(*, then, allowance=100.0):
    """Return the lines of moves, of a stream whose engine falls silent.

    Parameters
    ----------
    then : callable
        Sends the rest of an answer, or not, as another engine is asked for
        memory; returns whether that is refused.
    """

    async def run():
        silent = []

        async def script(standin, request, writer):
            if request.target == "/v1/hold-take" and silent:
                if is_refused := then(*silent[0]):
                    send_refusal(request, writer)
                await writer.drain()
                await asyncio.sleep(0.05)
                return is_refused
            if not request.is_generation or request.is_prefill:
                return False
            if request.get("Last-Event-Id"):
                return False
            standin.begin_stream(request, writer)
            send_event(writer, 1)
            silent.append((standin, writer))
            await writer.drain()
            await asyncio.sleep(SILENT_S)
            return True

        engines = [
            StandInUpstream(upstream=name, script=script)
            for name in ("p1", "d1", "d2")
        ]
        config = config_body(timeout_ms=2_000)
        async with entry_world(config=config, allowance=allowance) as world:
            for standin in engines:
                await standin.start()
            world.announce_engines(*engines)
            await world.exchange(DRAFT)
            text = world.context.metrics.render()[1].decode()
        return [x for x in text.splitlines() if "moves_total{" in x]

    return set(asyncio.run(run()))


def _once(outcome, why=""):
    labels = f'outcome="{outcome}",why="{why}"'
    return f"currantdeal_moves_total{{{labels}}} 1.0"


def _go_on(standin, writer):
    for number in range(2, 4):
        send_event(writer, number)
    writer.write(b"0\r\n\r\n")
    return False


@pytest.mark.parametrize(
    ("options", "lines"),
    [
        (
            {"then": lambda standin, writer: True},
            {_once("begun"), _once("given-up", "no-memory")},
        ),
        (
            {"then": lambda standin, writer: False, "allowance": 0.0},
            {_once("begun"), _once("given-up", "retry-budget")},
        ),
        ({"then": _go_on}, {_once("begun"), _once("kept")}),
    ],
    ids=["memory", "budget", "kept"],
)
def test_move_is_counted_with_its_outcome(options, lines):
    """Guards against moves that no metric shows."""
    assert _play(**options) == lines
