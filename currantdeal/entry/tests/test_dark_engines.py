"""Generations whose engines end without a word, one or many at once."""

import asyncio
import time

import pytest
import structlog

from currantdeal.entry.run_wait import DEFAULT_GAP_TARGET_S
from currantdeal.node.errors import ConnectRefusedError
from currantdeal.policy.health.lost_engines import (
    MIN_DARK_S,
    SILENCE_GAPS,
    ProbeResult,
)
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_numbers,
    send_event,
)

CONFIG = config_body(timeout_ms=20_000)
NOTE, DRAFT = (
    request_bytes(target, more=GENERATION).replace(
        b"Deadline-Ms: 3000", b"Deadline-Ms: 8000"
    )
    for target in ("/note/1", "/draft/1")
)
SENT = 2
"""Events that an engine sends before it falls silent."""

REPORT_S = 0.05
"""Interval of reports by other entries, so that they count all the while."""

NOTICED_S = (SILENCE_GAPS + 2) * DEFAULT_GAP_TARGET_S
"""Time within which a stream of an engine that has ended is to end."""


def _falls_silent(*, ends=False, answers_checks=True, silent_s=60.0):
    async def script(standin, request, writer):
        if request.is_health_check:
            await asyncio.sleep(0.0 if answers_checks else 60.0)
            return False
        if not request.is_generation or standin.upstream.startswith("p"):
            return False
        standin.begin_stream(request, writer)
        first = int(request.get("Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if number == first + SENT:
                if ends:
                    standin.stop()
                await asyncio.sleep(silent_s)
            send_event(writer, number)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    return script


async def _start(*scripts):
    engines = [StandInUpstream(upstream="p1")]
    engines += [
        StandInUpstream(upstream=f"d{n}", script=script)
        for n, script in enumerate(scripts, start=1)
    ]
    for engine in engines:
        await engine.start()
    return engines


def _report(world, upstream):
    for entry in ("entry-8", "entry-9"):
        world.context.record_unreachable(upstream, 1_000, entry)


async def _timed(world, raw, *, timeout_s=9.0):
    began_s = time.monotonic()
    answer = await world.exchange(raw, timeout_s=timeout_s)
    return answer, time.monotonic() - began_s


def test_stream_ends_soon_after_the_process_of_its_engine():
    """Guards against holding a stream of a dead engine for all its time."""

    async def run():
        engines = await _start(_falls_silent(ends=True))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            return await _timed(world, NOTE)

    answer, took_s = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, SENT + 1))
    assert not answer.endswith(b"0\r\n\r\n")
    assert took_s < NOTICED_S


def test_restart_ends_the_streams_of_the_former_process():
    """Guards against waiting for a process that has been succeeded."""

    async def run():
        engines = await _start(_falls_silent())
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            request = asyncio.ensure_future(_timed(world, NOTE))
            await asyncio.sleep(0.2)
            world.announce_engines(engines[0])
            stage = world.context.view.record("d1").stage
            world.announce(
                engines[1], service="model", stage=stage, incarnation=2
            )
            return await request

    answer, took_s = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, SENT + 1))
    assert took_s < 0.2 + 3 * DEFAULT_GAP_TARGET_S


def test_silent_engine_that_answers_health_checks_keeps_its_stream():
    """Guards against cutting a stream that was only preempted.

    Other entries report the engine, and its heartbeats don't arrive.
    """

    async def run():
        engines = await _start(_falls_silent(silent_s=2.5))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            world.context.view.silent = frozenset({"d1"})
            request = asyncio.ensure_future(_timed(world, NOTE))
            for _ in range(5):
                await asyncio.sleep(0.4)
                _report(world, "d1")
            return await request

    answer, _ = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.endswith(b"0\r\n\r\n")


async def _report_all(world, request, *, for_s):
    """Report an engine until a request is done; returns whether it is."""
    for _ in range(round(for_s / REPORT_S)):
        _report(world, "d1")
        await asyncio.wait({request}, timeout=REPORT_S)
        if request.done():
            return True
    return False


@pytest.mark.parametrize("heartbeats_stopped", [True, False])
def test_dark_engine_is_lost_once_nobody_hears_of_it(heartbeats_stopped):
    """Guards against waiting for a host that lost power.

    Nothing refuses a connection there.  While its heartbeats arrive, it is
    only unreachable from some entries, and its stream may continue.
    """

    async def run():
        engines = await _start(_falls_silent(answers_checks=False))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            raw = NOTE.replace(b"Deadline-Ms: 8000", b"Deadline-Ms: 15000")
            request = asyncio.ensure_future(_timed(world, raw, timeout_s=16.0))
            await asyncio.sleep(0.3)
            if heartbeats_stopped:
                world.context.view.silent = frozenset({"d1"})
            is_done = await _report_all(
                world, request, for_s=MIN_DARK_S + NOTICED_S
            )
            request.cancel()
            return is_done

    assert asyncio.run(run()) is heartbeats_stopped


