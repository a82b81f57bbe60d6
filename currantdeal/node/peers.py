"""Connections between instances, which carry Thrift frames over TCP.

A frame is a notice, a call or the answer to a call.  A dead connection is
detected by a call that times out or by unacknowledged bytes; either closes
it, and the next message opens a new one.
"""

import asyncio
import struct

import structlog
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from currantdeal.adapters.generated.peers.ttypes import Frame, FrameKind
from currantdeal.core.errors import CodecError
from currantdeal.node.buffered_answers import BufferedAnswers
from currantdeal.node.errors import PeerUnreachableError, UnreadableFrameError
from currantdeal.node.messages import PEER_CODEC
from currantdeal.node.settings import split_address
from currantdeal.node.sockets import prepare_socket

HEARTBEAT_S = 0.5
"""Interval of heartbeats between control instances and entries.

Two missed heartbeats are detected within half of the 2.5 s in which all
instances must be notified that an upstream left.
"""

MAX_FRAME_BYTES = 16_777_216
"""Maximum frame size: four times the largest accepted configuration."""

MAX_RECEIVED_BYTES = 2 * MAX_FRAME_BYTES
"""Bytes of incomplete frames, over all connections that were accepted."""

MAX_SINGLE_FRAME_BYTES = 4_096
"""Maximum size of a frame on a connection that carries just one."""

CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection: 40 times the delay between regions."""

MAX_BACKLOG_BYTES = 8_388_608
"""Unsent bytes for a slow peer beyond which its connection is aborted."""

_UNREADABLE = (
    CodecError,
    TException,
    EOFError,
    OverflowError,
    TypeError,
    ValueError,
)
"""Errors of bytes that are not a frame, or whose body is no message."""

_log = structlog.get_logger(__name__)
_LENGTH = struct.Struct("!I")
_PROTOCOL = TBinaryProtocolAcceleratedFactory()


def pack_frame(kind, number, message):
    """Return the bytes of a frame, preceded by its length."""
    frame = Frame(kind=kind, number=number, body=PEER_CODEC.encode(message))
    raw = serialize(frame, _PROTOCOL)
    return _LENGTH.pack(len(raw)) + raw


class FrameReader:
    """Reads the only frame that a connection carries in one direction."""

    def __init__(self):
        """Start without bytes."""
        self._buffer = bytearray()

    def receive(self, data):
        """Return the message of the frame once it is complete, else None.

        Raises
        ------
        UnreadableFrameError
            If the bytes are not a frame with a known message, or more.
        """
        self._buffer += data
        if len(self._buffer) < _LENGTH.size:
            return None
        (length,) = _LENGTH.unpack_from(self._buffer)
        end = _LENGTH.size + length
        if length > MAX_SINGLE_FRAME_BYTES or len(self._buffer) > end:
            raise UnreadableFrameError("more than one frame, or a large one")
        if len(self._buffer) < end:
            return None
        return _unpack(bytes(self._buffer[_LENGTH.size :]))[1]


class PeerConnection(asyncio.Protocol):
    """A connection to another instance, accepted or opened.

    Parameters
    ----------
    on_notice : callable
        Called with this connection and a notice.
    on_call : callable
        Coroutine function of this connection and a call; returns the answer
        to the call.
    on_lost : callable
        Called with this connection when it ends.
    received : BufferedAnswers or None
        Bounds the incomplete frames of several connections.
    """

    def __init__(self, *, on_notice, on_call, on_lost, received=None):
        """Store the callbacks; the event loop connects afterwards."""
        self._on_notice = on_notice
        self._on_call = on_call
        self._on_lost = on_lost
        self._received = received or peer_memory()
        self._transport = None
        self._peer = None
        self._buffer = bytearray()
        self._pending_calls = {}
        self._last_call_number = 0
        self._tasks = set()

    @property
    def is_open(self):
        """True while the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport):
        """Store the transport and set the options of its socket."""
        self._transport = transport
        self._peer = prepare_socket(transport)

    def connection_lost(self, exc):
        """Fail the pending calls."""
        self._received.record(self, 0)
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(PeerUnreachableError("connection lost"))
        self._pending_calls.clear()
        self._on_lost(self)

    def data_received(self, data):
        """Extract and handle the complete frames in the buffer."""
        self._buffer += data
        self._handle_frames()
        self._received.record(self, len(self._buffer))

    def give_up(self):
        """Close the connection, whose frame is the largest of too many."""
        self._buffer.clear()
        self.close()

    def _handle_frames(self):
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                self._peer.abort()
                return
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            raw = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            if not self._handle_frame(raw):
                self._peer.abort()
                return

    def notify(self, message):
        """Send a message without waiting for a response."""
        self._write(pack_frame(FrameKind.NOTICE, 0, message))

    def send_packed(self, raw):
        """Send a frame that was encoded once for many receivers."""
        self._write(raw)

    async def call(self, message, *, timeout_s):
        """Send a call and return its answer.

        Raises
        ------
        PeerUnreachableError
            If no answer is received in time; the connection is then closed.
        """
        self._last_call_number += 1
        number = self._last_call_number
        future = asyncio.get_running_loop().create_future()
        self._pending_calls[number] = future
        self._write(pack_frame(FrameKind.CALL, number, message))
        try:
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            self.close()
            raise PeerUnreachableError("no answer in time") from None
        finally:
            self._pending_calls.pop(number, None)

    def close(self):
        """Close the connection at once, without sending buffered bytes."""
        if self._transport is not None:
            self._peer.abort()

    def _write(self, raw):
        if not self.is_open:
            return
        if self._transport.get_write_buffer_size() > MAX_BACKLOG_BYTES:
            # Buffering for a peer that has stopped reading would use more
            # and more memory until this process is killed.
            self._peer.abort()
            return
        self._transport.write(raw)
        self._peer.record_write()

    def _handle_frame(self, raw):
        try:
            frame, message = _unpack(raw)
        except UnreadableFrameError:
            return False
        if frame.kind == FrameKind.NOTICE:
            return self._receive_notice(message)
        if frame.kind == FrameKind.CALL:
            task = asyncio.ensure_future(self._answer(frame.number, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._handle_answer(frame.number, message)
        return True

    def _receive_notice(self, message):
        """Handle a notice; returns False if that fails."""
        try:
            self._on_notice(self, message)
        except Exception as exc:
            _report_failure(message, exc)
            return False
        return True

    def _handle_answer(self, number, message):
        """Pass on the answer to a pending call; drop any other one."""
        future = self._pending_calls.get(number)
        if future is not None and not future.done():
            future.set_result(message)
            return
        _log.info(
            "extra-answer", number=number, message=type(message).__name__
        )

    async def _answer(self, number, message):
        try:
            answer = await self._on_call(self, message)
            frame = pack_frame(FrameKind.ANSWER, number, answer)
        except Exception as exc:
            # No frame reports a failure; the caller learns it from the end.
            _report_failure(message, exc)
            self.close()
            return
        self._write(frame)


def peer_memory():
    """Return what bounds the incomplete frames of several connections."""
    return BufferedAnswers(limit_bytes=MAX_RECEIVED_BYTES)


class PeerLink:
    """Connection to one address that is reopened after it is lost."""

    def __init__(self, *, address, on_notice=None):
        """Store the address; the first message opens the connection."""
        self.address = address
        self._on_notice = on_notice or (lambda connection, message: None)
        self._connection = None
        self._opening = None

    def notify(self, message):
        """Send a notice, or drop it while there is no connection."""
        if self.connection is not None:
            self.connection.notify(message)
            return
        if self._opening is None:
            self._opening = asyncio.ensure_future(
                self._open_and_notify(message)
            )

    @property
    def connection(self):
        """The open connection, or None."""
        found = self._connection
        return found if found is not None and found.is_open else None

    async def call(self, message, *, timeout_s):
        """Send a call and return its answer.

        Raises
        ------
        PeerUnreachableError
            If no answer is received in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._open()
                return await connection.call(message, timeout_s=timeout_s)
        except TimeoutError:
            raise PeerUnreachableError(
                f"{self.address} does not answer"
            ) from None

    def close(self):
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    async def _open_and_notify(self, message):
        try:
            connection = await self._open()
        except PeerUnreachableError:
            return
        finally:
            self._opening = None
        connection.notify(message)

    async def _open(self):
        if self._connection is not None and self._connection.is_open:
            return self._connection
        self._connection = await connect_peer(
            self.address, on_notice=self._on_notice
        )
        return self._connection


async def connect_peer(address, *, on_notice, on_lost=lambda lost: None):
    """Open a connection to an instance.

    Raises
    ------
    PeerUnreachableError
        If the instance does not accept the connection in time.
    """
    loop = asyncio.get_running_loop()
    host, port = split_address(address)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: PeerConnection(
                    on_notice=on_notice, on_call=_reject_call, on_lost=on_lost
                ),
                host,
                port,
            )
    except TimeoutError:
        raise PeerUnreachableError(
            f"{address} does not accept connections"
        ) from None
    except OSError as exc:
        raise PeerUnreachableError(f"{address}: {exc}") from exc
    return connection


def _report_failure(message, exc):
    _log.exception(
        "message-failed", message=type(message).__name__, why=repr(exc)
    )


def _unpack(raw):
    """Return a frame and its message."""
    try:
        frame = deserialize(Frame(), raw, _PROTOCOL)
        return frame, PEER_CODEC.decode(frame.body)
    except _UNREADABLE as exc:
        raise UnreadableFrameError(repr(exc)) from exc


async def _reject_call(connection, message):
    raise PeerUnreachableError(
        f"this connection accepts no calls: {message!r}"
    )
