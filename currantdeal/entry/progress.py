"""What the requests in progress wait for, and how they end at a stop."""

import math
from collections import Counter
from enum import Enum


class RequestState(str, Enum):
    """What a request waits for.

    Attributes
    ----------
    UPSTREAM
        An upstream that may take it, or the next attempt.
    QUOTA
        Credit for the quota of its organisation.
    MEMORY
        A reservation of a decode engine's memory.
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

    Attributes
    ----------
    ends_s : float
        Loop time at which the process ends; infinite before it is stopped.
    """

    def __init__(self):
        """Start without requests."""
        self.ends_s = math.inf
        self._active = {}
        self._ended = Counter()

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

    @property
    def counts(self):
        """Number of requests by the value of their ``RequestState``."""
        return dict(Counter(a.state.value for a in self._active))

    @property
    def ended(self):
        """Number of requests that ended since the stop request, by kind."""
        return dict(self._ended)
