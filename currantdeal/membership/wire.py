"""Encoding of membership messages as datagrams.

Records are encoded as arrays without field names.  ``core.Codec`` writes the
name of every field, which makes a record two and a half times as large, and
the size of a record limits the number of updates in a datagram.
"""

from functools import lru_cache
from typing import Annotated

import msgspec

from currantdeal.core import DECODE_ERRORS
from currantdeal.membership.errors import WireError
from currantdeal.membership.messages import Ack, Exchange, Ping, PingRequest
from currantdeal.ports import Member, MemberStatus

LOAD_SCALE = 100
"""Steps per unit of load, which is encoded in hundredths.

A finer resolution would make the record change with every probe.
"""

_STATUSES = tuple(MemberStatus)
_STATUS_CODES = {status: number for number, status in enumerate(_STATUSES)}
_KINDS = (Ping, Ack, PingRequest, Exchange)

_Natural = Annotated[int, msgspec.Meta(ge=0)]
_Status = Annotated[int, msgspec.Meta(ge=0, lt=len(_STATUSES))]
_Kind = Annotated[int, msgspec.Meta(ge=0, lt=len(_KINDS))]
_Load = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
"""Load that a float represents exactly."""


class _Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    instance: str
    incarnation: _Natural
    status: _Status
    draining: bool
    load: _Load
    caller_address: str
    peer_address: str
    region: str
    data_center: str


class _Datagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    kind: _Kind
    seq: _Natural
    about: str
    flag: bool
    sender: _Record
    rumors: tuple[msgspec.Raw, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DATAGRAM_DECODER = msgspec.msgpack.Decoder(_Datagram)
_RECORD_DECODER = msgspec.msgpack.Decoder(_Record)


@lru_cache(maxsize=4096)
def encode_member(member):
    """Return the encoded record of a member."""
    return _ENCODER.encode(_to_record(member))


def encode_message(message):
    """Return the datagram of a message."""
    about = getattr(message, "target", "") or getattr(message, "subject", "")
    return _ENCODER.encode(
        _Datagram(
            kind=_KINDS.index(type(message)),
            seq=getattr(message, "seq", 0),
            about=about,
            flag=getattr(message, "reply_wanted", False),
            sender=_to_record(message.sender),
            rumors=tuple(
                msgspec.Raw(encode_member(rumor)) for rumor in message.rumors
            ),
        )
    )


def decode_message(raw):
    """Return the message in a datagram.

    Raises
    ------
    WireError
        If the datagram is not a membership message.
    """
    try:
        datagram = _DATAGRAM_DECODER.decode(raw)
        return _to_message(datagram)
    except DECODE_ERRORS as exc:
        raise WireError(f"not a membership message: {exc}") from exc


def _to_message(datagram):
    sender = _to_member(datagram.sender)
    rumors = tuple(_decode_member(bytes(raw)) for raw in datagram.rumors)
    kind = _KINDS[datagram.kind]
    if kind is Exchange:
        return Exchange(
            sender=sender, rumors=rumors, reply_wanted=datagram.flag
        )
    if kind is Ack:
        return Ack(
            seq=datagram.seq,
            sender=sender,
            subject=datagram.about,
            rumors=rumors,
        )
    return kind(
        seq=datagram.seq, sender=sender, target=datagram.about, rumors=rumors
    )


@lru_cache(maxsize=4096)
def _decode_member(raw):
    return _to_member(_RECORD_DECODER.decode(raw))


def _to_record(member):
    return _Record(
        instance=member.instance,
        incarnation=member.incarnation,
        status=_STATUS_CODES[member.status],
        draining=member.draining,
        load=round(member.load * LOAD_SCALE),
        caller_address=member.caller_address,
        peer_address=member.peer_address,
        region=member.region,
        data_center=member.data_center,
    )


def _to_member(record):
    return Member(
        instance=record.instance,
        incarnation=record.incarnation,
        status=_STATUSES[record.status],
        draining=record.draining,
        load=record.load / LOAD_SCALE,
        caller_address=record.caller_address,
        peer_address=record.peer_address,
        region=record.region,
        data_center=record.data_center,
    )
