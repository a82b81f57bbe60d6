"""A silent stream and its successor, in the orders in which either may end."""

import asyncio
import socket
import time

import pytest

from currantdeal.entry.handover import MAX_OVERLAP_S
from currantdeal.testing.handover import (
    ALL,
    DRAFT,
    FOREVER_S,
    MOVED_S,
    SENT,
    begin_stream,
    go_on,
    handover_world,
    play_stream,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    event_numbers,
    send_refusal,
)


class _Pair:
    """The engine that runs a stream first, and the one that follows.

    Parameters
    ----------
    silent_s : float
        Seconds for which the first run is silent.
    then : str
        What it does afterwards: ``goes-on``, ``ends`` or nothing.
    is_reached : bool
        Whether its engine answers health checks.
    successor : str
        What the second engine does with a run: ``goes-on``, ``refuses``,
        ``is-lost`` or ``is-silent``.
    memory : bool
        Whether the second engine has memory.
    prefill_s : float
        Time that the second prefill takes.
    """

    def __init__(
        self,
        *,
        silent_s,
        then="goes-on",
        is_reached=True,
        successor="goes-on",
        memory=True,
        prefill_s=0.0,
    ):
        self._silent_s = silent_s
        self._then = then
        self._is_reached = is_reached
        self._successor = successor
        self._memory = memory
        self._prefill_s = prefill_s
        self._first = None
        self.cancelled_s = {}
        self.engines = [
            StandInUpstream(upstream=name, script=self._serve)
            for name in ("p1", "d1", "d2")
        ]

    async def _serve(self, standin, request, writer):
        is_first = self._first in (None, standin.upstream)
        if request.is_health_check and is_first and not self._is_reached:
            await asyncio.sleep(FOREVER_S)
        if request.is_prefill and self._first is not None:
            await asyncio.sleep(self._prefill_s)
        if request.target == "/v1/hold-take" and not is_first:
            if not self._memory:
                standin.send(request, writer, 503, b"")
            return not self._memory
        if not request.is_generation or request.is_prefill:
            return False
        self._first = self._first or standin.upstream
        work = self._run_first if is_first else self._run_second
        task = asyncio.ensure_future(work(standin, request, writer))
        while not task.done():
            await asyncio.sleep(0.01)
            if not _is_open(writer):
                self.cancelled_s[standin.upstream] = time.monotonic()
                task.cancel()
                return True
        return True

    async def _run_first(self, standin, request, writer):
        begin_stream(standin, request, writer)
        await asyncio.sleep(self._silent_s)
        if self._then == "ends":
            writer.transport.abort()
            return
        await go_on(writer, SENT + 1)

    async def _run_second(self, standin, request, writer):
        if self._successor == "refuses":
            send_refusal(request, writer)
            return
        if self._successor == "is-lost":
            writer.transport.abort()
            return
        standin.begin_stream(request, writer)
        if self._successor == "is-silent":
            await asyncio.sleep(FOREVER_S)
        await go_on(writer, int(request.get("Last-Event-Id") or 0) + 1)


def _is_open(writer):
    """Return whether the other side has not ended a connection."""
    if writer.transport.is_closing():
        return False
    sock = writer.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == 1


async def _play(pair, **more):
    return await play_stream(pair.engines, **more)


def _runs(pair):
    return sum(len(engine.runs) for engine in pair.engines)


def _moves(world, outcome, why=""):
    name = f'moves_total{{outcome="{outcome}",why="{why}"}} '
    lines = world.context.metrics.render()[1].decode().splitlines()
    found = [line.removeprefix(name) for line in lines if name in line]
    return float(found[0].rpartition(" ")[2]) if found else 0.0


