"""Order queued work: fair between callers, by size and age within a caller.

Load pattern: noisy neighbour and head-of-line blocking.  With first come,
first served, a hot caller that sends many times its share fills the queue
before all others, and one long prompt delays a dozen short ones.

Between callers the queue applies start-time fair queueing [1]_: the next work
of each caller has a virtual start time, which is the later of the queue's
virtual time and the caller's virtual finish time, and the smallest one is
served first.  A caller's virtual finish time advances by cost over weight.
The cost is the engine time of prompt and expected output, so that a caller
with long prompts gets fewer of them served.

Within a caller, work is ordered by arrival time plus a delay that grows with
its cost and shrinks with its priority.  The delay is fixed on arrival, which
prevents starvation: work that arrives later by more than the maximum delay is
always served after it.  With half a second of delay for each second of engine
time, short requests overtake the long ones they are queued with, while a long
request is overtaken only by work that arrives within a time similar to its
own.

References
----------

.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996.
"""

import heapq
from dataclasses import dataclass
from itertools import count

from currantdeal.core import Work

DELAY_S_PER_COST_S = 0.5
MAX_DELAY_S = 2.0
ADVANCE_S_PER_PRIORITY = 1.0
MIN_COST_S = 1e-3


@dataclass(frozen=True, kw_only=True)
class Queued:
    """Work in the queue.

    Parameters
    ----------
    cost_s : float
        Expected engine time, in seconds.
    """

    work: Work
    cost_s: float


class FairQueue:
    """Queued work of one instance.

    Parameters
    ----------
    weights : mapping of CallerId to float
        Weights of callers; 1 for callers that are not listed.

    Examples
    --------
    >>> from currantdeal.core import Work, WorkKind
    >>> from currantdeal.policy import FairQueue
    >>> queue = FairQueue()
    >>> def work(name, caller):
    ...     return Work(request_id=name, caller=caller, target="m",
    ...                 kind=WorkKind.CHAT, region="r")
    >>> for name in ("h1", "h2", "h3"):
    ...     queue.push(work(name, "hot"), cost_s=1.0)
    >>> queue.push(work("p1", "polite"), cost_s=1.0)
    >>> [queue.pop().work.request_id for _ in range(4)]
    ['h1', 'p1', 'h2', 'h3']
    """

    def __init__(self, *, weights=None):
        """Create an empty queue."""
        self._weights = dict(weights or {})
        self._callers = {}
        self._heads = []
        self._order = count()
        self._virtual = 0.0
        self._finish = {}
        self._cost_s = 0.0
        self._size = 0

    def __len__(self):
        """Return the number of queued work items."""
        return self._size

    @property
    def cost_s(self):
        """Engine time of all queued work, in seconds."""
        return max(0.0, self._cost_s)

    def cost_ahead_s(self, caller):
        """Return the engine time that is served before a caller's new work.

        Of other callers' work, only the part counts that fair queueing
        serves in the same time.
        """
        own_s = self._queued_cost_s(caller)
        weight = self._weight(caller)
        ahead_s = own_s
        for other, queue in self._callers.items():
            if other != caller:
                fair_s = (own_s + MIN_COST_S) * self._weight(other) / weight
                ahead_s += min(queue.cost_s, fair_s)
        return ahead_s

    def push(self, work, *, cost_s):
        """Add work to the queue."""
        cost_s = max(cost_s, MIN_COST_S)
        queue = self._callers.get(work.caller)
        if queue is None:
            queue = self._callers[work.caller] = _CallerQueue()
            self._enter(work.caller)
        delay_s = min(MAX_DELAY_S, DELAY_S_PER_COST_S * cost_s)
        sort_key_s = (
            work.arrived_s + delay_s - ADVANCE_S_PER_PRIORITY * work.priority
        )
        queued = Queued(work=work, cost_s=cost_s)
        heapq.heappush(queue.items, (sort_key_s, next(self._order), queued))
        queue.cost_s += cost_s
        self._cost_s += cost_s
        self._size += 1

    def pop(self, *, skip=()):
        """Remove and return the next ``Queued``, or None if there is none.

        Parameters
        ----------
        skip : collection of CallerId
            Callers whose work is not returned now.
        """
        skipped = []
        result = None
        while self._heads and result is None:
            head = heapq.heappop(self._heads)
            start, _, caller = head
            queue = self._callers.get(caller)
            if queue is None or not queue.items:
                self._callers.pop(caller, None)
            elif caller in skip:
                skipped.append(head)
            else:
                result = self._take(caller, queue, start)
        for head in skipped:
            heapq.heappush(self._heads, head)
        if not self._heads:
            self._remove_idle_callers()
        return result

    def remove_expired(self, now_s):
        """Remove and return the work whose deadline has passed."""
        return self.remove_if(lambda queued: queued.work.deadline_s <= now_s)

    def remove_if(self, condition):
        """Remove and return the queued work that meets a condition."""
        removed = []
        for queue in self._callers.values():
            matching = [item for item in queue.items if condition(item[2])]
            if matching:
                kept = [it for it in queue.items if not condition(it[2])]
                heapq.heapify(kept)
                queue.items = kept
                removed.extend(item[2] for item in matching)
                queue.cost_s -= sum(item[2].cost_s for item in matching)
        self._size -= len(removed)
        self._cost_s -= sum(queued.cost_s for queued in removed)
        return tuple(removed)

    def _take(self, caller, queue, start):
        _, _, queued = heapq.heappop(queue.items)
        queue.cost_s -= queued.cost_s
        self._cost_s -= queued.cost_s
        self._size -= 1
        self._virtual = max(self._virtual, start)
        self._finish[caller] = start + self._virtual_cost(queued)
        if queue.items:
            self._enter(caller)
        else:
            del self._callers[caller]
        return queued

    def _enter(self, caller):
        start = max(self._virtual, self._finish.get(caller, 0.0))
        heapq.heappush(self._heads, (start, next(self._order), caller))

    def _virtual_cost(self, queued):
        return queued.cost_s / self._weight(queued.work.caller)

    def _weight(self, caller):
        return self._weights.get(caller, 1.0)

    def _queued_cost_s(self, caller):
        queue = self._callers.get(caller)
        return queue.cost_s if queue is not None else 0.0

    def _remove_idle_callers(self):
        # A virtual finish time in the past has no effect on the next start,
        # so it is removed to bound memory.
        self._finish = {
            caller: finish
            for caller, finish in self._finish.items()
            if finish > self._virtual
        }


class _CallerQueue:
    __slots__ = ("cost_s", "items")

    def __init__(self):
        self.items = []
        self.cost_s = 0.0
