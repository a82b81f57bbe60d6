"""Invalid input on a real socket to an instance with local ports."""

import hashlib
import json
import socket
import threading

import pytest

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.http import server as server_module
from currantdeal.adapters.metrics import Metrics
from currantdeal.adapters.settings import KeyKind, KeySettings, Settings
from currantdeal.cli.daemon import Daemon
from currantdeal.cli.tests.local_daemon import build_local_ports

LIMIT_S = 30.0
VALID_BODY = {"model": "m", "prompt": "x"}


def _key(kind):
    return KeySettings(
        name=f"test-{kind.value}",
        kind=kind,
        sha256=hashlib.sha256(kind.value.encode()).hexdigest(),
    )


def _build_daemon(keys=()):
    settings = Settings(
        instance="i1",
        region="r1",
        data_center="r1-1",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        threads=8,
        max_body_bytes=10_000,
        max_header_bytes=4_000,
        keys=tuple(keys),
    )
    clock, metrics = SystemClock(), Metrics()
    ports = build_local_ports(settings=settings, clock=clock, metrics=metrics)
    return Daemon(settings=settings, ports=ports, clock=clock, metrics=metrics)


@pytest.fixture
def address():
    daemon = _build_daemon()
    daemon.start()
    host, _, port = daemon.caller_address.rpartition(":")
    yield host, int(port)
    daemon.stop()


def _send(address, raw):
    """Send bytes and return the status and body of the first answer."""
    with socket.create_connection(address, timeout=LIMIT_S) as sock:
        sock.sendall(raw)
        return _read(sock)


def _read(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65_536)
        if not more:
            return None, data
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += sock.recv(65_536)
    return int(head.split()[1]), body


def _post(path, body, headers=""):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{headers}"
    return f"{head}Content-Length: {len(raw)}\r\n\r\n".encode() + raw


@pytest.mark.parametrize(
    "raw, status",
    [
        (_post("/v1/completions", b"{nonsense"), 400),
        (_post("/v1/completions", b"\xff\xfe"), 400),
        (_post("/v1/completions", b"[" * 5_000), 400),
        (_post("/v1/completions", {"model": 1, "prompt": "x"}), 400),
        (_post("/v1/completions", VALID_BODY | {"max_tokens": -1}), 400),
        (_post("/v1/completions", VALID_BODY | {"n": 2}), 400),
        (_post("/v1/chat/completions", {"model": "m", "messages": []}), 400),
        (_post("/v1/completions", VALID_BODY, "X-Deadline-Ms: soon\r\n"), 400),
        (_post("/v1/completions", VALID_BODY, "X-Deadline-Ms: 0\r\n"), 400),
        (_post("/v1/completions", VALID_BODY), 404),
        (_post("/services/none/x", b""), 404),
        (
            _post("/services/s/x", b"", f"Idempotency-Key: {'k' * 201}\r\n"),
            400,
        ),
        (_post("/v1/models", b""), 405),
        (_post("/nowhere", b""), 404),
        (_post("/upstreams/announce", {"upstream_id": "x"}), 400),
        (_post("/operator/upstreams/none/labels", {}), 400),
        (_post("/v1/completions", b"x" * 10_001), 413),
        (_post("/v1/completions", b"", f"A: {'a' * 5_000}\r\n"), 431),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /v1/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
    ],
)
def test_invalid_input_is_answered_with_a_client_error(address, raw, status):
    """A caller sends an invalid request.

    Guards against answers that do not name the error or that expose the
    traceback of a handler.
    """
    received, body = _send(address, raw)
    assert received == status
    assert b"Traceback" not in body
    if body.startswith(b"{"):
        assert json.loads(body)["outcome"] == "not-run"


def test_metrics_describe_the_instance(address):
    raw = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    status, body = _send(address, raw)
    assert status == 200
    assert b"currantdeal_requests_in_flight 0" in body
    assert b"currantdeal_members_alive 1" in body


def test_incomplete_requests_do_not_block_other_callers(address):
    """More callers than threads send an incomplete request and then stall.

    Guards against thread exhaustion: if each of them occupied a thread, other
    callers would wait forever.
    """
    half = _post("/v1/completions", VALID_BODY)[:-3]
    connections = [socket.create_connection(address) for _ in range(20)]
    for sock in connections:
        sock.sendall(half)
    status, _ = _send(address, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    assert status == 200
    for sock in connections:
        sock.close()


def test_half_a_request_is_closed_after_a_while(monkeypatch):
    """A caller sends half a request and then nothing.

    Guards against leaked connections: without a timeout its connection would
    stay open forever.
    """
    monkeypatch.setattr(server_module, "IDLE_TIMEOUT_S", 1)
    monkeypatch.setattr(server_module, "CLEANUP_INTERVAL_S", 1)
    daemon = _build_daemon()
    daemon.start()
    host, _, port = daemon.caller_address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=LIMIT_S)
    sock.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Le")
    assert sock.recv(100) == b""
    sock.close()
    daemon.stop()


def test_answers_of_one_connection_do_not_cross(address):
    """Two requests are pipelined on one connection.

    Guards against answers in the wrong order: the second answer must belong
    to the second request.
    """
    first = b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"
    second = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    with socket.create_connection(address, timeout=LIMIT_S) as sock:
        sock.sendall(first + second)
        data = b""
        while data.count(b"HTTP/1.1 200") < 2 or not data.endswith(b"}"):
            data += sock.recv(65_536)
    assert data.index(b'"list"') < data.index(b'"ok"')


def test_keys_of_one_kind_are_not_taken_for_another():
    """A caller presents its key where an operator's key is required.

    Guards against privilege escalation: the caller could withdraw upstreams.
    """
    daemon = _build_daemon(keys=[_key(kind) for kind in KeyKind])
    daemon.start()
    host, _, port = daemon.caller_address.rpartition(":")

    def status(path, key):
        header = f"Authorization: Bearer {key}\r\n" if key else ""
        raw = f"GET {path} HTTP/1.1\r\nHost: x\r\n{header}\r\n".encode()
        return _send((host, int(port)), raw)[0]

    assert status("/v1/models", "caller") == 200
    assert status("/v1/models", "operator") == 403
    assert status("/v1/models", "wrong") == 401
    assert status("/v1/models", "") == 401
    assert status("/operator/selectors", "operator") == 200
    assert status("/operator/selectors", "caller") == 403
    assert status("/operator/selectors", "upstream") == 403
    assert status("/healthz", "") == 200
    daemon.stop()


def test_excess_requests_are_refused_at_once(address):
    """More requests arrive than there are threads to serve them.

    Guards against excess requests that wait for a thread: they must be
    refused at once.
    """
    all_answered = threading.Event()
    body = _post("/v1/completions", VALID_BODY)
    answers = []

    def send():
        answers.append(_send(address, body)[0])
        if len(answers) == 40:
            all_answered.set()

    for _ in range(40):
        threading.Thread(target=send, daemon=True).start()
    assert all_answered.wait(LIMIT_S)
    assert set(answers) <= {404, 503}
