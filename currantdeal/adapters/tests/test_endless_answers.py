"""Answers of upstreams that do not end, with real sockets."""

import socket
import threading
import time
import tracemalloc

import pytest

from currantdeal.adapters.connections import Connections, HttpRequest
from currantdeal.adapters.engines import HttpEngines
from currantdeal.core import UpstreamError

MAX_GROWTH_BYTES = 33_554_432
"""Growth of a process's memory that endless messages may cause."""

MAX_SENT_BYTES = 100_663_296
"""Bytes after which an endless answer ends, so that a failure is harmless."""

MAX_SENDING_S = 8.0
"""Time after which it ends."""

MANY = 16
"""Number of answers at which a bound for each exceeds the growth."""

TIMEOUT_S = 0.5
HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS_CHUNK = HEAD + b"Transfer-Encoding: chunked\r\n\r\nffffffffffff\r\n"
PART = b"x" * 65_536

ANSWERS = {
    "nothing but bytes": (b"", PART),
    "status line": (b"HTTP/1.1 200 ", PART),
    "blank lines": (b"", b"\r\n" * 4_096),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "interim headers": (b"HTTP/1.1 100 Continue\r\n", b"a: b\r\n" * 1_000),
    "header line": (HEAD + b"X-Long: ", PART),
    "header lines": (HEAD, b"X-More: 1\r\n" * 4_096),
    "body without a length": (HEAD + b"\r\n", PART),
    "body of a large length": (
        HEAD + b"Content-Length: 999999999999\r\n\r\n",
        PART,
    ),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (len(PART), PART),
    ),
    "tiny chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 4_096,
    ),
    "chunk": (ENDLESS_CHUNK, PART),
    "chunk size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;", PART),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-More: 1\r\n" * 4_096,
    ),
    "error": (b"HTTP/1.1 500 No\r\n\r\n", PART),
}


class _EndlessUpstream:
    """Sends the start of an answer, then a part until its caller closes."""

    def __init__(self, start, part):
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        self.is_closed = threading.Event()
        self._answer = (start, part)
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection:
            connection.recv(65_536)
            start, part = self._answer
            try:
                connection.sendall(start)
                end_s = time.monotonic() + MAX_SENDING_S
                for _ in range(MAX_SENT_BYTES // len(part)):
                    connection.sendall(part)
                    if time.monotonic() > end_s:
                        break
            except OSError:
                self.is_closed.set()

    def close(self):
        self._listener.close()


def _fetch(upstream):
    request = HttpRequest(address=upstream.address, method="POST", path="/")
    Connections().fetch(request, timeout_s=TIMEOUT_S)


def _decode(upstream):
    for _ in HttpEngines().decode(upstream, {}, silence_s=TIMEOUT_S):
        pass


@pytest.mark.parametrize("use", [_fetch, _decode])
@pytest.mark.parametrize("name", ANSWERS)
def test_answer_without_end_is_given_up(name, use):
    """Guards against a worker whose bytes fill the memory of its caller."""
    upstream = _EndlessUpstream(*ANSWERS[name])
    tracemalloc.start()
    try:
        with pytest.raises(UpstreamError):
            use(upstream)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        upstream.close()
    assert peak_bytes < MAX_GROWTH_BYTES
    assert upstream.is_closed.wait(1.0)


def _sound_upstream():
    """Return the address of an upstream that answers each request."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        while True:
            connection, _ = listener.accept()
            with connection:
                connection.recv(65_536)
                connection.sendall(HEAD + b"Content-Length: 2\r\n\r\nok")

    threading.Thread(target=serve, daemon=True).start()
    host, port = listener.getsockname()
    return f"{host}:{port}"


def test_many_answers_without_end_are_bounded_in_sum():
    """Guards against memory that grows with the number of faulty workers."""
    connections = Connections()
    failures = []

    def fetch(upstream):
        request = HttpRequest(
            address=upstream.address, method="POST", path="/"
        )
        try:
            connections.fetch(request, timeout_s=TIMEOUT_S)
        except UpstreamError as exc:
            failures.append(exc)

    upstreams = [_EndlessUpstream(*ANSWERS["chunks"]) for _ in range(MANY)]
    threads = [
        threading.Thread(target=fetch, args=(upstream,))
        for upstream in upstreams
    ]
    sound = HttpRequest(address=_sound_upstream(), method="GET", path="/")
    tracemalloc.start()
    try:
        for thread in threads:
            thread.start()
        for _ in range(20):
            assert connections.fetch(sound, timeout_s=5.0).body == b"ok"
        for thread in threads:
            thread.join()
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(failures) == MANY
    assert peak_bytes < MAX_GROWTH_BYTES
    assert all(upstream.is_closed.wait(1.0) for upstream in upstreams)


@pytest.mark.parametrize(
    "event",
    [b": comment\n\n", b"data: ", b"event: other\n\n"],
    ids=["comments", "event", "other events"],
)
def test_stream_without_a_next_event_is_given_up(event):
    """Guards against a worker that keeps a stream of its caller for ever."""
    part = b"%x\r\n%s\r\n" % (len(event) * 2_048, event * 2_048)
    upstream = _EndlessUpstream(
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n", part
    )
    with pytest.raises(UpstreamError):
        _decode(upstream)
    assert upstream.is_closed.wait(1.0)
