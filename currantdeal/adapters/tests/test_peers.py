"""Answers of other instances that belong to another call."""

import contextlib
import socket
import struct
import threading

import pytest
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from currantdeal.adapters.generated.consensus import Replica
from currantdeal.adapters.peers import PeerPool, PeerServer

LENGTH = struct.Struct("!I")


def _frame(number, text):
    buffer = TMemoryBuffer()
    protocol = TCompactProtocol(buffer)
    protocol.writeMessageBegin("deliver", TMessageType.REPLY, number)
    Replica.deliver_result(success=[text]).write(protocol)
    protocol.writeMessageEnd()
    raw = buffer.getvalue()
    return LENGTH.pack(len(raw)) + raw


def _serve_connection(listener, script):
    """Answer each call with the frames that a script makes of its number."""
    sock, _ = listener.accept()
    with (
        contextlib.suppress(ConnectionError),
        sock,
        sock.makefile("rb") as received,
    ):
        while head := received.read(LENGTH.size):
            raw = received.read(LENGTH.unpack(head)[0])
            call = TCompactProtocol(TMemoryBuffer(raw))
            _, _, number = call.readMessageBegin()
            sock.sendall(script(number))


def _call_three_times(script):
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(
        target=_serve_connection, args=(listener, script), daemon=True
    ).start()
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    pool = PeerPool()
    answers = [
        pool.call(
            address,
            "consensus",
            Replica.Client,
            lambda client: client.deliver([]),
            timeout_s=2.0,
        )
        for _ in range(3)
    ]
    pool.close()
    listener.close()
    return answers


@pytest.mark.parametrize(
    "script",
    [
        lambda number: _frame(number - 1, b"alien") + _frame(number, b"own"),
        lambda number: _frame(number, b"own") + _frame(number, b"alien"),
        lambda number: _frame(0, b"alien") * 2 + _frame(number, b"own"),
    ],
    ids=["before", "after", "twice"],
)
def test_a_call_between_instances_gets_its_own_answer(script):
    """Guards against an answer that is matched by its order alone."""
    assert _call_three_times(script) == [[b"own"]] * 3


@pytest.mark.parametrize("sent", [b"", LENGTH.pack(9) + b"part"])
def test_connection_without_calls_is_closed(sent):
    """Guards against a thread that is kept for an instance that is gone."""
    server = PeerServer(host="127.0.0.1", port=0, idle_timeout_s=0.3)
    server.start()
    address = ("127.0.0.1", server.port)
    with socket.create_connection(address, timeout=3.0) as sock:
        sock.sendall(sent)
        assert sock.recv(1) == b""
    server.stop()
