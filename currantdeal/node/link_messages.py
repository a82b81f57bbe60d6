"""Messages by which an entry opens a connection through another one."""

from dataclasses import dataclass
from enum import Enum


class LinkOutcome(str, Enum):
    """What became of a call for a link.

    ``CUT`` means that the link of the asked entry is cut as well, ``UNKNOWN``
    that it knows no upstream at the address.
    """

    CONNECTED = "connected"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    CUT = "cut"
    BUSY = "busy"
    STOPPING = "stopping"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class LinkCall:
    """Asks an entry to connect to an upstream and to forward all bytes.

    Parameters
    ----------
    address : str
        Host and port of the upstream.
    timeout_s : float
        Time in which the connection must be open.
    """

    address: str
    timeout_s: float


@dataclass(frozen=True, kw_only=True)
class LinkAnswer:
    """Answer to a ``LinkCall``.

    Parameters
    ----------
    outcome : LinkOutcome
        What became of it.  After ``CONNECTED``, all further bytes are those
        of the upstream and of the asking entry.
    is_sound : bool
        Whether the asked entry has lost none of its links, so that its
        failure to connect is evidence about the upstream.
    """

    outcome: LinkOutcome
    is_sound: bool
