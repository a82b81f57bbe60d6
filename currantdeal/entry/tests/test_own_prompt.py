"""Streams are made from the prompt of their own caller."""

import asyncio

import pytest

from currantdeal.registry import Stage, UpstreamState
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
    send_json,
)
from currantdeal.testing.repeating_upstream import (
    ALIEN,
    Extra,
    Identity,
    Moment,
    RepeatingUpstream,
    Repetition,
)

CONFIG = config_body(target_ms=2_000)
NOTE = request_bytes("/note/1", more=GENERATION)

REPEATED_PREFILLS = [
    Repetition(extra=Extra.GRANT, identity=identity, moment=moment)
    for identity in (Identity.OTHER, Identity.NONE)
    for moment in (Moment.BEFORE, Moment.ONE_SEGMENT, Moment.IDLE)
]


async def _start(name, script=None):
    standin = StandInUpstream(upstream=name, script=script)
    await standin.start()
    return standin


def _restart(world, standin, stage):
    """Announce the next process of an engine at its address."""
    world.announce(standin, service="model", stage=stage, incarnation=2)


def test_a_prefill_of_a_restarted_engine_is_not_used():
    """Guards against a KV cache handle that another process gave out again."""
    world = engines = None

    async def prefill_then_lose_the_decode_engine(standin, request, writer):
        if not request.is_prefill or len(standin.requests) > 1:
            return False
        state = UpstreamState.DRAINING
        world.announce(
            engines["d1"], service="model", stage=Stage.DECODE, state=state
        )
        world.announce(engines["d2"], service="model", stage=Stage.DECODE)
        return False

    async def grant_after_the_restart(standin, request, writer):
        if request.target == "/v1/hold-take":
            _restart(world, engines["p1"], Stage.PREFILL)
        return False

    async def run():
        nonlocal world, engines
        engines = {
            "p1": await _start("p1", prefill_then_lose_the_decode_engine),
            "d1": await _start("d1"),
            "d2": await _start("d2", grant_after_the_restart),
        }
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(engines["p1"], engines["d1"])
            return await world.exchange(NOTE)

    answer = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert not engines["d1"].runs
    targets = [r.target for r in engines["p1"].requests]
    assert targets == ["/note/1", "/note/1"]


def test_a_reservation_of_a_restarted_engine_is_not_used():
    """Guards against a reservation that another process gave out again."""
    world = decode = None

    async def prefill_during_a_restart(standin, request, writer):
        if request.is_prefill and len(standin.requests) == 1:
            _restart(world, decode, Stage.DECODE)
        return False

    async def number(standin, request, writer):
        if request.target != "/v1/hold-take":
            return False
        send_json(request, writer, {"Hold": f"h-{len(standin.requests)}"})
        return True

    async def run():
        nonlocal world, decode
        prefill = await _start("p1", prefill_during_a_restart)
        decode = await _start("d1", number)
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(prefill, decode)
            return await world.exchange(NOTE)

    answer = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    (run_request,) = decode.runs
    assert run_request.get("X-Currantdeal-Kv-Hold") == "h-2"
    assert "/v1/hold-drop/h-1" not in [r.target for r in decode.requests]


@pytest.mark.parametrize("repetition", REPEATED_PREFILLS, ids=str)
def test_a_resumed_stream_goes_on_from_its_own_prefill(repetition):
    """Guards against a resumed run from the KV cache of another caller."""
    answers = asyncio.run(_resume(repetition))
    for number, answer in enumerate(answers):
        assert answer.startswith(b"HTTP/1.1 200"), answer
        assert answer.count(f"own-{number}".encode()) == 2
        assert ALIEN.encode() not in answer


async def _resume(repetition):
    """Return the answers to streams whose first runs are broken off."""
    owners = {}
    engines = [
        RepeatingUpstream(
            upstream=name,
            repetition=repetition,
            is_chosen=lambda request: request.is_prefill,
            owners=owners,
            cuts_first_runs=True,
        )
        for name in ("p1", "d1", "d2")
    ]
    for engine in engines:
        await engine.start()
    answers = []
    async with entry_world(config=CONFIG) as world:
        world.announce_engines(*engines)
        for number in range(4):
            raw = request_bytes(
                "/draft/1", body=f"own-{number}".encode(), more=GENERATION
            ).replace(b"Id: r-1", f"Id: r-{number}".encode())
            answers.append(await world.exchange(raw))
            while world.context.health.ejected(now_s=world.context.now_s):
                await asyncio.sleep(0.01)
    assert engines[0].sent
    return answers


def test_the_second_answer_of_a_prefill_sent_twice_is_its_own():
    """Guards against a handle that was received before a connection ended."""
    handles = iter(range(100))

    async def cut_the_second(standin, request, writer):
        if not request.is_prefill:
            return False
        number = next(handles)
        content = {"KvHandle": f"kv-{number}", "Tokens": 9, "Version": 1}
        if number == 1:
            # The answer to the first request again, and a part of the own.
            other = standin.requests[0]
            send_json(other, writer, {**content, "KvHandle": "kv-0"})
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Le")
            await writer.drain()
            writer.close()
        else:
            send_json(request, writer, content)
        return True

    async def run():
        prefill = await _start("p1", cut_the_second)
        decode = await _start("d1")
        async with entry_world(config=CONFIG) as world:
            world.announce_engines(prefill, decode)
            answers = [
                await world.exchange(
                    NOTE.replace(b"Id: r-1", f"Id: r-{n}".encode())
                )
                for n in range(2)
            ]
            return answers, prefill, decode

    answers, prefill, decode = asyncio.run(run())
    assert all(event_numbers(a) for a in answers)
    sources = [r.get("X-Currantdeal-Kv-Source") for r in decode.runs]
    assert sources == [f"{prefill.address}/kv-0", f"{prefill.address}/kv-2"]