@pytest.mark.parametrize("pause_s", [2.0, 5.0])
def test_stream_outlasts_a_pause_of_its_engine(pause_s):
    """Guards against an answer that ends as its engine stood still.

    The engine answers nothing meanwhile, other entries report it, and its
    heartbeats don't arrive.
    """
    paused = asyncio.Event()

    async def pauses(standin, request, writer):
        if request.is_health_check and paused.is_set():
            await asyncio.sleep(60.0)
        if not request.is_generation or request.is_prefill:
            return False
        standin.begin_stream(request, writer)
        for number in range(1, EVENTS + 1):
            if number == SENT + 1:
                paused.set()
                await asyncio.sleep(pause_s)
                paused.clear()
            send_event(writer, number)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def run():
        engines = await _start(pauses)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            world.context.view.silent = frozenset({"d1"})
            request = asyncio.ensure_future(_timed(world, NOTE))
            await _report_all(world, request, for_s=pause_s + NOTICED_S)
            return await request

    answer, _ = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("blocked_s", [0.0, 0.8])
def test_probe_during_a_pause_of_this_process_shows_nothing(blocked_s):
    """Guards against timeouts of a stopped process as findings."""

    async def run():
        engines = await _start(_falls_silent(answers_checks=False))
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            record = world.context.view.record("d1")
            probe = world.context.engine_watch.is_lost(
                record, silent_gaps=SILENCE_GAPS
            )
            with structlog.testing.capture_logs() as lines:
                task = asyncio.ensure_future(probe)
                await asyncio.sleep(0.1)
                time.sleep(blocked_s)
                await task
        return [n["found"] for n in lines if "found" in n]

    found = ProbeResult.DELAYED if blocked_s else ProbeResult.UNANSWERED
    assert asyncio.run(run()) == [found.value]


def test_resumable_stream_survives_engines_that_end_one_after_the_other():
    """Guards against a limit of runs that counts engines that have ended.

    The route allows two runs.
    """

    async def run():
        dark = _falls_silent(ends=True)
        engines = await _start(dark, dark, None)
        good = engines.pop()
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(*engines)
            request = asyncio.ensure_future(_timed(world, DRAFT))
            while not (engines[1].runs and engines[2].runs):
                await asyncio.sleep(0.05)
            world.announce(
                good,
                service="model",
                stage=world.context.view.record("d1").stage,
            )
            return await request

    answer, _ = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.endswith(b"0\r\n\r\n")


DEAD = 10
REFUSAL_S = 0.03


async def _beside_dead_engines(*, are_reported):
    """Send a request while ten of eleven engines have crashed.

    Returns the time to its first byte, the dead engines that were asked, and
    what was reported to other entries.
    """
    engines = await _start(*[None] * (DEAD + 1))
    dead = {engine.address: engine.upstream for engine in engines[2:]}
    asked, reported = [], []
    async with entry_world(config=CONFIG) as world:
        world.announce_engines(*engines)
        context = world.context
        context.announce_unreachable = lambda r: reported.append(r.upstream)
        open_connection = context.pool.open

        async def open_slowly(address, **more):
            if address not in dead:
                return await open_connection(address, **more)
            asked.append(dead[address])
            await asyncio.sleep(REFUSAL_S)
            raise ConnectRefusedError(address)

        context.pool.open = open_slowly
        context.load.add("d1", 9_000)  # so that the dead look emptier
        if are_reported:
            for upstream in dead.values():
                _report(world, upstream)
        answer, took_s = await _timed(world, NOTE)
        await asyncio.sleep(2 * REFUSAL_S)
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    return took_s, asked, reported


def test_dead_engines_are_asked_two_at_a_time_and_reported_once_each():
    """Guards against a target that is used up by refused connections."""
    took_s, asked, reported = asyncio.run(
        _beside_dead_engines(are_reported=False)
    )
    assert took_s < (1 + DEAD / 2) * REFUSAL_S + 0.1
    assert sorted(reported) == sorted(set(asked))


def test_engines_that_two_entries_report_are_not_asked():
    """Guards against each entry finding the same dead engines for itself."""
    _, asked, _ = asyncio.run(_beside_dead_engines(are_reported=True))
    assert not asked