@pytest.mark.measures_service
@pytest.mark.parametrize("is_reached", [False, True])
@pytest.mark.parametrize("then", ["goes-on", "ends", "nothing"])
@pytest.mark.parametrize("prefill_s", [0.0, 0.4])
def test_stream_is_taken_over_from_a_silent_engine(
    then, is_reached, prefill_s
):
    """Guards against streams that are held at an engine that is gone."""
    silent_s = {"goes-on": 5.0, "ends": MOVED_S + 0.2, "nothing": FOREVER_S}
    pair = _Pair(
        silent_s=silent_s[then],
        then=then,
        is_reached=is_reached,
        prefill_s=prefill_s,
    )
    answer, took_s, world = asyncio.run(_play(pair))
    assert event_numbers(answer) == ALL
    assert answer.endswith(b"0\r\n\r\n")
    assert took_s < MOVED_S + prefill_s + 0.6
    assert _moves(world, "won") == 1


@pytest.mark.parametrize(
    ("more", "runs"),
    [
        ({"memory": False}, 1),
        ({"prefill_s": FOREVER_S}, 1),
        ({"successor": "refuses"}, 2),
        ({"successor": "is-lost"}, 2),
        ({"successor": "is-silent"}, 2),
        ({"successor": "is-silent", "is_reached": False}, 2),
        ({"prefill_s": 0.7}, 1),
    ],
)
def test_stream_goes_on_if_its_successor_does_not(more, runs):
    """Guards against runs that are given up before another can go on."""
    pair = _Pair(silent_s=MOVED_S + 0.6, **more)
    answer, _, world = asyncio.run(_play(pair))
    assert event_numbers(answer) == ALL
    assert answer.endswith(b"0\r\n\r\n")
    assert _runs(pair) == runs
    assert _moves(world, "begun") >= 1
    assert _moves(world, "won") == 0


@pytest.mark.parametrize("allowance", [0.0, 1.0])
def test_stream_goes_on_if_no_successor_is_charged(allowance):
    """Guards against a prefill that is charged without its run."""
    pair = _Pair(silent_s=MOVED_S + 0.6)
    answer, _, world = asyncio.run(_play(pair, allowance=allowance))
    assert event_numbers(answer) == ALL
    assert _runs(pair) == 1
    assert len(pair.engines[0].requests) == 1
    assert _moves(world, "given-up", "retry-budget") >= 1


def test_silent_successor_is_cancelled_beside_an_engine_that_answers():
    """Guards against two engines at work on one stream."""
    pair = _Pair(silent_s=MOVED_S + 1.0, successor="is-silent")
    asyncio.run(_play(pair))
    (second,) = (e for e in pair.engines[1:] if e.upstream in pair.cancelled_s)
    overlap_s = pair.cancelled_s[second.upstream] - second.runs[0].received_s
    assert overlap_s < MAX_OVERLAP_S + 0.1


def test_what_a_move_holds_is_released_if_the_stream_goes_on():
    """Guards against memory and KV caches that nobody will use."""
    pair = _Pair(silent_s=MOVED_S + 0.2, prefill_s=0.4)
    _, _, world = asyncio.run(_play(pair))
    targets = [r.target for e in pair.engines for r in e.requests]
    assert sum(t.startswith("/v1/hold-drop") for t in targets) == 1
    context = world.context
    names = [engine.upstream for engine in pair.engines]
    assert not any(
        context.health.is_ejected(name, now_s=time.monotonic())
        for name in names
    )
    assert _moves(world, "kept") == 1


def test_both_runs_are_cancelled_if_the_caller_leaves():
    """Guards against a run that nobody waits for any longer."""
    pair = _Pair(silent_s=FOREVER_S, is_reached=False, successor="is-silent")

    async def run():
        async with handover_world(pair.engines) as world:
            _, writer = await world.send(DRAFT)
            await asyncio.sleep(MOVED_S + 2 * MAX_OVERLAP_S + 0.3)
            assert _runs(pair) == 2
            assert not pair.cancelled_s
            writer.close()
            await asyncio.sleep(0.3)

    asyncio.run(run())
    assert set(pair.cancelled_s) == {"d1", "d2"}
