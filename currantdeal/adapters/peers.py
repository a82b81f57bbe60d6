"""Calls between instances: Thrift over plain TCP.

One listener serves several Thrift services, told apart by name.  The client
side keeps a few connections per address and never trusts an old one.

See Also
--------
currantdeal.adapters.errors.PeerError
"""

import contextlib
import logging
import socket
import threading
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.Thrift import TException
from thrift.TMultiplexedProcessor import TMultiplexedProcessor
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from currantdeal.adapters.errors import PeerError

IDLE_AGE_S = 5.0
"""Idle time after which a connection is closed rather than used again.

Heartbeats use a connection several times a second, so one that was idle this
long is not part of a busy path, and opening another costs one round trip.
"""

MAX_IDLE_PER_ADDRESS = 4
BACKLOG = 256

# The library logs every refused connection, several times a second for a dead
# instance; the same is raised as PeerError and counted by whoever called.
logging.getLogger("thrift.transport.TSocket").setLevel(logging.CRITICAL)

_PROTOCOLS = TCompactProtocolAcceleratedFactory()


@dataclass(frozen=True, kw_only=True)
class _Connection:
    transport: TFramedTransport
    socket: TSocket
    used_s: float = field(default=0.0)


class PeerServer:
    """Listener that serves Thrift processors by name.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        Port to listen on; 0 picks a free one.
    """

    def __init__(self, *, host, port):
        """Bind the listener; nothing is accepted before ``start``."""
        self._processor = TMultiplexedProcessor()
        self._listener = socket.create_server(
            (host, port), backlog=BACKLOG, reuse_port=False
        )
        self._open = set()
        self._lock = threading.Lock()
        self._stopped = False

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._listener.getsockname()[1]

    def register(self, name, processor):
        """Serve a generated processor under a name."""
        self._processor.registerProcessor(name, processor)

    def start(self):
        """Accept connections, each on a thread of its own."""
        threading.Thread(
            target=self._accept, name="peer-accept", daemon=True
        ).start()

    def stop(self):
        """Close the listener and every connection."""
        self._stopped = True
        # Closing alone leaves the port taken while a thread waits in accept,
        # and a restart on the same address within one process would fail.
        _shut(self._listener)
        self._listener.close()
        with self._lock:
            for sock in self._open:
                _shut(sock)

    def _accept(self):
        while not self._stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._open.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), name="peer", daemon=True
            ).start()

    def _serve(self, sock):
        plain = TSocket()
        plain.setHandle(sock)
        transport = TFramedTransport(plain)
        protocol = _PROTOCOLS.getProtocol(transport)
        try:
            while not self._stopped:
                self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            # The other side went away or sent what is no call; either way
            # the connection is of no more use, and its owner opens another.
            pass
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()


class PeerPool:
    """Client side: short calls to other instances.

    A call is tried once.  A timeout closes every idle connection to the
    address, because a path that lost track of one connection has likely lost
    the others; without this each of them would cost a timeout of its own.
    """

    def __init__(self):
        """Start with no connections."""
        self._idle = defaultdict(deque)
        self._lock = threading.Lock()

    def call(self, address, service, client_class, ask, *, timeout_s):
        """Return what ``ask`` returns, given a client for the address.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the other instance's peer listener.
        service : str
            Name the processor is registered under.
        client_class : type
            Generated client.
        ask : callable
            Takes the client and makes exactly one call.
        timeout_s : float
            Longest wait for connecting, and again for the answer.

        Raises
        ------
        PeerError
            If no answer came.  Errors declared in the service definition
            pass through unchanged.
        """
        conn = self._take(address) or self._connect(address, timeout_s)
        conn.socket.setTimeout(timeout_s * 1000.0)
        protocol = _PROTOCOLS.getProtocol(conn.transport)
        client = client_class(TMultiplexedProtocol(protocol, service))
        try:
            answer = ask(client)
        except (TTransportException, OSError, EOFError) as exc:
            conn.transport.close()
            self.forget(address)
            raise PeerError(f"{address}: {exc}", sent=True) from exc
        except TException:
            self._give_back(address, conn)
            raise
        self._give_back(address, conn)
        return answer

    def forget(self, address):
        """Close every idle connection to an address."""
        with self._lock:
            idle = self._idle.pop(address, ())
        for conn in idle:
            conn.transport.close()

    def close(self):
        """Close every idle connection."""
        for address in list(self._idle):
            self.forget(address)

    def _take(self, address):
        oldest_s = time.monotonic() - IDLE_AGE_S
        with self._lock:
            idle = self._idle[address]
            conn = idle.pop() if idle else None
        if conn is None or conn.used_s >= oldest_s:
            return conn
        conn.transport.close()
        self.forget(address)
        return None

    def _connect(self, address, timeout_s):
        host, _, port = address.rpartition(":")
        plain = TSocket(host, int(port))
        plain.setTimeout(timeout_s * 1000.0)
        try:
            plain.open()
        except (TTransportException, OSError) as exc:
            raise PeerError(f"{address}: {exc}", sent=False) from exc
        plain.handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return _Connection(transport=TFramedTransport(plain), socket=plain)

    def _give_back(self, address, conn):
        kept = _Connection(
            transport=conn.transport,
            socket=conn.socket,
            used_s=time.monotonic(),
        )
        with self._lock:
            idle = self._idle[address]
            idle.append(kept)
            dropped = (
                idle.popleft() if len(idle) > MAX_IDLE_PER_ADDRESS else None
            )
        if dropped is not None:
            dropped.transport.close()


def _shut(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
