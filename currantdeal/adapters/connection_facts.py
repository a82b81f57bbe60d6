"""Reads what the kernel knows of a TCP connection."""

import socket
import struct

from currantdeal.policy.health.peer_liveness import ConnectionFacts

_INFO_BYTES = 232
"""Size of the part of ``struct tcp_info`` that is read."""

_HEAD = struct.Struct("=8B13I")
_TAIL = struct.Struct("=QQIIIIII")
_TAIL_AT = 120
_WINDOW = struct.Struct("=I")
_WINDOW_AT = 228

_ESTABLISHED = 1
_CLOSE = 7
_CLOSE_WAIT = 8
_MS = 1e-3


def read_facts(sock):
    """Return the ``ConnectionFacts`` of a socket, or None.

    None means that the system does not report them, as older kernels and
    systems that imitate Linux, or that bytes went both ways just now: the
    kernel's times are zero then too, so that one None proves nothing.
    """
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
    except OSError:
        return None
    if len(raw) < _INFO_BYTES:
        return None
    head = _HEAD.unpack_from(raw)
    state, _, retransmissions, probes = head[:4]
    unacknowledged = head[12]
    sent_ms, _, received_ms, acknowledged_ms = head[17:21]
    if not (sent_ms or received_ms or acknowledged_ms):
        return None
    acked_bytes, _, _, segments, unsent, _, data_segments, _ = (
        _TAIL.unpack_from(raw, _TAIL_AT)
    )
    (window,) = _WINDOW.unpack_from(raw, _WINDOW_AT)
    return ConnectionFacts(
        unacknowledged=unacknowledged,
        unsent_bytes=unsent,
        window_bytes=window,
        acknowledged_s=acknowledged_ms * _MS,
        acknowledgements=acked_bytes + segments - data_segments,
        retransmissions=retransmissions,
        probes=probes,
        has_ended=state not in (_ESTABLISHED, _CLOSE_WAIT),
        is_reset=state == _CLOSE,
    )
