"""Tests a real ``currantdeal serve`` with stand-ins from the callers' side."""

import socket
import threading
import time
from dataclasses import replace

import openai
import pytest

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.http import server as server_module
from currantdeal.adapters.metrics import Metrics
from currantdeal.adapters.settings import Settings, TimingSettings
from currantdeal.cli import drain as drain_module
from currantdeal.cli.daemon import Daemon
from currantdeal.cli.tests.local_daemon import build_local_ports
from currantdeal.testing.caller import MODEL, CallerClient
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.output import expected_output
from currantdeal.testing.processes import ChildProcess
from currantdeal.testing.shapes import (
    CALLER_KEY,
    OPERATOR_KEY,
    ClusterShape,
    spread,
)
from currantdeal.testing.standin_client import StandInClient
from currantdeal.testing.waiting import wait_until

FAST_ENGINE_OPTIONS = ("--step-base-s", "0.002", "--step-per-request-s", "0")

SELECT_ALL_BODY = b"""{"selector": {"name": "all"}, "expected_version": 0,
           "request_id": "all", "wait_s": 20}"""


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    shape = ClusterShape(instances=spread(1))
    folder = tmp_path_factory.mktemp("whole")
    with Cluster(folder=folder, shape=shape) as new_cluster:
        new_cluster.add_engine("p1", roles=("prefill",))
        new_cluster.add_engine("d1", roles=("decode",))
        new_cluster.add_service("s1")
        new_cluster.start()
        new_cluster.wait_ready()
        new_cluster.wait_upstreams()
        operator = CallerClient(
            address=new_cluster.caller_addresses[0], key=OPERATOR_KEY
        )
        answer = operator.call(
            "PUT", "/operator/selectors/all", body=SELECT_ALL_BODY
        )
        assert answer.status == 200
        yield new_cluster


@pytest.fixture
def caller(cluster):
    return CallerClient(address=cluster.caller_addresses[0])


@pytest.fixture
def client(cluster):
    return openai.OpenAI(
        base_url=f"http://{cluster.caller_addresses[0]}/v1",
        api_key=CALLER_KEY,
        max_retries=0,
    )


def _no_memory_held(cluster):
    engines = [cluster.stand_in(name).client for name in ("p1", "d1")]
    return all(not each.held() for each in engines)


def test_openai_client_gets_a_whole_chat_completion(client):
    done = client.chat.completions.create(
        model=MODEL, messages=[{"role": "user", "content": "cake tokens=7"}]
    )
    prompt = "user: cake tokens=7"
    assert done.choices[0].message.content == expected_output(prompt, 7)
    assert done.choices[0].finish_reason == "stop"
    assert done.usage.completion_tokens == 7


def test_openai_client_gets_a_streamed_chat_completion(client):
    chunks = list(
        client.chat.completions.create(
            model=MODEL,
            messages=[
                {"role": "system", "content": "short"},
                {"role": "user", "content": "cake tokens=9"},
            ],
            stream=True,
            stream_options={"include_usage": True},
        )
    )
    parts = [
        choice.delta.content or ""
        for each in chunks
        for choice in each.choices
    ]
    prompt = "system: short\nuser: cake tokens=9"
    assert "".join(parts) == expected_output(prompt, 9)
    assert chunks[-1].usage.completion_tokens == 9


def test_openai_client_gets_completions_models_and_errors(client):
    done = client.completions.create(
        model=MODEL, prompt="cake tokens=50", max_tokens=4
    )
    assert done.choices[0].text == expected_output("cake tokens=50", 4)
    assert done.choices[0].finish_reason == "length"
    assert [each.id for each in client.models.list()] == [MODEL]
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model="none", prompt="x")
    assert caught.value.code == "unknown-target"


def test_caller_who_hangs_up_frees_engine_memory(cluster, caller):
    """Guards against engine memory held for a caller that has disconnected.

    The caller closes its connection in the middle of a stream.  Without a
    cancel the engine would hold the memory until the last output.
    """
    stream = caller.open_stream("cake tokens=900", max_tokens=900)
    assert len(stream.read_some(2)) >= 2
    assert cluster.stand_in("d1").client.held()
    stream.disconnect()
    wait_until(lambda: _no_memory_held(cluster), what="free memory", limit_s=5)


def test_stream_on_a_silent_connection_goes_on(cluster, caller):
    """Guards against a stream that waits forever on a silent connection.

    The open connection to the engine delivers nothing more, while new
    connections work (gray failure).
    """
    stream = caller.open_stream("cake tokens=60")
    assert len(stream.read_some(2)) >= 2
    cluster.stand_in("d1").client.set_faults(silence_open_streams=1)
    received = stream.read()
    assert received.text == expected_output("cake tokens=60", 60)
    assert received.done
    wait_until(lambda: _no_memory_held(cluster), what="free memory")


def test_deadline_that_cannot_be_met_is_refused_at_once(cluster, caller):
    """Guards against a wasted prefill.

    The prefill takes longer than the deadline of the caller.  Without an early
    refusal the caller would be refused only after its deadline, and the
    prefill would be wasted.
    """
    before = cluster.stand_in("p1").client.events()
    answer = caller.complete(
        "long catalogue " * 4_000, headers={"X-Deadline-Ms": "300"}
    )
    assert (answer.status, answer.outcome) == (503, "not-run")
    assert cluster.stand_in("p1").client.events() == before


