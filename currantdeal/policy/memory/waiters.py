"""Choose which waiting request an upstream grants next.

Load pattern: contention for a full engine, with a noisy neighbour and
starvation of large requests.  If released memory went to whichever request
comes next, a hot caller that requests from many entries would get most of it,
and a long request would never find enough at once, because short ones take
each piece as it is released.

So a refused request keeps a place here as long as it retries, and released
memory is kept for the request that is next.  The next one belongs to the
caller with the least recent usage of this upstream; among the requests of a
caller it is the one that has waited longest.  A long request is thus overtaken
by requests of other callers, but not by those of its own caller, and only
until the others have used as much.  Usage decays with a half-life of ten
seconds, about the time for which a stream holds memory.

A request that does not retry loses its place after 0.15 s, which is several
round trips between regions.  With a longer time, memory would be kept for
requests that were placed on other engines.
"""

from dataclasses import dataclass

from currantdeal.core import CallerId, RequestId

WAITER_TTL_S = 0.15
USAGE_HALF_LIFE_S = 10.0
NEGLIGIBLE_USAGE = 1e-3
MAX_CALLERS = 1_024


@dataclass(frozen=True, kw_only=True)
class Waiter:
    """A request that was refused.

    Parameters
    ----------
    first_request_s, last_request_s : float
        Monotonic times of its first and its last reservation request.
    """

    request_id: RequestId
    caller: CallerId
    first_request_s: float
    last_request_s: float


class WaitQueue:
    """Requests that wait for one upstream, and the usage of their callers.

    Examples
    --------
    >>> from currantdeal.policy import WaitQueue
    >>> queue = WaitQueue()
    >>> queue.charge("hot", 5.0, now_s=0.0)
    >>> queue.enqueue("h1", "hot", now_s=0.0)
    >>> queue.enqueue("p1", "polite", now_s=0.05)
    >>> queue.is_next("h1", "hot", now_s=0.1)
    False
    >>> queue.is_next("p1", "polite", now_s=0.1)
    True
    """

    def __init__(self):
        """Start without waiters and usage."""
        self._waiting = {}
        self._usage = {}

    def enqueue(self, request_id, caller, *, now_s):
        """Add a refused request, or renew its place."""
        existing = self._waiting.get(request_id)
        self._waiting[request_id] = Waiter(
            request_id=request_id,
            caller=caller,
            first_request_s=existing.first_request_s if existing else now_s,
            last_request_s=now_s,
        )

    def remove(self, request_id):
        """Remove a request."""
        self._waiting.pop(request_id, None)

    def is_next(self, request_id, caller, *, now_s):
        """Return whether no waiting request comes before this one."""
        self._remove_expired(now_s)
        existing = self._waiting.get(request_id)
        own_rank = (
            self._usage_of(caller, now_s),
            existing.first_request_s if existing else now_s,
        )
        return all(
            own_rank
            <= (self._usage_of(other.caller, now_s), other.first_request_s)
            for other in self._waiting.values()
        )

    def charge(self, caller, cost_s, *, now_s):
        """Add granted engine time to the usage of a caller."""
        if len(self._usage) >= MAX_CALLERS:
            self._remove_idle_callers(now_s)
        self._usage[caller] = (self._usage_of(caller, now_s) + cost_s, now_s)

    def _usage_of(self, caller, now_s):
        usage, since_s = self._usage.get(caller, (0.0, now_s))
        return usage * 0.5 ** ((now_s - since_s) / USAGE_HALF_LIFE_S)

    def _remove_expired(self, now_s):
        cutoff_s = now_s - WAITER_TTL_S
        expired = [
            name
            for name, waiter in self._waiting.items()
            if waiter.last_request_s < cutoff_s
        ]
        for name in expired:
            del self._waiting[name]

    def _remove_idle_callers(self, now_s):
        self._usage = {
            caller: (self._usage_of(caller, now_s), now_s)
            for caller in self._usage
            if self._usage_of(caller, now_s) > NEGLIGIBLE_USAGE
        }
