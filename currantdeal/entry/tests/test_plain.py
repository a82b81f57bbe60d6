import asyncio

import pytest

from currantdeal.testing.entry_world import (
    entry_world,
    read_to_end,
    request_bytes,
)
from currantdeal.testing.platform_upstream import (
    StandInUpstream,
    refuse,
)

MENU = request_bytes("/menu/1", method="GET", body=b"")
ORDER = request_bytes("/order/1", body=b"cake=1")


def _ask(raw, *scripts, allowance=100.0):
    """Return the answer and the stand-ins that were there for it."""

    async def run():
        found = [
            StandInUpstream(upstream=f"u{n}", script=script)
            for n, script in enumerate(scripts, start=1)
        ]
        async with entry_world(allowance=allowance) as world:
            for standin in found:
                await standin.start()
                world.know(standin)
            return await world.ask(raw), found

    return asyncio.run(run())


def _runs(found):
    return sum(len(standin.runs) for standin in found)


async def _full(standin, request, writer):
    refuse(writer)
    return True


async def _error(standin, request, writer):
    standin.send(request, writer, 500, b"broken")
    return True


async def _cut(standin, request, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Currantdeal-Response-Signature: s\r\n"
        b"Content-Length: 100\r\n\r\npart"
    )
    await writer.drain()
    writer.close()
    return True


async def _silent(standin, request, writer):
    await asyncio.sleep(30.0)
    return True


async def _crossed(standin, request, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nX-Currantdeal-Response-Signature: s\r\n"
        b"X-Currantdeal-Request-Id: other\r\nContent-Length: 5\r\n\r\nalien"
    )
    await writer.drain()
    return True


def test_method_path_body_and_id_arrive_unchanged():
    answer, (standin,) = _ask(ORDER, None)
    (request,) = standin.seen
    assert request.method == "POST"
    assert request.target == "/order/1"
    assert request.body == b"cake=1"
    assert request.request_id == "r-1"
    assert request.get("X-Currantdeal-Expected-Instance") == "u1"
    assert 0 < int(request.get("X-Currantdeal-Deadline-Ms")) <= 2_000
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"by-u1" in answer
    assert answer.endswith(b"ok")


@pytest.mark.parametrize("fault", [_error, _cut, _silent, _crossed])
def test_an_idempotent_call_gets_another_upstreams_answer(fault):
    """An upstream fails in one of the ways in which upstreams do.

    The call may be repeated, so its caller need not notice.
    """
    answers = []
    for _ in range(3):
        answer, found = _ask(MENU, fault, None)
        answers.append(answer)
        assert _runs(found) <= 2
    assert all(a.startswith(b"HTTP/1.1 200") for a in answers)
    assert not any(b"alien" in a for a in answers)


@pytest.mark.parametrize("fault", [_cut, _silent, _crossed])
def test_an_order_is_never_sent_twice(fault):
    """An upstream takes an order and its answer is lost.

    A second try would order a second cake; the caller is told that the
    outcome is not known, with a status that does not promise anything.
    """
    answer, found = _ask(ORDER, fault, fault)
    assert _runs(found) == 1
    assert answer.split()[1] in (b"502", b"504")


def test_an_order_that_was_refused_goes_to_another_upstream():
    answer, found = _ask(ORDER, _full, None)
    assert answer.startswith(b"HTTP/1.1 200")
    assert len(found[1].seen) == 1


def test_an_order_that_nobody_takes_is_refused_as_not_run():
    answer, _ = _ask(ORDER, _full, _full)
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"retry-after" in answer.lower()


def test_an_error_of_the_upstream_is_passed_on_unchanged():
    answer, _ = _ask(ORDER, _error)
    assert answer.startswith(b"HTTP/1.1 500")
    assert b"by-u1" in answer
    assert answer.endswith(b"broken")


def test_repeats_stop_when_the_budget_is_used_up():
    """Every upstream fails, as after a bad release.

    Without a budget each call would load the upstreams twice.
    """
    _, found = _ask(MENU, _error, _error, allowance=0.0)
    assert _runs(found) == 1


def test_a_second_answer_never_reaches_the_next_caller():
    """An upstream answers twice on one connection.

    The second answer lies where the next caller's answer is expected.
    """

    async def twice(standin, request, writer):
        standin.send(request, writer, 200, b"first")
        standin.send(request, writer, 200, b"stray")
        await writer.drain()
        return True

    async def run():
        standin = StandInUpstream(script=twice)
        async with entry_world() as world:
            await standin.start()
            world.know(standin)
            return [await world.ask(ORDER) for _ in range(3)]

    assert all(a.endswith(b"first") for a in asyncio.run(run()))


def test_an_upstream_that_left_gets_nothing():
    answer, _ = _ask(ORDER)
    assert answer.startswith(b"HTTP/1.1 503")


def test_without_a_configuration_it_is_not_known_whether_there_is_a_route():
    """An entry restarts while control cannot be reached.

    It must not say that a route does not exist.
    """

    async def run():
        async with entry_world(config=b"") as world:
            return await world.ask(ORDER)

    assert asyncio.run(run()).startswith(b"HTTP/1.1 503")


def test_an_unknown_route_is_not_found():
    answer, _ = _ask(request_bytes("/nothing/1"), None)
    assert answer.startswith(b"HTTP/1.1 404")


def test_requests_on_one_connection_are_answered_in_turn():
    async def run():
        standin = StandInUpstream()
        async with entry_world() as world:
            await standin.start()
            world.know(standin)
            raw = request_bytes("/order/1", close=False) + ORDER
            reader, _ = await world.send(raw)
            return await read_to_end(reader), standin

    answer, standin = asyncio.run(run())
    assert answer.count(b"HTTP/1.1 200") == 2
    assert len(standin.seen) == 2
