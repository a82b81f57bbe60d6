"""Messages of the SWIM protocol between instances."""

from dataclasses import dataclass

from currantdeal.core import InstanceId
from currantdeal.ports import Member


@dataclass(frozen=True, kw_only=True)
class Ping:
    """Request an acknowledgement from an instance.

    Parameters
    ----------
    target : InstanceId
        Instance that the ping is for.  An instance that reuses the address
        of a dead one must not acknowledge its pings.
    rumors : tuple of Member
        Piggybacked membership updates.
    """

    seq: int
    sender: Member
    target: InstanceId
    rumors: tuple[Member, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Ack:
    """Acknowledgement of a ping by ``subject``, possibly forwarded."""

    seq: int
    sender: Member
    subject: InstanceId
    rumors: tuple[Member, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PingRequest:
    """Request for an indirect ping of a third instance.

    The receiver pings ``target`` and forwards its acknowledgement.
    """

    seq: int
    sender: Member
    target: InstanceId
    rumors: tuple[Member, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Exchange:
    """One part of the sender's member table.

    Parameters
    ----------
    reply_wanted : bool
        True if the receiver should reply with its member table.
    """

    sender: Member
    rumors: tuple[Member, ...] = ()
    reply_wanted: bool = False


Message = Ping | Ack | PingRequest | Exchange


@dataclass(frozen=True, kw_only=True)
class Send:
    """Outgoing message.

    Parameters
    ----------
    instance : InstanceId
        Receiver; empty for a seed whose name is unknown.
    address : str
        Peer address that the receiver advertised, or the seed's address.
    """

    instance: InstanceId
    address: str
    message: Message
