"""Why the connection of a caller ended, as log lines and metrics name it."""

import errno
from enum import Enum
from functools import singledispatch


class ConnectionEnd(str, Enum):
    """Why a connection ended; the value is a label of metrics.

    Attributes
    ----------
    CLOSED, RESET
        The caller ended it, in order or not.
    KERNEL
        The operating system ended it.
    GONE
        The caller acknowledged nothing any more.
    SLOW
        What the caller had not taken was the largest of too many answers.
    IDLE
        The caller took nothing for the idle timeout.
    CUT
        The answer was broken off here; its request tells why.
    STOPPED
        This process ended.
    LOCAL
        This process closed it for another reason.
    """

    CLOSED = "closed"
    RESET = "reset"
    KERNEL = "kernel"
    GONE = "gone"
    SLOW = "slow"
    IDLE = "idle"
    CUT = "cut"
    STOPPED = "stopped"
    LOCAL = "local"

    @property
    def description(self):
        """Text for log lines.

        Examples
        --------
        >>> ConnectionEnd.RESET.description
        'the caller reset its connection'
        """
        return _DESCRIPTIONS[self]


_DESCRIPTIONS = {
    ConnectionEnd.CLOSED: "the caller closed its connection",
    ConnectionEnd.RESET: "the caller reset its connection",
    ConnectionEnd.KERNEL: "the kernel gave up the connection",
    ConnectionEnd.GONE: "the caller acknowledged nothing any more",
    ConnectionEnd.SLOW: "untaken answers take too much memory",
    ConnectionEnd.IDLE: "the caller took nothing for the idle timeout",
    ConnectionEnd.CUT: "the answer was broken off",
    ConnectionEnd.STOPPED: "this instance stops",
    ConnectionEnd.LOCAL: "this instance closed the connection",
}

_RESET_ERRORS = (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED)


@singledispatch
def end_of(error):
    """Return the ``ConnectionEnd`` for an argument of ``connection_lost``.

    Examples
    --------
    >>> end_of(ConnectionResetError(104, "reset")).value
    'reset'
    >>> end_of(TimeoutError(110, "timed out")).value
    'kernel'
    >>> end_of(None).value
    'local'
    """
    return ConnectionEnd.LOCAL


@end_of.register
def _(error: OSError):
    # Without a number it was raised by the event loop for a reset.
    if error.errno in (None, *_RESET_ERRORS):
        return ConnectionEnd.RESET
    return ConnectionEnd.KERNEL
