"""How long an idle connection to an upstream may be reused."""

IDLE_REUSE_S = 4.0
"""Maximum idle time after which any request may be sent on a connection.

An upstream may close an idle connection while a request is in transit, and
whether that request ran is then unknown.  Most upstreams keep idle connections
for five seconds or more.  If an upstream states its own keep-alive timeout and
half of it is shorter, that half applies.
"""

IDLE_MARGIN_S = 1.5
"""Margin before the stated keep-alive timeout, for retryable requests.

Upstreams state whole seconds.  A reservation or a prompt that is lost is sent
again on a new connection.
"""

MAX_KEEP_ALIVE_S = 86_400
"""Upper limit for the keep-alive timeout that an upstream states."""

_KEEP_ALIVE_DIGITS = len(str(MAX_KEEP_ALIVE_S)) + 1


def keep_alive_timeout_s(value):
    """Return the timeout stated by a Keep-Alive header, or None.

    Parameters
    ----------
    value : bytes
        The header's value.

    Examples
    --------
    >>> keep_alive_timeout_s(b"max=100, timeout=5")
    5
    """
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return min(MAX_KEEP_ALIVE_S, int(number[:_KEEP_ALIVE_DIGITS]))
    return None


def reuse_limit_s(keep_alive_s, *, retryable):
    """Return how long a connection may have been idle for a request.

    Parameters
    ----------
    keep_alive_s : int or None
        Timeout that the upstream stated.
    retryable : bool
        Whether the request may be lost and sent again.

    Examples
    --------
    >>> reuse_limit_s(5, retryable=False), reuse_limit_s(5, retryable=True)
    (2.5, 3.5)
    """
    if keep_alive_s is None:
        return IDLE_REUSE_S
    conservative_s = min(IDLE_REUSE_S, keep_alive_s / 2)
    if retryable:
        return max(conservative_s, keep_alive_s - IDLE_MARGIN_S)
    return conservative_s
