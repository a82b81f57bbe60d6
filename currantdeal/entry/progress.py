"""What the requests in progress wait for, and how a stop ends them.

A request that has not run when its process ends is refused before that, so
that its caller can go to another instance.  The latest time for this depends
on what it waits for: one that waits for memory is refused once no recent run
of its route was short enough to end in time.
"""

import asyncio
import math
from collections import Counter
from contextlib import asynccontextmanager
from enum import Enum

REFUSAL_MARGIN_S = 0.5
"""Time before the end of the process at which what waits is refused.

It covers the release of reservations, and the answers to all callers.
"""


class RequestState(str, Enum):
    """What a request waits for.

    Attributes
    ----------
    UPSTREAM
        An upstream that takes it, or the next attempt.
    QUOTA
        Credit for the quota of its organisation.
    MEMORY
        Memory of a decode engine, since none had any.
    PREFILL
        The prefill of its prompt.
    RUNNING
        An upstream, which may run it.
    """

    UPSTREAM = "upstream"
    QUOTA = "quota"
    MEMORY = "memory"
    PREFILL = "prefill"
    RUNNING = "running"


class RequestsInProgress:
    """The requests that an entry is handling.

    Parameters
    ----------
    run_lengths : currantdeal.policy.load.run_lengths.RunLengths
        Durations of recent runs.

    Attributes
    ----------
    ends_s : float
        Loop time at which the process ends; infinite before it is stopped.
    """

    def __init__(self, *, run_lengths):
        """Start without requests."""
        self.ends_s = math.inf
        self._run_lengths = run_lengths
        self._active = {}
        self._time_limits = set()
        self._ended = Counter()
        self._broken_off = Counter()

    def stop(self, ends_s):
        """Let all that waits end before a loop time, as the process does."""
        self.ends_s = ends_s
        for active in tuple(self._active):
            active.limit_wait()
        for time_limit in self._time_limits:
            time_limit.reschedule(self._last_refusal_s)

    @asynccontextmanager
    async def until_stop(self):
        """Bound a wait before a request is known, by the process's end.

        Raises
        ------
        TimeoutError
            If the process ends soon.
        """
        async with asyncio.timeout_at(self._last_refusal_s) as time_limit:
            self._time_limits.add(time_limit)
            try:
                yield
            finally:
                self._time_limits.discard(time_limit)

    @property
    def _last_refusal_s(self):
        is_stopped = self.ends_s < math.inf
        return self.ends_s - REFUSAL_MARGIN_S if is_stopped else None

    def wait_until_s(self, active):
        """Return the loop time until which a request may go on to wait.

        It is infinite if the process lasts long enough.
        """
        if active.state is RequestState.RUNNING or active.responder.started:
            return math.inf
        if active.deadline_s <= self.ends_s:
            return math.inf
        margin_s = REFUSAL_MARGIN_S
        if active.state is RequestState.MEMORY:
            shortest_s = self._run_lengths.shortest_s(active.route.name)
            margin_s = max(margin_s, shortest_s)
        return self.ends_s - margin_s

    def end_unanswered(self):
        """End the requests of which no answer has begun."""
        for active in tuple(self._active):
            if not active.responder.started:
                active.end_by_stop()

    def add(self, active):
        """Add a request that is handled from now on."""
        self._active[active] = None

    def remove(self, active, kind):
        """Remove a request that has ended.

        Parameters
        ----------
        kind : str
            How it ended, as in the metrics.
        """
        self._active.pop(active, None)
        if self.ends_s < math.inf:
            self._ended[kind] += 1
            if active.break_reason is not None:
                self._broken_off[active.break_reason.value] += 1

    @property
    def counts(self):
        """Number of requests by the value of their ``RequestState``."""
        return dict(Counter(a.state.value for a in self._active))

    @property
    def ended(self):
        """Number of requests that ended since the stop request, by kind."""
        return dict(self._ended)

    @property
    def broken_off(self):
        """Number of answers broken off since then, by ``BreakReason``."""
        return dict(self._broken_off)
