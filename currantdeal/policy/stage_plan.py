"""How many engines of a service read prompts, and how many decode.

The load pattern is a pool that was split by guess: with one prefill engine
too few, prompts queue and every stream misses its target; with one too many,
decode memory is missing at each peak and requests are refused while prefill
engines idle.  Goodput of the same load differed by half between two and four
prefill engines of nine.

Before any demand is measured the split is ``FIRST_SHARE``, which is right
for prompts of three thousand tokens and outputs of about a thousand: with
half as many prefill engines a prompt waited 0.25 to 0.5 s in the median, and
13 to 30 of 100 streams missed their target of 0.9 s for that alone; with
this share 0.15 to 0.2 s, and 2 of 100.  Then
the demand decides: the prefill engines should be busy ``TARGET_BUSY`` of the
time, so that a burst of twice the mean queues for part of a second, and what
does not find a place is read by decode engines themselves.  A change costs
an engine for seconds; so it takes a demand that is clearly out of the range,
and the next one waits for ``CHANGE_PAUSE_S``.
"""

import math
from dataclasses import dataclass

from currantdeal.registry import Stage

FIRST_SHARE = 0.3
TARGET_BUSY = 0.6
LOW_BUSY = 0.3
"""Share of time below which a prefill engine is turned to decoding."""

HIGH_BUSY = 0.8
CHANGE_PAUSE_S = 10.0
"""Pause between changes: an engine needs six seconds for one."""

MEASURED_S = 10.0
"""Time of measured demand before it replaces the first split."""


@dataclass(frozen=True, kw_only=True)
class StageChange:
    """An engine that is to do another stage."""

    upstream: str
    stage: Stage


def wanted_prefill(engines, *, busy=None):
    """Return the number of engines that should read prompts.

    Parameters
    ----------
    engines : int
        Engines of the service.
    busy : float or None
        Engines that the measured demand keeps busy; None when unknown.

    Examples
    --------
    >>> wanted_prefill(9), wanted_prefill(6), wanted_prefill(1)
    (3, 2, 0)
    >>> wanted_prefill(9, busy=1.7)
    3
    """
    if engines < 2:
        return 0
    if busy is None:
        return max(1, math.ceil(FIRST_SHARE * engines))
    wanted = max(1, math.ceil(busy / TARGET_BUSY))
    return min(wanted, engines // 2)


def plan_stages(records, *, busy=None):
    """Return the changes that bring a service's engines to the wanted split.

    Engines are taken in the order of their names, so that a holder that
    comes later goes on with the same plan.

    Parameters
    ----------
    records : iterable of UpstreamRecord
        The engines that take work.
    busy : float or None
        As for ``wanted_prefill``.
    """
    prefill = sorted(r.upstream for r in records if r.stage is Stage.PREFILL)
    decode = sorted(r.upstream for r in records if r.stage is Stage.DECODE)
    wanted = wanted_prefill(len(prefill) + len(decode), busy=busy)
    if busy is not None and _within_range(len(prefill), busy):
        return ()
    surplus = prefill[wanted:]
    if surplus:
        return tuple(
            StageChange(upstream=name, stage=Stage.DECODE) for name in surplus
        )
    missing = wanted - len(prefill)
    return tuple(
        StageChange(upstream=name, stage=Stage.PREFILL)
        for name in decode[:missing]
    )


def _within_range(prefill, busy):
    if prefill == 0:
        return False
    return LOW_BUSY <= busy / prefill <= HIGH_BUSY
