"""Generations against stand-ins for engines: order of steps and failures."""

import asyncio
import json

import pytest

from currantdeal.registry import UpstreamState
from currantdeal.testing.entry_world import (
    GENERATION,
    config_body,
    entry_world,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    EVENTS,
    StandInUpstream,
    event_numbers,
    send_chunk,
    send_event,
    send_json,
    send_refusal,
)

NOTE = request_bytes("/note/1", more=GENERATION)
DRAFT = request_bytes("/draft/1", more=GENERATION)


async def _start_engines(*scripts):
    standins = [StandInUpstream(upstream="p1")]
    standins += [
        StandInUpstream(upstream=f"d{n}", script=script)
        for n, script in enumerate(scripts, start=1)
    ]
    for standin in standins:
        await standin.start()
    return standins


def _crash_after(events, *, partial=b""):
    async def script(standin, request, writer):
        if not request.get("X-Currantdeal-Token-Counts"):
            return False
        if request.get("Last-Event-Id"):
            return False
        standin.begin_stream(request, writer)
        for number in range(1, events + 1):
            send_event(writer, number)
        if partial:
            send_chunk(writer, partial)
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()
        return True

    return script


def test_memory_is_reserved_before_the_prompt_is_prefilled():
    async def run():
        prefill, decode = await _start_engines(None)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)
            return await world.exchange(NOTE), prefill, decode

    answer, prefill, decode = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.endswith(b"0\r\n\r\n")
    assert b"by-d1" in answer
    reserve, stream = decode.requests
    assert reserve.target == "/v1/hold-take"
    assert stream.get("X-Currantdeal-Kv-Hold") == "hold-1"
    source = stream.get("X-Currantdeal-Kv-Source")
    assert source == f"{prefill.address}/kv-1"
    (read,) = prefill.requests
    assert read.get("X-Currantdeal-Stage") == "prefill"
    assert int(read.get("X-Currantdeal-Deadline-Ms")) <= 2_000


def test_partial_event_is_dropped_before_the_stream_resumes():
    """Guards against a corrupt event at the caller.

    An engine crashes in the middle of an event, and the next engine sends
    that event again in full.  Appended to the partial event, it would reach
    the caller as an event that no engine sent.
    """

    async def run():
        crash = _crash_after(3, partial=b"id: 4\ndata: pie")
        prefill, first, second = await _start_engines(crash, crash)
        async with entry_world() as world:
            world.announce_engines(prefill, first, second)
            return await world.exchange(DRAFT), first, second

    answer, first, second = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert b"data: pieid" not in answer
    assert answer.endswith(b"0\r\n\r\n")
    assert len(first.runs) + len(second.runs) == 2


def test_stream_stays_at_a_silent_engine_while_no_other_has_memory():
    """Guards against cutting a stream that is only preempted.

    An engine pauses a stream for lack of memory while all other engines are
    full, too.  Failing over would end the stream in the middle, although its
    engine continues it a moment later.
    """

    async def pauses(standin, request, writer):
        if not request.get("X-Currantdeal-Token-Counts"):
            return False
        standin.begin_stream(request, writer)
        for number in range(1, EVENTS + 1):
            if number == 3:
                await asyncio.sleep(1.6)
            send_event(writer, number)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def full(standin, request, writer):
        send_refusal(request, writer)
        return True

    async def run():
        prefill, first, second = await _start_engines(pauses, full)
        async with entry_world(config=config_body(timeout_ms=5000)) as world:
            world.announce_engines(prefill, first, second)
            draft = request_bytes("/draft/1", more=GENERATION)
            return await world.exchange(draft), second

    answer, second = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))
    assert answer.endswith(b"0\r\n\r\n")
    assert second.requests != []


def test_stream_fails_over_from_a_silent_engine_to_one_with_memory():
    """Guards against a stream that waits for an engine that never continues.

    The engine stops sending events in the middle of a stream and keeps the
    connection open.
    """

    async def goes_silent(standin, request, writer):
        if not request.get("X-Currantdeal-Token-Counts"):
            return False
        if request.get("Last-Event-Id"):
            return False
        standin.begin_stream(request, writer)
        send_event(writer, 1)
        await writer.drain()
        await asyncio.sleep(10.0)
        return True

    async def run():
        prefill, first, second = await _start_engines(goes_silent, goes_silent)
        async with entry_world(config=config_body(timeout_ms=5000)) as world:
            world.announce_engines(prefill, first, second)
            return await world.exchange(DRAFT)

    answer = asyncio.run(run())
    assert event_numbers(answer) == list(range(1, EVENTS + 1))


