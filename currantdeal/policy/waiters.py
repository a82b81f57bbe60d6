"""Who is next when an upstream has room again.

The load pattern is a full engine that many requests ask for.  Whoever asks in
the right moment gets what was freed: a hot caller that asks from many entries
gets most of it, and a long request never finds enough at once, because short
ones take every piece that comes free.

So a refused request waits here as long as it asks again, and what comes free
is kept for the one whose turn it is.  The turn goes to the caller that used
least of this upstream lately, and within a caller to whoever waits longest;
a long request is thus passed by others, but not by its own caller's, and only
until they have used as much.  Use is halved every ten seconds, about the
time for which a stream holds memory.

A request that asks no more loses its place after 0.15 s, which is several
round trips between regions: longer, and room would be kept for requests that
went elsewhere.
"""

from dataclasses import dataclass

from currantdeal.core import CallerId, RequestId

KEPT_S = 0.15
USE_DECAY_S = 10.0
FORGET_USE = 1e-3
MAX_CALLERS = 1_024


@dataclass(frozen=True, kw_only=True)
class Waiter:
    """A request that was refused.

    Parameters
    ----------
    first_s, last_s : float
        Monotonic times at which it first and last asked.
    """

    request_id: RequestId
    caller: CallerId
    first_s: float
    last_s: float


class Waiters:
    """Requests that wait for one upstream, and what callers used of it.

    Examples
    --------
    >>> from currantdeal.policy import Waiters
    >>> waiters = Waiters()
    >>> waiters.used("hot", 5.0, now_s=0.0)
    >>> waiters.wait("h1", "hot", now_s=0.0)
    >>> waiters.wait("p1", "polite", now_s=0.05)
    >>> waiters.is_next("h1", "hot", now_s=0.1)
    False
    >>> waiters.is_next("p1", "polite", now_s=0.1)
    True
    """

    def __init__(self):
        """Start with nobody waiting."""
        self._waiting = {}
        self._use = {}

    def wait(self, request_id, caller, *, now_s):
        """Take or keep a place."""
        known = self._waiting.get(request_id)
        self._waiting[request_id] = Waiter(
            request_id=request_id,
            caller=caller,
            first_s=known.first_s if known else now_s,
            last_s=now_s,
        )

    def leave(self, request_id):
        """Give a place up."""
        self._waiting.pop(request_id, None)

    def is_next(self, request_id, caller, *, now_s):
        """Return whether nobody who waits comes before a request."""
        self._forget_silent(now_s)
        known = self._waiting.get(request_id)
        mine = (self._use_of(caller, now_s), known.first_s if known else now_s)
        return all(
            mine <= (self._use_of(other.caller, now_s), other.first_s)
            for other in self._waiting.values()
        )

    def used(self, caller, cost_s, *, now_s):
        """Take in that a caller was granted some engine time."""
        if len(self._use) >= MAX_CALLERS:
            self._forget_unused(now_s)
        self._use[caller] = (self._use_of(caller, now_s) + cost_s, now_s)

    def _use_of(self, caller, now_s):
        use, since_s = self._use.get(caller, (0.0, now_s))
        return use * 0.5 ** ((now_s - since_s) / USE_DECAY_S)

    def _forget_silent(self, now_s):
        oldest_s = now_s - KEPT_S
        silent = [
            name
            for name, waiter in self._waiting.items()
            if waiter.last_s < oldest_s
        ]
        for name in silent:
            del self._waiting[name]

    def _forget_unused(self, now_s):
        self._use = {
            caller: (self._use_of(caller, now_s), now_s)
            for caller in self._use
            if self._use_of(caller, now_s) > FORGET_USE
        }
