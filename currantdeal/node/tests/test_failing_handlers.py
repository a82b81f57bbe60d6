import asyncio
import gc

import pytest

from currantdeal.adapters.sockets import set_reset_on_close
from currantdeal.node import caller_connection
from currantdeal.node.http_server import HttpServer
from currantdeal.node.logs import MAX_TEXT_CHARS
from currantdeal.testing.entry_world import read_to_end, request_bytes
from currantdeal.testing.node_logs import node_log_lines
from currantdeal.testing.stalled_peers import small_socket

REQUEST = request_bytes("/order/1")


async def _raise_at_once(request, responder):
    responder.request_id = "r-1"
    raise KeyError("missing")


async def _raise_with_much_text(request, responder):
    raise ValueError("x" * 1_000_000)


async def _forget_to_answer(request, responder):
    responder.request_id = "r-1"


async def _raise_after_head(request, responder):
    responder.request_id = "r-1"
    responder.begin(200, ())
    await responder.send(b"part", None)
    raise KeyError("missing")


async def _raise_after_answer(request, responder):
    responder.answer(200, (), b"whole")
    raise KeyError("missing")


async def _answer_illegal_header(request, responder):
    responder.request_id = "r-1"
    responder.answer(200, ((b"x-illegal", b"a\nb"),), b"ok")


async def _answer_illegal_status(request, responder):
    responder.request_id = "r-1"
    responder.answer(99, (), b"ok")


async def _answer(request, responder):
    responder.answer(200, (), b"ok")


def _exchange(handler, raw=REQUEST):
    """Return all bytes of an answer, the log lines and unhandled errors."""
    unhandled = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: unhandled.append(context)
        )
        server = HttpServer(handler=handler)
        await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(raw)
        async with asyncio.timeout(3.0):
            answer = await read_to_end(reader)
        writer.close()
        return answer

    with node_log_lines(caller_connection) as read_lines:
        answer = asyncio.run(run())
        return answer, read_lines(), unhandled


@pytest.mark.parametrize(
    "handler",
    [
        _raise_at_once,
        _answer_illegal_header,
        _answer_illegal_status,
        _forget_to_answer,
    ],
)
def test_failed_handler_yields_an_error_response(handler):
    """Guards against a connection that is closed without any answer."""
    answer, lines, unhandled = _exchange(handler)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.split()[1] == b"500"
    assert b"may have run" in body
    assert [line["event"] for line in lines] == ["handler-failed"]
    assert lines[0]["request"] == "r-1"
    assert lines[0]["level"] == "error"
    assert "Error" in lines[0]["why"]
    assert "Traceback" in lines[0]["exception"]
    assert unhandled == []


def test_failed_handler_of_a_kept_connection_answers_the_next_request():
    """Guards against an error response that ends other requests."""
    handlers = [_raise_at_once, _answer]

    async def handle(request, responder):
        await handlers.pop(0)(request, responder)

    answer, _, unhandled = _exchange(
        handle, request_bytes("/order/1", close=False) + REQUEST
    )
    assert answer.count(b"HTTP/1.1 500 ") == 1
    assert answer.count(b"HTTP/1.1 200 ") == 1
    assert unhandled == []


def test_response_that_has_begun_is_reset_when_its_handler_fails():
    """Guards against a second response, or an end that looks orderly."""
    answer, lines, unhandled = _exchange(_raise_after_head)
    assert answer.count(b"HTTP/1.1") == 1
    assert not answer.endswith(b"0\r\n\r\n")
    assert lines[0]["request"] == "r-1"
    assert unhandled == []


def test_whole_response_of_a_failed_handler_is_delivered():
    """Guards against the reset of a response that is whole."""
    answer, lines, unhandled = _exchange(_raise_after_answer)
    assert answer.endswith(b"whole")
    assert [line["event"] for line in lines] == ["handler-failed"]
    assert unhandled == []


def test_response_to_a_head_request_has_no_body():
    """Guards against a refusal that fails because of the method."""
    raw = request_bytes("/order/1", method="HEAD", body=b"")
    answer, _, unhandled = _exchange(_raise_at_once, raw)
    assert answer.split()[1] == b"500"
    assert answer.endswith(b"\r\n\r\n")
    answer, lines, unhandled = _exchange(_answer, raw)
    assert answer.split()[1] == b"200"
    assert answer.endswith(b"\r\n\r\n")
    assert lines == unhandled == []


async def _abort(request, responder):
    responder.abort()


def test_aborted_request_is_no_failure():
    """Guards against an error response where a handler cut its caller."""
    answer, lines, unhandled = _exchange(_abort)
    assert answer in (b"", b"<reset>")
    assert lines == unhandled == []


def test_log_line_of_a_large_error_is_bounded():
    """Guards against log lines as long as what a peer has sent."""
    _, lines, _ = _exchange(_raise_with_much_text)
    assert len(lines[0]["why"]) <= MAX_TEXT_CHARS
    assert len(lines[0]["exception"]) <= MAX_TEXT_CHARS


KERNEL_BYTES = 30_000
"""More than the receive buffer of a small socket; the kernel takes it all."""

UNSENT_BYTES = 180_000
"""More than the kernel takes at once."""


@pytest.mark.parametrize(
    ("raw", "size"),
    [
        (REQUEST, KERNEL_BYTES),
        (REQUEST, UNSENT_BYTES),
        (b"no request\r\n\r\n", 0),
    ],
    ids=["answered", "unsent", "refused"],
)
def test_caller_who_resets_at_the_end_of_an_answer_is_no_failure(raw, size):
    """Guards against an error in the end of a connection that is reset."""
    unhandled = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: unhandled.append(context)
        )
        sock, is_reset = small_socket(), asyncio.Event()

        def reset(*_):
            is_reset.set()
            set_reset_on_close(sock, True)
            sock.close()

        async def answer_and_reset(request, responder):
            responder.answer(200, (), b"x" * size)
            reset()

        server = HttpServer(handler=answer_and_reset, on_refused=reset)
        await server.start("127.0.0.1", 0)
        await loop.sock_connect(sock, server.address)
        await loop.sock_sendall(sock, raw)
        async with asyncio.timeout(3.0):
            await is_reset.wait()
            while server.connections:
                await asyncio.sleep(0.01)
        # A task that failed unobserved is reported once it is collected.
        gc.collect()

    asyncio.run(run())
    assert unhandled == []