def test_stream_that_may_not_be_repeated_ends_without_a_terminator():
    """Guards against a partial answer that looks complete.

    An engine crashes while it runs a stream that may not run twice.
    """

    async def run():
        prefill, first, second = await _start_engines(
            _crash_after(2), _crash_after(2)
        )
        async with entry_world() as world:
            world.announce_engines(prefill, first, second)
            return await world.exchange(NOTE), first, second

    answer, first, second = asyncio.run(run())
    assert event_numbers(answer) == [1, 2]
    assert not answer.endswith(b"0\r\n\r\n")
    assert len(first.runs) + len(second.runs) == 1


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_lost_generation_of_a_plain_route_ends_without_a_terminator(
    kind, capsys
):
    """Guards against an internal error of the entry after a lost stream.

    A generation is sent on a route whose type is not streaming, and the
    engine crashes in the middle of the stream.
    """
    config = json.loads(config_body())
    menu = config["Routes"][0]
    menu.update(RouteType=kind, Service="model", MaxAttempts=2)

    async def run():
        prefill, first, second = await _start_engines(
            _crash_after(2), _crash_after(2)
        )
        async with entry_world(config=json.dumps(config).encode()) as world:
            world.announce_engines(prefill, first, second)
            asked = request_bytes("/menu/1", more=GENERATION)
            return await world.exchange(asked), first, second

    answer, first, second = asyncio.run(run())
    assert event_numbers(answer) == [1, 2]
    assert not answer.endswith(b"0\r\n\r\n")
    assert len(first.runs) + len(second.runs) == 1
    assert "broken off: " in capsys.readouterr().out


def test_without_memory_it_is_refused_before_the_prefill():
    """Guards against a wasted prefill while every decode engine is full.

    This happens at each peak.  The KV cache of a prompt that is prefilled now
    would expire half a second later.  The caller gets a refusal with a
    retry-after.
    """

    async def full(standin, request, writer):
        send_refusal(request, writer)
        return True

    async def run():
        prefill, decode = await _start_engines(full)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)
            return await world.exchange(NOTE), prefill, decode

    answer, prefill, decode = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after:" in answer.lower()
    assert prefill.requests == []
    assert decode.runs == []


def test_unused_reservation_and_kv_cache_are_released():
    """Guards against memory that stays reserved without a generation.

    The decode engine leaves while the prompt is prefilled for it.
    """

    async def run():
        prefill, decode = await _start_engines(None)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)

            async def leave(standin, request, writer):
                if request.get("X-Currantdeal-Stage") == "prefill":
                    world.announce(
                        decode,
                        service="model",
                        state=UpstreamState.DRAINING,
                    )
                return False

            prefill.script = leave
            answer = await world.exchange(NOTE)
            await asyncio.sleep(0.1)
            return answer, prefill, decode

    answer, prefill, decode = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503")
    assert "/v1/kv-handle/kv-1" in [r.target for r in prefill.requests]
    assert "/v1/hold-drop/hold-1" in [r.target for r in decode.requests]
    assert decode.runs == []


def test_memory_that_an_engine_grants_as_it_leaves_is_released():
    """Guards against an unused reservation at an engine that drains.

    The decode engine is withdrawn while it answers a reservation.  No work
    may be sent there any more, and the reservation would take memory from its
    last streams.
    """

    async def run():
        prefill, decode = await _start_engines(None)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)

            async def leave(standin, request, writer):
                if request.target == "/v1/hold-take":
                    world.announce(
                        decode,
                        service="model",
                        state=UpstreamState.DRAINING,
                    )
                return False

            decode.script = leave
            answer = await world.exchange(NOTE)
            await asyncio.sleep(0.1)
            return answer, decode

    answer, decode = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 503")
    assert "/v1/hold-drop/hold-1" in [r.target for r in decode.requests]
    assert decode.runs == []


