"""Messages that do not end, sent to real entry and control processes."""

import asyncio
import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from currantdeal.testing.endless import (
    BODY_PLACES,
    HEAD_PLACES,
    MAX_SENT_BYTES,
    STREAM_PLACES,
    EndlessUpstream,
    Place,
)
from currantdeal.testing.endless_callers import (
    ANSWER_MARGIN_S,
    DEADLINE_S,
    Answers,
    Callers,
    flood_server,
    peak_memory_bytes,
)
from currantdeal.testing.entry_world import LIMITS, config_body
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat

MAX_GROWTH_BYTES = 33_554_432
"""Growth of a process's memory that endless messages may cause.

It is the memory that control may use on each node.
"""

CLOSE_MARGIN_S = 1.0
"""Time after a caller's timeout in which an endless answer is cut off."""

HEARTBEAT_S = 0.5
"""Interval of the upstreams' heartbeats."""

REQUESTS = 3
"""Requests that are sent at once while an upstream sends endless answers."""

MANY_REQUESTS = 40
"""Number at which a bound for each answer alone exceeds the growth."""

CONFIG = config_body(timeout_ms=1_500, target_ms=600)


@dataclass(frozen=True, kw_only=True)
class Case:
    """A kind of call whose answers do not end.

    Parameters
    ----------
    is_affected : callable
        Returns whether a ``ReceivedRequest`` is of that kind.
    stage : str
        Stage of the engine that sends them; empty for a plain service.
    target : str
        Request of a caller that causes such calls.
    others : str
        Request of the other callers.
    places : tuple of Place
        Where the answers do not end.
    status : int
        Status of those answers.
    """

    is_affected: object
    stage: str
    target: str
    others: str
    places: tuple
    status: int = 200


def _is_run(request):
    return request.is_generation and not request.is_prefill


def _is_call(request):
    return request.is_health_check or not request.is_generation


GENERATION_CASE = {"target": "/draft/1", "others": "/menu/1"}
CASES = {
    "call-and-health-check": Case(
        is_affected=_is_call,
        stage="",
        target="/menu/1",
        others="/draft/1",
        places=(*HEAD_PLACES, *BODY_PLACES),
    ),
    "reservation": Case(
        is_affected=lambda r: r.target == "/v1/hold-take",
        stage="decode",
        places=(*HEAD_PLACES, *BODY_PLACES),
        **GENERATION_CASE,
    ),
    "prefill": Case(
        is_affected=lambda r: r.is_prefill,
        stage="prefill",
        places=(*HEAD_PLACES, *BODY_PLACES),
        **GENERATION_CASE,
    ),
    "run": Case(
        is_affected=_is_run,
        stage="decode",
        places=HEAD_PLACES,
        **GENERATION_CASE,
    ),
    "stream": Case(
        is_affected=_is_run,
        stage="decode",
        places=STREAM_PLACES,
        **GENERATION_CASE,
    ),
    "error-of-a-call": Case(
        is_affected=_is_call,
        stage="",
        target="/menu/1",
        others="/draft/1",
        places=(Place.NO_LENGTH, Place.CHUNKS, Place.TRAILERS),
        status=500,
    ),
    "error-of-a-run": Case(
        is_affected=_is_run,
        stage="decode",
        places=(Place.NO_LENGTH, Place.CHUNKS, Place.TRAILERS),
        status=500,
        **GENERATION_CASE,
    ),
    "release": Case(
        is_affected=lambda r: r.method == "DELETE",
        stage="decode",
        places=(*HEAD_PLACES, *BODY_PLACES),
        **GENERATION_CASE,
    ),
}


