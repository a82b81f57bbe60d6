"""Ends of answers of the product's own interface, with real sockets."""

import contextlib
import socket
import subprocess
import sys
import threading

import pytest

from currantdeal.adapters.http.generation import EventBody
from currantdeal.adapters.http.messages import BROKEN_OFF, Response
from currantdeal.adapters.http.openai_format import AnswerFormat
from currantdeal.adapters.http.tests.server_builders import instance
from currantdeal.adapters.services import HttpServices
from currantdeal.core import Outcome, WorkKind
from currantdeal.ports import OutputChunk, ServiceCall
from currantdeal.serving.errors import Reason, RefusedError
from currantdeal.testing.answer_shapes import Received, parse_answer

HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na menu",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\na menu\r\n0\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\n\r\na menu",
    "http-1.0": b"HTTP/1.0 200 OK\r\n\r\na menu",
}

MARKED = ("length", "chunks")


class _Address:
    def __init__(self, *, address):
        self.address = address


@contextlib.contextmanager
def _upstream(raw):
    """Run an upstream that sends bytes once and closes its connection."""

    def serve():
        with contextlib.suppress(OSError):
            connection, _ = listener.accept()
            connection.recv(65_536)
            connection.sendall(raw)
            connection.close()

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        yield _Address(address=f"{host}:{port}")
        thread.join()


def _get(port, version):
    """Return the ``CallerAnswer`` to a request that closes its connection."""
    request = f"GET /x HTTP/{version}\r\nHost: a\r\nConnection: close\r\n\r\n"
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as sock:
        sock.sendall(request.encode())
        return parse_answer(_receive(sock))


def _receive(sock):
    """Return the bytes up to the connection's end, and how it ended."""
    received = b""
    try:
        while data := sock.recv(65_536):
            received += data
    except ConnectionResetError:
        received += b"<reset>"
    return received


@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("shape", HEADS)
def test_answer_of_a_service_is_stated_whole_only_if_known(shape, version):
    """Guards against a length for an answer that may be incomplete."""

    def handler(request):
        call = ServiceCall(method="GET", path="/menu")
        found = HttpServices().call(upstream, call, timeout_s=2.0)
        return Response(body=found.body, is_known_whole=found.is_known_whole)

    with _upstream(HEADS[shape]) as upstream, instance(handler) as port:
        answer = _get(port, version)
    assert (answer.status, answer.body) == (200, b"a menu")
    expected = Received.WHOLE if shape in MARKED else Received.OPEN
    assert answer.received is expected


class _LostStream:
    """Output of an engine that is lost after its first chunk."""

    prompt_tokens = output_tokens = 1

    def __iter__(self):
        yield OutputChunk(offset=0, text="a")
        raise RefusedError(
            "the engine is lost",
            reason=Reason.UPSTREAM_FAILED,
            outcome=Outcome.FAILED,
        )

    def close(self):
        pass


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_stream_of_a_lost_engine_is_cut(version):
    """Guards against a broken-off stream that is framed as complete."""

    def handler(request):
        return Response(
            body=EventBody(
                stream=_LostStream(),
                answer_format=AnswerFormat(
                    answer_id="1",
                    kind=WorkKind.COMPLETION,
                    model="m",
                    created=0,
                ),
                with_usage=False,
                end=lambda: None,
                break_off=lambda: request.environ.setdefault(BROKEN_OFF, True),
            )
        )

    with instance(handler) as port:
        answer = _get(port, version)
    assert answer.received is Received.CUT
    if version == "1.1":
        assert b"the engine is lost" in answer.body


SLOW_SERVER = """
import time
from currantdeal.adapters.http.messages import Response
from currantdeal.adapters.http.tests.server_builders import instance

def body():
    yield b"a part"
    time.sleep(30.0)
    yield b"the rest"

with instance(lambda request: Response(body=body())) as port:
    print(port, flush=True)
    time.sleep(30.0)
"""


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_stream_is_cut_when_its_process_is_killed(version):
    """Guards against a process whose end looks like that of an answer."""
    with subprocess.Popen(
        [sys.executable, "-c", SLOW_SERVER], stdout=subprocess.PIPE
    ) as process:
        port = int(process.stdout.readline())
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.settimeout(5.0)
            sock.sendall(f"GET /x HTTP/{version}\r\nHost: a\r\n\r\n".encode())
            received = b""
            while b"a part" not in received:
                received += sock.recv(65_536)
            process.kill()
            answer = parse_answer(received + _receive(sock))
    assert answer.received is Received.CUT