def test_replaced_engine_gets_one_stream_at_most():
    """Guards against repeated prefills for an engine that was replaced.

    An engine restarts under another name at the same address.  It grants
    memory and then refuses the streams addressed to its former name, so each
    prompt prefilled for it is wasted.
    """

    async def other(standin, request, writer):
        if request.target.startswith("/v1/"):
            return False
        writer.write(
            b"HTTP/1.1 421 No\r\nX-Currantdeal-Instance-Id: d9\r\n"
            b"X-Currantdeal-Request-Id: r-1\r\nContent-Length: 0\r\n\r\n"
        )
        return True

    async def run():
        prefill, replaced, healthy = await _start_engines(other, None)
        async with entry_world() as world:
            world.announce_engines(prefill, replaced, healthy)
            answers = []
            for _ in range(3):
                answers.append(await world.exchange(NOTE))
                # Longer than an engine that refused stays ejected.
                await asyncio.sleep(0.6)
            return answers, replaced

    answers, replaced = asyncio.run(run())
    assert all(event_numbers(a) == list(range(1, EVENTS + 1)) for a in answers)
    assert len(replaced.runs) <= 1


def test_run_is_cancelled_when_its_caller_disconnects():
    """Guards against a run that holds memory without a caller.

    A caller closes its connection in the middle of a stream.  Without a
    cancellation the engine would continue the run for seconds.
    """

    async def run():
        cancelled = asyncio.Event()

        async def slow(standin, request, writer):
            if not request.get("X-Currantdeal-Token-Counts"):
                return False
            standin.begin_stream(request, writer)
            try:
                for number in range(1, 1_000):
                    send_event(writer, number)
                    await writer.drain()
                    await asyncio.sleep(0.02)
            except ConnectionError:
                cancelled.set()
            return True

        prefill, decode = await _start_engines(slow)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)
            reader, writer = await world.send(NOTE)
            await reader.readuntil(b"piece 1")
            writer.close()
            async with asyncio.timeout(0.5):
                await cancelled.wait()

    asyncio.run(run())


def test_internal_headers_of_a_caller_are_not_forwarded():
    """Guards against forged internal headers.

    A caller sends the reservation and the KV cache handle of another caller.
    If they were forwarded, its request would use that caller's memory.
    """
    forged = (
        *GENERATION,
        "X-Currantdeal-Kv-Hold: stolen",
        "X-Currantdeal-Kv-Source: 10.0.0.1:80/stolen",
        "X-Currantdeal-Pin-Ms: 4000",
        "X-Currantdeal-Kv-Backup: 10.0.0.1:80",
        "Kv-Fetch: 10.0.0.1:80",
        "X-Currantdeal-Kv-Fetch: 10.0.0.1:80",
        "X-Currantdeal-Stage: prefill",
        "X-Currantdeal-Request-Priority: 0",
    )

    async def run():
        prefill, decode = await _start_engines(None)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)
            await world.exchange(request_bytes("/note/1", more=forged))
            return prefill.requests + decode.requests

    for request in asyncio.run(run()):
        values = [value for _, value in request.headers]
        assert not any("stolen" in value for value in values)
        assert not request.get("X-Currantdeal-Pin-Ms")
        assert not request.get("X-Currantdeal-Kv-Backup")
        assert not request.get("Kv-Fetch")
        assert not request.get("X-Currantdeal-Kv-Fetch")
        assert not request.get("X-Currantdeal-Request-Priority")


def test_an_answer_without_a_signature_is_not_forwarded():
    """Guards against the answer of another program at an engine's address."""

    async def foreign(standin, request, writer):
        if request.target.startswith("/v1/"):
            return False
        send_json(request, writer, {"not": "yours"})
        return True

    async def run():
        prefill, decode = await _start_engines(foreign)
        async with entry_world() as world:
            world.announce_engines(prefill, decode)
            return await world.exchange(NOTE)

    answer = asyncio.run(run())
    assert answer.startswith(b"HTTP/1.1 502")
    assert b"yours" not in answer


def test_read_to_end_returns_the_data_before_a_reset():
    async def run():
        async def reset(reader, writer):
            writer.write(b"part")
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        server = await asyncio.start_server(reset, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        reader, _ = await asyncio.open_connection(*address)
        return await read_to_end(reader)

    assert asyncio.run(run()).startswith(b"part")
