"""Membership messages as datagrams.

Records are written as arrays without field names.  ``core.Codec`` names every
field, which makes a record two and a half times as large, and the size of
records decides how much news fits into one datagram.
"""

from functools import lru_cache

import msgspec

from currantdeal.membership.errors import WireError
from currantdeal.membership.messages import Ack, Exchange, Ping, PingRequest
from currantdeal.ports import Member, MemberStatus

LOAD_STEPS = 100
"""Load travels in hundredths; a finer one would change with every probe."""

_STATUSES = tuple(MemberStatus)
_STATUS_NUMBERS = {status: number for number, status in enumerate(_STATUSES)}


class _Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    instance: str
    incarnation: int
    status: int
    draining: bool
    load: int
    caller_address: str
    peer_address: str
    region: str
    data_center: str


class _Datagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    kind: int
    seq: int
    about: str
    flag: bool
    sender: _Record
    rumors: tuple[msgspec.Raw, ...]


_KINDS = (Ping, Ack, PingRequest, Exchange)
_ENCODER = msgspec.msgpack.Encoder()
_DATAGRAM = msgspec.msgpack.Decoder(_Datagram)
_RECORD = msgspec.msgpack.Decoder(_Record)


@lru_cache(maxsize=4096)
def encode_member(member):
    """Return the bytes of one record."""
    return _ENCODER.encode(_record_of(member))


def encode_message(message):
    """Return the bytes of a message."""
    about = getattr(message, "target", "") or getattr(message, "subject", "")
    return _ENCODER.encode(
        _Datagram(
            kind=_KINDS.index(type(message)),
            seq=getattr(message, "seq", 0),
            about=about,
            flag=getattr(message, "reply_wanted", False),
            sender=_record_of(message.sender),
            rumors=tuple(
                msgspec.Raw(encode_member(rumor)) for rumor in message.rumors
            ),
        )
    )


def decode_message(raw):
    """Return the message that a datagram holds.

    Raises
    ------
    WireError
        If it holds none.
    """
    try:
        datagram = _DATAGRAM.decode(raw)
        return _message_of(datagram)
    except (msgspec.MsgspecError, IndexError) as exc:
        raise WireError(f"not a membership message: {exc}") from exc


def _message_of(datagram):
    sender = _member_of(datagram.sender)
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
    return _member_of(_RECORD.decode(raw))


def _record_of(member):
    return _Record(
        instance=member.instance,
        incarnation=member.incarnation,
        status=_STATUS_NUMBERS[member.status],
        draining=member.draining,
        load=round(member.load * LOAD_STEPS),
        caller_address=member.caller_address,
        peer_address=member.peer_address,
        region=member.region,
        data_center=member.data_center,
    )


def _member_of(record):
    return Member(
        instance=record.instance,
        incarnation=record.incarnation,
        status=_STATUSES[record.status],
        draining=record.draining,
        load=record.load / LOAD_STEPS,
        caller_address=record.caller_address,
        peer_address=record.peer_address,
        region=record.region,
        data_center=record.data_center,
    )