class _Fleet:
    """Upstreams of a cluster, announced to its control process."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._sound = {}
        self._names = itertools.count()
        self._sequence = itertools.count(1)
        self._stages = {}

    async def add_sound(self, stage):
        """Add a sound upstream of a stage, or of the plain service."""
        standin = StandInUpstream(upstream=f"sound-{next(self._names)}")
        self._sound[stage] = standin
        await self.add(standin, stage=stage)

    async def remove_sound(self, stage):
        await self.remove(self._sound.pop(stage))

    async def add(self, standin, *, stage=""):
        await standin.start()
        self._stages[standin] = stage
        await self._announce(standin)

    async def keep_announcing(self):
        """Send heartbeats until cancelled."""
        while True:
            for standin in tuple(self._stages):
                await self._announce(standin)
            await asyncio.sleep(HEARTBEAT_S)

    async def _announce(self, standin):
        stage = self._stages.get(standin)
        if stage is None:
            return
        more = {"Stage": stage} if stage else {}
        message = heartbeat(
            standin.address,
            "model" if stage else "shop",
            sequence=next(self._sequence),
            **more,
        )
        await asyncio.to_thread(
            self._cluster.announce, standin.upstream, message
        )

    async def remove(self, standin):
        del self._stages[standin]
        control = self._cluster.control[0]
        path = f"/v1/instances/{standin.upstream}"
        url = self._cluster.control_url(control, path)
        await asyncio.to_thread(self._cluster.call, "DELETE", url)
        standin.stop()


@asynccontextmanager
async def _system(folder, config=CONFIG):
    """Run control processes and an entry with a sound fleet."""
    cluster = NodeCluster(folder=folder, control=3, entries=1)
    (entry,) = cluster.entries
    with cluster:
        await asyncio.to_thread(cluster.put_config, config)
        fleet = _Fleet(cluster)
        for stage in ("", "prefill", "decode"):
            await fleet.add_sound(stage)
        beats = asyncio.ensure_future(fleet.keep_announcing())
        callers = Callers(address=entry.settings["listen"]["callers"])
        for target in ("/menu/1", "/draft/1"):
            await callers.wait_served(target)
        yield cluster, entry, fleet, callers
        beats.cancel()


async def _cause_release(fleet, callers, case, standin):
    """Have a caller leave while its prompt is prefilled.

    The memory that its decode engine has reserved is then released.
    """

    async def prefill_slowly(slow, request, writer):
        if request.is_prefill:
            await asyncio.sleep(0.4)
        return False

    await fleet.remove_sound("prefill")
    slow = StandInUpstream(
        upstream=f"slow-beside-{standin.upstream}", script=prefill_slowly
    )
    await fleet.add(slow, stage="prefill")
    async with asyncio.timeout(20.0):
        while not standin.floods:
            await callers.abandon(case.target, 0.15)
    await fleet.remove(slow)
    await fleet.add_sound("prefill")


async def _play_place(fleet, callers, case, place, *, requests=REQUESTS):
    """Play one place; returns the stand-in and the answers."""
    standin = EndlessUpstream(
        upstream=f"bad-{place.value}",
        is_affected=case.is_affected,
        place=place,
        status=case.status,
    )
    await fleet.add(standin, stage=case.stage)
    await fleet.remove_sound(case.stage)
    answers, others = Answers(), Answers()
    background = asyncio.ensure_future(
        callers.keep_sending(case.others, others)
    )
    if case is CASES["release"]:
        await _cause_release(fleet, callers, case, standin)
    async with asyncio.timeout(20.0):
        while not standin.floods:
            await asyncio.gather(
                *(callers.send(case.target, answers) for _ in range(requests))
            )
    await asyncio.sleep(DEADLINE_S + CLOSE_MARGIN_S)
    await fleet.add_sound(case.stage)
    await callers.wait_served(case.target)
    background.cancel()
    await fleet.remove(standin)
    return standin, answers, others


def _check(place, standin, answers, others):
    longest_s = DEADLINE_S + CLOSE_MARGIN_S
    # Those that began while the first ones were checked may still go on.
    for flood in standin.floods[:REQUESTS]:
        assert flood.lasted_s <= longest_s, place
    assert 0 not in answers.statuses, (place, answers)
    if answers.took_s:
        assert max(answers.took_s) <= DEADLINE_S + ANSWER_MARGIN_S, place
    assert set(others.statuses) == {200}, (place, others.statuses)
    assert max(others.took_s) <= DEADLINE_S, (place, others.took_s)


@pytest.mark.parametrize("name", CASES)
def test_answers_without_end_harm_nobody_else(tmp_path, name):
    """Guards against answers without end that fill memory or block others."""
    case = CASES[name]

    async def run():
        async with _system(tmp_path) as (_, entry, fleet, callers):
            before = peak_memory_bytes(entry.process_id)
            for place in case.places:
                found = await _play_place(fleet, callers, case, place)
                _check(place, *found)
            assert entry.is_running
            return peak_memory_bytes(entry.process_id) - before

    assert asyncio.run(run()) <= MAX_GROWTH_BYTES


@pytest.mark.parametrize(
    ("name", "place"),
    [
        ("call-and-health-check", Place.NO_LENGTH),
        ("stream", Place.ONE_EVENT),
        ("error-of-a-run", Place.CHUNKS),
    ],
)
def test_many_answers_without_end_share_one_bound(tmp_path, name, place):
    """Guards against memory that grows with the number of answers."""

    async def run():
        async with _system(tmp_path) as (_, entry, fleet, callers):
            before = peak_memory_bytes(entry.process_id)
            standin, _, _ = await _play_place(
                fleet, callers, CASES[name], place, requests=MANY_REQUESTS
            )
            growth = peak_memory_bytes(entry.process_id) - before
            return len(standin.floods), growth

    floods, growth = asyncio.run(run())
    assert floods >= MANY_REQUESTS
    assert growth <= MAX_GROWTH_BYTES


REQUEST_PLACES = (
    Place.NO_FIRST_LINE,
    Place.BLANK_LINES,
    Place.HEADER_LINE,
    Place.HEADER_LINES,
    Place.SLOW_HEADER_LINES,
    Place.CHUNKS,
    Place.SMALL_CHUNKS,
    Place.CHUNK_SIZE_LINE,
    Place.TRAILERS,
)


@pytest.mark.parametrize("role", ["entry", "control"])
def test_requests_without_end_harm_nobody_else(tmp_path, role):
    """Guards against requests without end that fill memory or block others."""

    async def run():
        async with _system(tmp_path) as (cluster, entry, _, callers):
            control = cluster.control[0]
            process = entry if role == "entry" else control
            address = callers.address
            if role == "control":
                host, _, port = control.settings["listen"][
                    "control"
                ].rpartition(":")
                address = (host, int(port))
            before = peak_memory_bytes(process.process_id)
            others = Answers()
            background = asyncio.ensure_future(
                callers.keep_sending("/menu/1", others)
            )
            try:
                floods = {
                    place: await flood_server(address, place)
                    for place in REQUEST_PLACES
                }
            except ConnectionError as exc:
                raise AssertionError(process.condition) from exc
            background.cancel()
            assert process.is_running, process.condition
            return (
                floods,
                others,
                (peak_memory_bytes(process.process_id) - before),
            )

    floods, others, growth = asyncio.run(run())
    for place, flood in floods.items():
        # Requests are received within a time, and then answered.
        assert flood.lasted_s <= 3.0 + CLOSE_MARGIN_S, place
    assert set(others.statuses) == {200}
    assert max(others.took_s) <= DEADLINE_S
    assert growth <= MAX_GROWTH_BYTES


def test_many_requests_without_end_share_one_bound(tmp_path):
    """Guards against memory that grows with the number of callers.

    Each body alone is within its limit when the next parts arrive.
    """
    limits = {**LIMITS, "MaxBodyBytes": 8_388_608}
    config = config_body(timeout_ms=1_500, target_ms=600, limits=limits)

    async def run():
        async with _system(tmp_path, config) as (_, entry, _, callers):
            before = peak_memory_bytes(entry.process_id)
            others = Answers()
            background = asyncio.ensure_future(
                callers.keep_sending("/menu/1", others)
            )
            floods = await asyncio.gather(
                *(
                    flood_server(callers.address, Place.CHUNKS)
                    for _ in range(MANY_REQUESTS)
                )
            )
            background.cancel()
            assert entry.is_running
            growth = peak_memory_bytes(entry.process_id) - before
            return floods, others, growth

    floods, others, growth = asyncio.run(run())
    assert all(flood.sent_bytes < MAX_SENT_BYTES for flood in floods)
    assert set(others.statuses) == {200}
    assert growth <= MAX_GROWTH_BYTES
