"""Calls between instances: Thrift over raw_transport TCP.

One listener serves several Thrift services, which are distinguished by name.
The client side keeps a few connections per address and does not reuse one
that was idle for long.

See Also
--------
currantdeal.adapters.errors.PeerError
"""

import contextlib
import itertools
import logging
import socket
import threading
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field

import structlog
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.protocol.TMultiplexedProtocol import TMultiplexedProtocol
from thrift.Thrift import TException, TType
from thrift.TMultiplexedProcessor import TMultiplexedProcessor
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport, TTransportException

from currantdeal.adapters.errors import PeerError

MAX_IDLE_AGE_S = 5.0
"""Idle time after which a connection is closed instead of reused.

Heartbeats use a connection several times a second, so a connection that was
idle this long is not on a busy path, and opening a new one costs one round
trip.
"""

SERVER_IDLE_TIMEOUT_S = 4 * MAX_IDLE_AGE_S
"""Time without a call after which a server closes a connection.

Its client does not reuse it by then.  One that is gone would otherwise hold a
thread for good.
"""

MAX_IDLE_PER_ADDRESS = 4
BACKLOG = 256

# The library logs every refused connection, several times a second for a dead
# instance.  The error is also raised as PeerError and counted by the caller.
logging.getLogger("thrift.transport.TSocket").setLevel(logging.CRITICAL)

MAX_CALL_NUMBER = 2**31 - 1
"""Largest sequence number of a call; the protocol has 32 bits for it."""

_PROTOCOLS = TCompactProtocolAcceleratedFactory()
_log = structlog.get_logger(__name__)


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
    idle_timeout_s : float
        Time for which a connection may neither bring nor take any bytes.
    """

    def __init__(self, *, host, port, idle_timeout_s=SERVER_IDLE_TIMEOUT_S):
        """Bind the listener; nothing is accepted before ``start``."""
        self._idle_timeout_s = idle_timeout_s
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
        """Accept connections; each is served by its own thread."""
        threading.Thread(
            target=self._accept, name="peer-accept", daemon=True
        ).start()

    def stop(self):
        """Close the listener and every connection."""
        self._stopped = True
        # Without the shutdown the port stays in use while a thread waits in
        # accept, and a restart on the same address in one process would fail.
        _shutdown(self._listener)
        self._listener.close()
        with self._lock:
            for sock in self._open:
                _shutdown(sock)

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
        raw_transport = TSocket()
        raw_transport.setHandle(sock)
        raw_transport.setTimeout(self._idle_timeout_s * 1000.0)
        transport = TFramedTransport(raw_transport)
        protocol = _PROTOCOLS.getProtocol(transport)
        try:
            while not self._stopped:
                self._processor.process(protocol, protocol)
        except (TException, OSError, EOFError):
            # The client closed the connection, sent an invalid call or no
            # call for long.  The client opens a new connection.
            pass
        finally:
            with self._lock:
                self._open.discard(sock)
            sock.close()


class _CallProtocol(TMultiplexedProtocol):
    """Protocol of one call, which skips the answers to other calls.

    Parameters
    ----------
    protocol : TProtocolBase
        The protocol of the connection.
    service : str
        Name of the service.
    number : int
        Sequence number of the call.
    """

    def __init__(self, protocol, service, number):
        super().__init__(protocol, service)
        self._number = number

    def readMessageBegin(self):  # noqa: N802
        """Return name, type and number of the answer to this call."""
        while True:
            name, kind, number = super().readMessageBegin()
            if number == self._number:
                return name, kind, number
            _log.info(
                "extra-answer", call=name, number=number, waiting=self._number
            )
            self.skip(TType.STRUCT)
            self.readMessageEnd()


class PeerPool:
    """Connection pool for short calls to other instances.

    A call is attempted once.  A timeout closes all idle connections to the
    address: when one connection of a path is dead, the others most likely are
    too, and each of them would cost another timeout.
    """

    def __init__(self):
        """Start with no connections."""
        self._idle = defaultdict(deque)
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)

    def call(self, address, service, client_class, rpc, *, timeout_s):
        """Call ``rpc`` with a client for the address and return its result.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the other instance's peer listener.
        service : str
            Name under which the processor is registered.
        client_class : type
            Generated client class.
        rpc : callable
            Function of the client that makes exactly one call.
        timeout_s : float
            Longest wait for the connection, and again for the answer.

        Raises
        ------
        PeerError
            If no answer was received.  Errors declared in the service
            definition are raised unchanged.
        """
        conn = self._take(address) or self._connect(address, timeout_s)
        conn.socket.setTimeout(timeout_s * 1000.0)
        protocol = _PROTOCOLS.getProtocol(conn.transport)
        number = next(self._numbers) % MAX_CALL_NUMBER
        client = client_class(_CallProtocol(protocol, service, number))
        # The generated clients have no other way to set it.
        client._seqid = number
        try:
            answer = rpc(client)
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
        oldest_s = time.monotonic() - MAX_IDLE_AGE_S
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
        raw_transport = TSocket(host, int(port))
        raw_transport.setTimeout(timeout_s * 1000.0)
        try:
            raw_transport.open()
        except (TTransportException, OSError) as exc:
            raise PeerError(f"{address}: {exc}", sent=False) from exc
        raw_transport.handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        return _Connection(
            transport=TFramedTransport(raw_transport), socket=raw_transport
        )

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


def _shutdown(sock):
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
