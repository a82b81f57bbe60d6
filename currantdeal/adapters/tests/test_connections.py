import socket
import threading
import time

import pytest

from currantdeal.adapters.connections import Connections, HttpRequest
from currantdeal.core import (
    UpstreamCrashedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from currantdeal.testing.stalled_peers import small_socket


class _Upstream:
    """Accepts one connection, reads the request and closes it."""

    def __init__(self, *, crashes):
        self._listener = socket.create_server(("127.0.0.1", 0))
        host, port = self._listener.getsockname()
        self.request = HttpRequest(
            address=f"{host}:{port}", method="POST", path="/"
        )
        self._crashes = crashes
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listener.accept()
        connection.recv(65_536)
        if self._crashes:
            self.close()
        connection.close()

    def close(self):
        self._listener.close()


def _failure(upstream):
    with pytest.raises(UpstreamTimeoutError) as caught:
        Connections().fetch(upstream.request, timeout_s=2.0)
    return caught.value


def test_upstream_that_ended_during_a_request_has_crashed():
    """Guards against a crash that is reported as a lost connection."""
    assert isinstance(_failure(_Upstream(crashes=True)), UpstreamCrashedError)


def test_upstream_that_dropped_a_connection_has_not_crashed():
    """Guards against attributing a connection reset to the request."""
    upstream = _Upstream(crashes=False)
    assert not isinstance(_failure(upstream), UpstreamCrashedError)
    upstream.close()


def test_upstream_that_was_down_before_has_not_crashed():
    """Guards against attributing a crash to a request never sent."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    request = HttpRequest(address=f"{host}:{port}", method="POST", path="/")
    with pytest.raises(UpstreamUnreachableError):
        Connections().fetch(request, timeout_s=2.0)


def _serve_late(listener, size, stall_s):
    connection, _ = listener.accept()
    with connection:
        time.sleep(stall_s)
        while size > 0:
            size -= len(connection.recv(65_536))
        connection.sendall(_answer(b"own"))


def test_upstream_that_takes_a_body_late_gets_all_of_it():
    """Guards against an upstream that is lost because it reads late."""
    body = b"x" * 8_000_000
    with small_socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(True)
        host, port = listener.getsockname()
        threading.Thread(
            target=_serve_late, args=(listener, len(body), 2.0), daemon=True
        ).start()
        request = HttpRequest(
            address=f"{host}:{port}", method="POST", path="/", body=body
        )
        assert Connections().fetch(request, timeout_s=6.0).body == b"own"


def test_upstream_that_takes_no_body_is_lost_in_time():
    """Guards against a thread that waits for an upstream without an end."""
    with small_socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        request = HttpRequest(
            address=f"{host}:{port}",
            method="POST",
            path="/",
            body=b"x" * 8_000_000,
        )
        start_s = time.monotonic()
        with pytest.raises(UpstreamTimeoutError):
            Connections().fetch(request, timeout_s=1.5)
        assert time.monotonic() - start_s < 2.0


def _answer(text):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + text


def _repeat_answers(listener):
    """Answer each request but the first on a connection as another one."""
    while True:
        connection, _ = listener.accept()
        with connection:
            own = b"own"
            while connection.recv(65_536):
                connection.sendall(_answer(own))
                own = b"not"


def test_answer_to_an_earlier_request_is_not_used():
    """Guards against an upstream that answers a request twice."""
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(
        target=_repeat_answers, args=(listener,), daemon=True
    ).start()
    host, port = listener.getsockname()
    request = HttpRequest(address=f"{host}:{port}", method="GET", path="/")
    connections = Connections()
    for _ in range(3):
        response = connections.fetch(request, timeout_s=2.0)
        assert response.body == b"own"
