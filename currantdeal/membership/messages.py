"""Messages that instances exchange to find out who is alive."""

from dataclasses import dataclass

from currantdeal.core import InstanceId
from currantdeal.ports import Member


@dataclass(frozen=True, kw_only=True)
class Ping:
    """Ask an instance for a sign of life.

    Parameters
    ----------
    target : InstanceId
        Whom the sender means.  An instance that took over the address of a
        dead one must not answer in its place.
    rumors : tuple of Member
        News that travels along.
    """

    seq: int
    sender: Member
    target: InstanceId
    rumors: tuple[Member, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Ack:
    """Answer of ``subject`` to a ping, possibly passed on by the sender."""

    seq: int
    sender: Member
    subject: InstanceId
    rumors: tuple[Member, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PingRequest:
    """Ask an instance to ping a third one and to pass the answer on."""

    seq: int
    sender: Member
    target: InstanceId
    rumors: tuple[Member, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Exchange:
    """A part of everything the sender knows.

    Parameters
    ----------
    reply_wanted : bool
        True when the receiver should send what it knows in return.
    """

    sender: Member
    rumors: tuple[Member, ...] = ()
    reply_wanted: bool = False


Message = Ping | Ack | PingRequest | Exchange


@dataclass(frozen=True, kw_only=True)
class Send:
    """A message to be sent.

    Parameters
    ----------
    instance : InstanceId
        Receiver, empty for a seed whose name is not known.
    address : str
        Peer address that the receiver told, or the seed's address.
    """

    instance: InstanceId
    address: str
    message: Message
