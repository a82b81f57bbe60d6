import asyncio
import contextlib
import gc

import pytest

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.node import peers
from currantdeal.node.errors import PeerUnreachableError
from currantdeal.node.messages import Done, JoinCall, ReadConfigCall
from currantdeal.node.peers import (
    MAX_FRAME_BYTES,
    MAX_RECEIVED_BYTES,
    PeerConnection,
    PeerLink,
    pack_frame,
    peer_memory,
)
from currantdeal.node.settings import split_address
from currantdeal.testing.node_logs import node_log_lines

NESTED_BODY = b"\x92\xa4Done" + b"\x91" * 100_000
PART_BYTES = 12_582_912
CALL = JoinCall(instance="a", address="a", blank=False)


async def _server(on_call, notices=None, on_notice=None, received=None):
    loop = asyncio.get_running_loop()

    def keep(connection, message):
        if notices is not None:
            notices.append(message)

    server = await loop.create_server(
        lambda: PeerConnection(
            on_notice=on_notice or keep,
            on_call=on_call,
            on_lost=lambda c: None,
            received=received,
        ),
        "127.0.0.1",
        0,
    )
    host, port = server.sockets[0].getsockname()
    return server, PeerLink(address=f"{host}:{port}")


def test_answers_in_any_order_are_matched_to_calls():
    async def answer(connection, message):
        if isinstance(message, ReadConfigCall):
            await asyncio.sleep(0.1)
            return Done(accepted=False)
        return Done(accepted=True)

    async def run():
        _, link = await _server(answer)
        return await asyncio.gather(
            link.call(ReadConfigCall(), timeout_s=2.0),
            link.call(CALL, timeout_s=2.0),
        )

    slow, fast = asyncio.run(run())
    assert (slow.accepted, fast.accepted) == (False, True)


def test_unresponsive_connection_is_replaced():
    """A network device drops the state of a connection without a reset.

    Every later call on that connection would time out.
    """
    calls = []

    async def answer(connection, message):
        calls.append(message)
        if len(calls) == 1:
            await asyncio.sleep(30.0)
        return Done(accepted=True)

    async def run():
        _, link = await _server(answer)
        with pytest.raises(PeerUnreachableError):
            await link.call(CALL, timeout_s=0.2)
        return await link.call(CALL, timeout_s=2.0)

    assert asyncio.run(run()).accepted


@pytest.mark.parametrize(
    "frame",
    [
        pytest.param(b"hello", id="no frame"),
        pytest.param(b"\x0b\x00\x03\x7f\xff\xff\xff", id="longer than said"),
        pytest.param(b"\x0b\x00\x03\xff\xff\xff\xff", id="negative length"),
        pytest.param(
            b"\x0f\x00\x09" + b"\x0f\x00\x00\x00\x01" * 1_000, id="nested"
        ),
        pytest.param(
            b"\x0b\x00\x03"
            + len(NESTED_BODY).to_bytes(4, "big")
            + NESTED_BODY
            + b"\x00",
            id="nested body",
        ),
    ],
)
def test_invalid_frame_closes_the_connection(frame):
    """Guards against bytes that raise what no layer expects."""
    unexpected = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: unexpected.append(found))
        server, _ = await _server(None)
        host, port = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(len(frame).to_bytes(4, "big") + frame)
        async with asyncio.timeout(2.0):
            try:
                return await reader.read()
            except ConnectionError:
                return b""

    assert asyncio.run(run()) == b""
    assert not unexpected


def test_refused_connection_raises_in_time():
    async def run():
        server, link = await _server(None)
        server.close()
        await server.wait_closed()
        with pytest.raises(PeerUnreachableError):
            await link.call(CALL, timeout_s=0.5)

    asyncio.run(run())


def test_notices_are_sent_without_waiting():
    notices = []

    async def run():
        _, link = await _server(None, notices)
        link.notify(CALL)
        await asyncio.sleep(0.1)
        link.notify(CALL)
        await asyncio.sleep(0.1)

    asyncio.run(run())
    assert notices == [CALL, CALL]


def test_answers_to_no_pending_call_are_dropped():
    """Guards against an answer of another call that arrives first."""

    async def answer(connection, message):
        for number in (0, 1, 2, 3, 99):
            if number != len(calls) + 1:
                connection.send_packed(
                    pack_frame(FrameKind.ANSWER, number, Done(accepted=False))
                )
        calls.append(message)
        return Done(accepted=True)

    async def run():
        _, link = await _server(answer)
        return [await link.call(CALL, timeout_s=2.0) for _ in range(3)]

    calls = []
    assert [a.accepted for a in asyncio.run(run())] == [True] * 3


async def _raise(*_):
    raise KeyError("missing")


def test_failed_call_is_reported_to_its_caller_at_once():
    """Guards against a caller that waits for a call that has failed."""
    unhandled = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: unhandled.append(found))
        _, link = await _server(_raise)
        async with asyncio.timeout(2.0):
            with pytest.raises(PeerUnreachableError):
                await link.call(CALL, timeout_s=60.0)
        gc.collect()

    with node_log_lines(peers) as read_lines:
        asyncio.run(run())
        (line,) = read_lines()
    assert (line["event"], line["message"]) == ("message-failed", "JoinCall")
    assert "KeyError" in line["exception"]
    assert unhandled == []


def test_failed_notice_closes_the_connection():
    """Guards against an error of a handler that nobody expects."""
    unhandled = []

    def fail(connection, message):
        raise KeyError("missing")

    async def answer(connection, message):
        await asyncio.sleep(30.0)

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, found: unhandled.append(found))
        _, link = await _server(answer, on_notice=fail)
        call = asyncio.ensure_future(link.call(CALL, timeout_s=60.0))
        await asyncio.sleep(0.05)
        link.notify(Done(accepted=True))
        async with asyncio.timeout(2.0):
            with pytest.raises(PeerUnreachableError):
                await call

    with node_log_lines(peers) as read_lines:
        asyncio.run(run())
        (line,) = read_lines()
    assert (line["event"], line["message"]) == ("message-failed", "Done")
    assert unhandled == []


def test_large_frames_are_bounded_in_sum():
    """Guards against memory that grows with the number of connections."""

    async def answer(connection, message):
        return Done(accepted=True)

    async def run():
        server, link = await _server(answer, received=peer_memory())
        streams = [
            await asyncio.open_connection(*split_address(link.address))
            for _ in range(8)
        ]
        part = (MAX_FRAME_BYTES - 1).to_bytes(4, "big") + bytes(PART_BYTES)
        for _, writer in streams:
            with contextlib.suppress(ConnectionError):
                writer.write(part)
                await writer.drain()
        answered = await link.call(CALL, timeout_s=2.0)
        await asyncio.sleep(0.2)
        is_open = [not reader.at_eof() for reader, _ in streams]
        for _, writer in streams:
            writer.transport.abort()
        return answered, sum(is_open)

    answered, still_open = asyncio.run(run())
    assert answered.accepted
    assert 0 < still_open * PART_BYTES <= MAX_RECEIVED_BYTES
