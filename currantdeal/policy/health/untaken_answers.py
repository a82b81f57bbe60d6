"""Decides how long an answer is held for a client that takes nothing of it.

Load pattern: slow readers.  What a stalled client costs depends on whether its
upstream has sent everything: afterwards only a buffer is held.
"""

MAX_BLOCKED_S = 5.0
"""Time without a byte taken for which a client may hold up its upstream."""


class UntakenTimer:
    """Measures for how long a client has taken nothing.

    Parameters
    ----------
    idle_timeout_s : float
        Time for which an answer is held that blocks nothing.

    Examples
    --------
    >>> timer = UntakenTimer(idle_timeout_s=30.0)
    >>> timer.is_over(0.0, taken_bytes=0, is_blocked=False)
    False
    >>> timer.is_over(29.0, taken_bytes=0, is_blocked=False)
    False
    >>> timer.is_over(31.0, taken_bytes=0, is_blocked=False)
    True
    """

    def __init__(self, *, idle_timeout_s):
        """Start before anything was sent."""
        self._idle_timeout_s = idle_timeout_s
        self._taken_bytes = None
        self._since_s = 0.0
        self._blocked_since_s = None

    def restart(self):
        """Count from the next call, as something new is sent."""
        self._taken_bytes = None

    def is_over(self, now_s, *, taken_bytes, is_blocked):
        """Return whether the answer has been held for too long.

        Parameters
        ----------
        taken_bytes : int
            Bytes that the client has had room for, in all.
        is_blocked : bool
            Whether its upstream can't send more, as the buffers are full.
        """
        if self._taken_bytes is None or taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._since_s = now_s
            self._blocked_since_s = None
        if not is_blocked:
            self._blocked_since_s = None
        elif self._blocked_since_s is None:
            self._blocked_since_s = now_s
        if now_s - self._since_s >= self._idle_timeout_s:
            return True
        return is_blocked and now_s - self._blocked_since_s >= MAX_BLOCKED_S