def test_menu_is_read_and_headers_pass(caller):
    answer = caller.call("GET", "/services/shop/menu?of=today")
    assert answer.status == 200
    assert answer.json()["menu"]


def test_stream_outlives_its_decode_engine(cluster, caller):
    """Guards against a truncated answer after the loss of a decode engine.

    The engine is killed in the middle of a stream; another one continues it.
    """
    cluster.add_engine("d2", roles=("decode",))
    cluster.wait_upstreams()
    stream = caller.open_stream("cake tokens=90")
    assert len(stream.read_some(5)) >= 5
    held = {
        name: cluster.stand_in(name).client.held() for name in ("d1", "d2")
    }
    killed = next(name for name, memory in held.items() if memory)
    cluster.stand_in(killed).process.kill()
    received = stream.read()
    assert received.text == expected_output("cake tokens=90", 90)
    assert received.done


@pytest.fixture
def single_instance(tmp_path, monkeypatch):
    """Yield a daemon with in-process ports and its fast stand-in engine."""
    monkeypatch.setattr(server_module, "UNSENT_TIMEOUT_S", 1.0)
    monkeypatch.setattr(drain_module, "SEND_TIMEOUT_S", 0.2)
    settings = Settings(
        instance="i1",
        region="local",
        data_center="local-1",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        timing=TimingSettings(entries_keep_s=0.2),
    )
    clock, metrics = SystemClock(), Metrics()
    ports = build_local_ports(settings=settings, clock=clock, metrics=metrics)
    daemon = Daemon(
        settings=settings, ports=ports, clock=clock, metrics=metrics
    )
    daemon.start()
    options = [
        "--id",
        "e1",
        "--instance",
        daemon.caller_address,
        *FAST_ENGINE_OPTIONS,
    ]
    process = ChildProcess(
        arguments=["-m", "currantdeal.testing.engine", *options],
        log_path=tmp_path / "engine.log",
    )
    engine = StandInClient(address=process.read_address())
    wait_until(lambda: ports.state.view().upstreams, what="the engine")
    yield daemon, engine
    daemon.stop()
    process.kill()


def test_planned_stop_finishes_a_stream(single_instance):
    """Guards against an answer that a planned stop truncates.

    The instance is requested to stop while it streams the answer.
    """
    daemon, engine = single_instance
    caller = CallerClient(address=daemon.caller_address)
    stream = caller.open_stream("cake tokens=800", max_tokens=800)
    assert len(stream.read_some(2)) >= 2
    daemon.request_stop()
    process = threading.Thread(target=daemon.wait)
    process.start()
    assert stream.read().text == expected_output("cake tokens=800", 800)
    process.join()
    assert not engine.held()


def _generation(number):
    body = (
        b'{"model": "nube-assistant", "prompt": "cake tokens=300",'
        b' "max_tokens": 300}'
    )
    return (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        b"X-Request-Id: kept-%d\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (number, len(body), body)
    )


def _exchange_late(sock, number):
    """Send a generation on a kept connection; return all that comes."""
    received = b""
    try:
        sock.sendall(_generation(number))
        while data := sock.recv(65_536):
            received += data
    except ConnectionError:
        return received
    return received


def test_request_on_a_kept_connection_is_not_cut_by_a_stop(single_instance):
    """Guards against requests that are taken once a drain hands over."""
    daemon, engine = single_instance
    host, _, port = daemon.caller_address.rpartition(":")
    handing_over = threading.Event()

    def hand_over():
        handing_over.set()
        time.sleep(0.3)

    daemon._drain._ports = replace(daemon._ports, hand_over=(hand_over,))
    kept = []
    for _ in range(4):
        sock = socket.create_connection((host, int(port)), timeout=10.0)
        sock.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n")
        received = b""
        while not received.endswith(b"]}"):
            received += sock.recv(65_536)
        assert received.startswith(b"HTTP/1.1 200")
        kept.append(sock)
    daemon.request_stop()
    process = threading.Thread(target=daemon.wait)
    process.start()
    assert handing_over.wait(10.0)
    answers = [_exchange_late(sock, n) for n, sock in enumerate(kept)]
    process.join()
    finished = [e for e in engine.events() if e.kind is EventKind.FINISH]
    assert len(finished) == sum(map(bool, answers))
    assert not any(e.kind is EventKind.CANCEL for e in engine.events())
    for answer in filter(None, answers):
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"finish_reason" in answer


def test_caller_who_takes_nothing_frees_engine_memory(single_instance):
    """Guards against engine memory held for a caller that does not read.

    The connection of the caller stays open but accepts no more bytes.  Without
    a timeout the stream would hold engine memory until its last output.
    """
    daemon, engine = single_instance
    host, _, port = daemon.caller_address.rpartition(":")
    body = (
        b'{"model": "nube-assistant", "prompt": "cake tokens=4000",'
        b' "max_tokens": 4000, "stream": true}'
    )
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.connect((host, int(port)))
        sock.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        wait_until(engine.held, what="held memory")
        wait_until(lambda: not engine.held(), what="free memory")
    finished = [each.kind for each in engine.events()]
    assert EventKind.CANCEL in finished
    assert EventKind.FINISH not in finished
