import contextlib
import socket
import struct
import threading

import pytest

from currantdeal.testing.proxy import (
    Cut,
    FaultProxy,
    LinkFaults,
    open_tasks,
)
from currantdeal.testing.waiting import wait_until


def _accept_echo(listener):
    while True:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=_echo, args=(sock,), daemon=True).start()


def _echo(sock):
    with sock, contextlib.suppress(ConnectionResetError):
        while data := sock.recv(1024):
            sock.sendall(data)


@pytest.fixture
def proxy():
    listener = socket.create_server(("127.0.0.1", 0))
    threading.Thread(
        target=_accept_echo, args=(listener,), daemon=True
    ).start()
    host, port = listener.getsockname()
    fault_proxy = FaultProxy(target=f"{host}:{port}")
    yield fault_proxy
    fault_proxy.close()
    listener.close()


def _connect(proxy):
    host, _, port = proxy.address.rpartition(":")
    sock = socket.create_connection((host, int(port)))
    sock.settimeout(30)
    return sock


def _receives_echo(sock, data, wait_s):
    sock.sendall(data)
    sock.settimeout(wait_s)
    try:
        return sock.recv(100) == data
    except TimeoutError:
        return False


def test_bytes_pass_and_are_counted(proxy):
    with _connect(proxy) as sock:
        assert _receives_echo(sock, b"cake", 30)
    assert proxy.bytes_to_target == proxy.bytes_to_source == 4


def test_open_connections_stall_while_new_ones_work(proxy):
    with _connect(proxy) as old, _connect(proxy) as new:
        assert _receives_echo(old, b"one", 30)
        proxy.stall_open_connections()
        assert not _receives_echo(old, b"two", 0.1)
        new.close()
        with _connect(proxy) as later:
            assert _receives_echo(later, b"three", 30)


@pytest.mark.parametrize("cut", [Cut.TO_TARGET, Cut.TO_SOURCE, Cut.BOTH])
def test_a_partition_holds_bytes_until_it_heals(proxy, cut):
    with _connect(proxy) as sock:
        proxy.set_faults(LinkFaults(cut=cut))
        assert not _receives_echo(sock, b"late", 0.1)
        proxy.set_faults(LinkFaults())
        sock.settimeout(30)
        assert sock.recv(100) == b"late"


def test_open_connections_are_reset_and_new_ones_refused(proxy):
    with _connect(proxy) as sock:
        assert _receives_echo(sock, b"one", 30)
        proxy.reset_open_connections()
        with pytest.raises(ConnectionResetError):
            sock.recv(1)
    proxy.set_faults(LinkFaults(refuse=True))
    with _connect(proxy) as sock, pytest.raises(ConnectionResetError):
        sock.recv(1)
    wait_until(lambda: proxy.open_connections == 0, what="no connections")


def test_an_end_of_stream_passes_through(proxy):
    with _connect(proxy) as sock:
        assert _receives_echo(sock, b"one", 30)
        sock.shutdown(socket.SHUT_WR)
        assert sock.recv(1) == b""


def test_a_reset_passes_through():
    """Guards against a proxy that turns a cut answer into an ended one."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        fault_proxy = FaultProxy(target=f"{host}:{port}")
        with _connect(fault_proxy) as sock:
            accepted, _ = listener.accept()
            accepted.sendall(b"a part")
            assert sock.recv(100) == b"a part"
            linger = struct.pack("ii", 1, 0)
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            accepted.close()
            with pytest.raises(ConnectionResetError):
                sock.recv(1)
        fault_proxy.close()


def test_a_closed_proxy_leaves_nothing_behind():
    """Guards against stalled connections that slow all later proxies down."""
    before = open_tasks()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        fault_proxy = FaultProxy(target=f"{host}:{port}")
        with _connect(fault_proxy):
            accepted, _ = listener.accept()
            fault_proxy.stall_open_connections()
            accepted.sendall(b"held back")
            wait_until(lambda: open_tasks() > before, what="a forwarder")
            fault_proxy.close()
            accepted.close()
    assert open_tasks() <= before


def test_datagrams_pass_and_are_lost_in_a_partition():
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as target,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as source,
    ):
        target.bind(("127.0.0.1", 0))
        target.settimeout(0.1)
        fault_proxy = FaultProxy(target="{}:{}".format(*target.getsockname()))
        host, _, port = fault_proxy.address.rpartition(":")
        fault_proxy.set_faults(LinkFaults(cut=Cut.BOTH))
        source.sendto(b"lost", (host, int(port)))
        with pytest.raises(TimeoutError):
            target.recv(100)
        fault_proxy.set_faults(LinkFaults())
        target.settimeout(30)
        source.sendto(b"cake", (host, int(port)))
        assert target.recv(100) == b"cake"
        assert fault_proxy.datagram_bytes == 4
        fault_proxy.close()
