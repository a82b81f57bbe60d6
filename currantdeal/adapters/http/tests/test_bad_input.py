"""Bad input on a real socket, against a whole instance over local ports."""

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
GOOD = {"model": "m", "prompt": "x"}


def _key(kind):
    return KeySettings(
        name=f"test-{kind.value}",
        kind=kind,
        sha256=hashlib.sha256(kind.value.encode()).hexdigest(),
    )


def _daemon(keys=()):
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
    daemon = _daemon()
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
        (_post("/v1/completions", GOOD | {"max_tokens": -1}), 400),
        (_post("/v1/completions", GOOD | {"n": 2}), 400),
        (_post("/v1/chat/completions", {"model": "m", "messages": []}), 400),
        (_post("/v1/completions", GOOD, "X-Deadline-Ms: soon\r\n"), 400),
        (_post("/v1/completions", GOOD, "X-Deadline-Ms: 0\r\n"), 400),
        (_post("/v1/completions", GOOD), 404),
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
def test_bad_input_gets_a_clear_answer(address, raw, status):
    """A caller sends what makes no sense.

    It must learn what is wrong, and must never see the inside of a handler.
    """
    found, body = _send(address, raw)
    assert found == status
    assert b"Traceback" not in body
    if body.startswith(b"{"):
        assert json.loads(body)["outcome"] == "not-run"


def test_metrics_tell_of_the_instance(address):
    raw = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    status, body = _send(address, raw)
    assert status == 200
    assert b"currantdeal_requests_in_flight 0" in body
    assert b"currantdeal_members_alive 1" in body


def test_half_a_request_blocks_nobody(address):
    """More callers than threads send half a request and fall silent.

    Other callers would wait for ever.
    """
    half = _post("/v1/completions", GOOD)[:-3]
    with_half = [socket.create_connection(address) for _ in range(20)]
    for sock in with_half:
        sock.sendall(half)
    status, _ = _send(address, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
    assert status == 200
    for sock in with_half:
        sock.close()


def test_half_a_request_is_closed_after_a_while(monkeypatch):
    """A caller sends half a request and never anything more.

    Its connection would be kept for good.
    """
    monkeypatch.setattr(server_module, "IDLE_TIMEOUT_S", 1)
    monkeypatch.setattr(server_module, "CLEANUP_INTERVAL_S", 1)
    daemon = _daemon()
    daemon.start()
    host, _, port = daemon.caller_address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=LIMIT_S)
    sock.sendall(b"POST /v1/completions HTTP/1.1\r\nContent-Le")
    assert sock.recv(100) == b""
    sock.close()
    daemon.stop()


def test_answers_of_one_connection_do_not_cross(address):
    """Two requests are sent at once on one connection.

    The second answer must be the second request's.
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
    """A caller shows its key where an operator's is needed.

    It could withdraw upstreams.
    """
    daemon = _daemon(keys=[_key(kind) for kind in KeyKind])
    daemon.start()
    host, _, port = daemon.caller_address.rpartition(":")

    def status(path, key):
        shown = f"Authorization: Bearer {key}\r\n" if key else ""
        raw = f"GET {path} HTTP/1.1\r\nHost: x\r\n{shown}\r\n".encode()
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


def test_threads_are_kept_for_refusals(address):
    """More requests arrive than there are threads to serve them.

    Each of the others is refused at once rather than left waiting.
    """
    waiting = threading.Event()
    body = _post("/v1/completions", GOOD)
    answers = []

    def ask():
        answers.append(_send(address, body)[0])
        if len(answers) == 40:
            waiting.set()

    for _ in range(40):
        threading.Thread(target=ask, daemon=True).start()
    assert waiting.wait(LIMIT_S)
    assert set(answers) <= {404, 503}
