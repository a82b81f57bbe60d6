"""Order of waiting work: fair between callers, size-aware within one.

The load pattern is a hot caller that sends many times its share, and long
jobs among short ones.  First come, first served lets the hot caller fill the
queue before everyone, and lets one long prompt delay a dozen short ones.

Between callers this is start-time fair queueing [1]_: each caller's next work
carries a virtual start, which is the later of the queue's virtual time and
the caller's own finish, and the smallest start is served.  A caller's finish
grows by cost over weight, where the cost counts prompt and expected output in
engine time, so a caller that sends long prompts gets fewer of them through.

Within a caller work is ordered by arrival plus a delay that grows with its
cost and shrinks with its priority.  The delay is fixed when the work arrives,
so nothing starves: whatever comes more than the greatest delay later stands
behind it.  Half a second for each second of engine time lets short jobs pass
those that are queued together with them, while a long one is overtaken only
by what arrives within a time like its own.

References
----------

.. [1] P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996.
"""

import heapq
from dataclasses import dataclass
from itertools import count

from currantdeal.core import Work

DELAY_PER_COST = 0.5
MAX_DELAY_S = 2.0
PRIORITY_S = 1.0
MIN_COST_S = 1e-3


@dataclass(frozen=True, kw_only=True)
class Queued:
    """Work that waits.

    Parameters
    ----------
    cost_s : float
        Engine time that it takes, in seconds.
    """

    work: Work
    cost_s: float


class FairQueue:
    """Waiting work of one instance.

    Parameters
    ----------
    weights : mapping of CallerId to float
        Shares of callers; 1 for those not named.

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
        """Start empty."""
        self._weights = dict(weights or {})
        self._callers = {}
        self._heads = []
        self._order = count()
        self._virtual = 0.0
        self._finish = {}
        self._cost_s = 0.0
        self._size = 0

    def __len__(self):
        """Return how many pieces of work wait."""
        return self._size

    @property
    def cost_s(self):
        """Engine time of all that waits, in seconds."""
        return max(0.0, self._cost_s)

    def cost_ahead_s(self, caller):
        """Return the engine time that is served before a caller's new work.

        Others are ahead only with what fits in their share meanwhile.
        """
        mine = self._waiting_cost(caller)
        weight = self._weight(caller)
        ahead_s = mine
        for other, waiting in self._callers.items():
            if other != caller:
                fair_s = (mine + MIN_COST_S) * self._weight(other) / weight
                ahead_s += min(waiting.cost_s, fair_s)
        return ahead_s

    def push(self, work, *, cost_s):
        """Let work wait for its turn."""
        cost_s = max(cost_s, MIN_COST_S)
        waiting = self._callers.get(work.caller)
        if waiting is None:
            waiting = self._callers[work.caller] = _Waiting()
            self._enter(work.caller)
        delay_s = min(MAX_DELAY_S, DELAY_PER_COST * cost_s)
        rank_s = work.arrived_s + delay_s - PRIORITY_S * work.priority
        queued = Queued(work=work, cost_s=cost_s)
        heapq.heappush(waiting.items, (rank_s, next(self._order), queued))
        waiting.cost_s += cost_s
        self._cost_s += cost_s
        self._size += 1

    def pop(self, *, skip=()):
        """Return the next ``Queued``, or None when nothing waits.

        Parameters
        ----------
        skip : collection of CallerId
            Callers whose turn does not count now.
        """
        skipped = []
        found = None
        while self._heads and found is None:
            head = heapq.heappop(self._heads)
            start, _, caller = head
            waiting = self._callers.get(caller)
            if waiting is None or not waiting.items:
                self._callers.pop(caller, None)
            elif caller in skip:
                skipped.append(head)
            else:
                found = self._take(caller, waiting, start)
        for head in skipped:
            heapq.heappush(self._heads, head)
        if not self._heads:
            self._forget_idle()
        return found

    def remove_late(self, now_s):
        """Remove and return the work whose deadline has passed."""
        return self.remove_if(lambda queued: queued.work.deadline_s <= now_s)

    def remove_if(self, condition):
        """Remove and return the waiting ``Queued`` that meet a condition."""
        removed = []
        for waiting in self._callers.values():
            gone = [item for item in waiting.items if condition(item[2])]
            if gone:
                kept = [it for it in waiting.items if not condition(it[2])]
                heapq.heapify(kept)
                waiting.items = kept
                removed.extend(item[2] for item in gone)
                waiting.cost_s -= sum(item[2].cost_s for item in gone)
        self._size -= len(removed)
        self._cost_s -= sum(queued.cost_s for queued in removed)
        return tuple(removed)

    def _take(self, caller, waiting, start):
        _, _, queued = heapq.heappop(waiting.items)
        waiting.cost_s -= queued.cost_s
        self._cost_s -= queued.cost_s
        self._size -= 1
        self._virtual = max(self._virtual, start)
        self._finish[caller] = start + self._share(queued)
        if waiting.items:
            self._enter(caller)
        else:
            del self._callers[caller]
        return queued

    def _enter(self, caller):
        start = max(self._virtual, self._finish.get(caller, 0.0))
        heapq.heappush(self._heads, (start, next(self._order), caller))

    def _share(self, queued):
        return queued.cost_s / self._weight(queued.work.caller)

    def _weight(self, caller):
        return self._weights.get(caller, 1.0)

    def _waiting_cost(self, caller):
        waiting = self._callers.get(caller)
        return waiting.cost_s if waiting is not None else 0.0

    def _forget_idle(self):
        # A caller whose finish lies behind the virtual time has no debt, so
        # forgetting it changes nothing and keeps memory bounded.
        self._finish = {
            caller: finish
            for caller, finish in self._finish.items()
            if finish > self._virtual
        }


class _Waiting:
    __slots__ = ("cost_s", "items")

    def __init__(self):
        self.items = []
        self.cost_s = 0.0
