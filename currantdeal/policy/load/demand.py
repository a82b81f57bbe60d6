"""Measurement of the demand of generations on prefill and decode engines.

An entry measures its own generations: the time that an idle engine needs to
prefill a prompt, and the memory that a stream holds and for how long.

Generations that were refused for lack of decode memory count like the average
of those that ran.  Otherwise a pool that refuses half of its callers would
seem half as loaded as it is.  The demand on prefill engines includes only
prompts that were sent to them, since refused ones are never prefilled.

The speed of an idle engine can only be measured at an idle one, and an entry
that has sent only a prompt or two may have measured time in queues.  So the
fastest prefill of all entries is used.
"""

from collections import deque
from dataclasses import dataclass

MIN_ENDED_STREAMS = 10
"""Ended streams from which their average memory is used as an estimate."""

MAX_REFUSED_SCALE = 3.0
"""Limit of the factor by which refused generations increase the demand.

Refused callers retry, and each retry is counted again.
"""

S_PER_TOKEN_GROWTH = 1.02
"""Factor by which the shortest time measured may grow with each prompt.

So the estimate follows engines that become slower.
"""


@dataclass(frozen=True, kw_only=True)
class Demand:
    """Demand measured in a span of time.

    Parameters
    ----------
    offered, ended : int
        Generations that were received, and that completed.
    prompt_tokens : int
        Tokens of the prompts that were prefilled.
    s_per_token : float
        Shortest time measured to prefill a token, in seconds; 0 if none.
    memory_token_s : float
        Tokens of memory times the seconds for which they were held, of the
        generations that completed.
    """

    offered: int = 0
    ended: int = 0
    prompt_tokens: int = 0
    s_per_token: float = 0.0
    memory_token_s: float = 0.0

    def __add__(self, other):
        """Return the sum of two demands."""
        return Demand(
            offered=self.offered + other.offered,
            ended=self.ended + other.ended,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            s_per_token=_min_known(self.s_per_token, other.s_per_token),
            memory_token_s=self.memory_token_s + other.memory_token_s,
        )


def _min_known(one, other):
    known = [speed for speed in (one, other) if speed > 0.0]
    return min(known, default=0.0)


class DemandMeter:
    """Measures the generations of one entry.

    Examples
    --------
    >>> meter = DemandMeter()
    >>> meter.record_prefill(1000, 0.1)
    >>> meter.record_offered()
    >>> meter.record_completed(3000, 2.0)
    >>> meter.collect()  # doctest: +NORMALIZE_WHITESPACE
    Demand(offered=1, ended=1, prompt_tokens=1000, s_per_token=0.0001,
           memory_token_s=6000.0)
    >>> meter.collect().prompt_tokens
    0
    """

    def __init__(self):
        """Start without measurements."""
        self._s_per_token = None
        self._demand = Demand()

    @property
    def s_per_token(self):
        """Time in which an idle engine prefills a token; None if unknown."""
        return self._s_per_token

    def record_offered(self):
        """Record a generation that a caller requested."""
        self._demand += Demand(offered=1)

    def record_prefill(self, prompt_tokens, took_s):
        """Record that a prefill engine prefilled a prompt."""
        if prompt_tokens <= 0:
            return
        self._demand += Demand(prompt_tokens=prompt_tokens)
        measured = took_s / prompt_tokens
        shortest = self._s_per_token
        if shortest is None or measured < shortest:
            self._s_per_token = measured
        else:
            self._s_per_token = min(measured, shortest * S_PER_TOKEN_GROWTH)

    def record_completed(self, tokens, held_s):
        """Record a completed stream and the memory that it held."""
        self._demand += Demand(ended=1, memory_token_s=tokens * held_s)

    def collect(self):
        """Return the demand since the last call, and reset it."""
        speed = Demand(s_per_token=self._s_per_token or 0.0)
        collected, self._demand = self._demand + speed, Demand()
        return collected


class DemandWindow:
    """Sliding window of demand, summed over all entries.

    Parameters
    ----------
    window_s : float
        Length of the window.

    Examples
    --------
    >>> window = DemandWindow(window_s=10.0)
    >>> window.add(Demand(offered=4, ended=1), now_s=1.0)
    >>> window.add(Demand(offered=4, ended=1), now_s=9.0)
    >>> window.total(now_s=10.0).offered, window.total(now_s=12.0).offered
    (8, 4)
    """

    def __init__(self, *, window_s):
        """Start empty."""
        self._window_s = window_s
        self._parts = deque()
        self._first_s = None

    def is_full(self, *, now_s):
        """Return whether the first demand is a whole window old.

        Before that mostly short streams have ended, which biases the average.
        """
        first_s = self._first_s
        return first_s is not None and now_s - first_s >= self._window_s

    def add(self, demand, *, now_s):
        """Add demand that was measured up to now."""
        if demand.offered or demand.ended:
            self._parts.append((now_s, demand))
            if self._first_s is None:
                self._first_s = now_s

    def total(self, *, now_s):
        """Return the demand summed over the window."""
        while self._parts and self._parts[0][0] <= now_s - self._window_s:
            self._parts.popleft()
        return sum((demand for _, demand in self._parts), Demand())


@dataclass(frozen=True, kw_only=True)
class BusyEngines:
    """Number of engines of each stage that a demand keeps fully busy."""

    prefill: float
    decode: float


def busy_engines(demand, *, window_s, kv_tokens, s_per_token=None):
    """Return how many engines a demand keeps busy, or None if unknown.

    It is unknown before ``MIN_ENDED_STREAMS`` have ended, or without the
    memory of an engine.

    Parameters
    ----------
    demand : Demand
        Of one service, over ``window_s``.
    kv_tokens : int
        Memory of one engine.
    s_per_token : float or None
        Time in which a usual prefill engine prefills a token; the shortest
        time that was measured if None.

    Examples
    --------
    >>> demand = Demand(offered=20, ended=10, prompt_tokens=50_000,
    ...                 s_per_token=0.0001, memory_token_s=100_000.0)
    >>> busy_engines(demand, window_s=10.0, kv_tokens=10_000)
    BusyEngines(prefill=0.5, decode=2.0)
    """
    if demand.ended < MIN_ENDED_STREAMS or not kv_tokens:
        return None
    scale = min(MAX_REFUSED_SCALE, max(1.0, demand.offered / demand.ended))
    memory = demand.memory_token_s * scale
    token_s = s_per_token or demand.s_per_token
    return BusyEngines(
        prefill=demand.prompt_tokens * token_s / window_s,
        decode=memory / window_s / kv_tokens,
    )
