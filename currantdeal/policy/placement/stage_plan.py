"""Prefill/decode ratio of the engines of a service.

Load pattern: phase imbalance.  With one prefill engine too few, prompts queue
and every stream misses its target; with one too many, KV cache memory runs out
at each peak and requests are refused while prefill engines idle.

Until demand is measured, ``DEFAULT_PREFILL_SHARE`` of the engines prefill,
rounded to whole engines.  Then the best split is the one that minimises the
load of its more loaded stage.  Where engines differ in speed, fast ones
prefill and a slow prefill engine counts as a part of a usual one; memory,
which limits decoding, is the same at both.
"""

from dataclasses import dataclass
from itertools import accumulate

from currantdeal.registry import Stage

DEFAULT_PREFILL_SHARE = 0.25

MAX_PREFILL_UTILISATION = 0.8
"""Share of time for which a prefill engine may be busy."""

MAX_DECODE_UTILISATION = 0.8
"""Share of a decode engine's memory that streams may use on average."""

MIN_GAIN = 1.45
"""Factor by which a new split must reduce the load of the busier stage."""

MIN_GAIN_TO_PREFILL = 1.8  # higher: a decode engine first drains its streams

CHANGE_INTERVAL_S = 15.0
"""Interval between two changes of a service."""


@dataclass(frozen=True, kw_only=True)
class StageChange:
    """The assignment of an engine to another stage."""

    upstream: str
    stage: Stage


def prefill_count(engines, *, busy=None, current=None, slowdowns=()):
    """Return the number of engines that should prefill.

    Parameters
    ----------
    engines : int
        Engines of the service.
    busy : currantdeal.policy.load.demand.BusyEngines or None
        Engines that the measured demand keeps busy; None if unknown.
    current : int or None
        Engines that prefill now; kept unless another number is better by
        ``MIN_GAIN`` or ``MIN_GAIN_TO_PREFILL``.
    slowdowns : sequence of float
        Slowdown of each engine in the order in which they are to prefill;
        all are alike if empty.

    Examples
    --------
    >>> from currantdeal.policy.load.demand import BusyEngines
    >>> prefill_count(9), prefill_count(6), prefill_count(1)
    (2, 2, 0)
    >>> prefill_count(9, busy=BusyEngines(prefill=0.3, decode=6.0), current=5)
    1
    >>> prefill_count(9, busy=BusyEngines(prefill=0.9, decode=3.0), current=3)
    3
    """
    if engines < 2:
        return 0
    if busy is None:
        return max(1, round(DEFAULT_PREFILL_SHARE * engines))
    slowdowns = slowdowns or (1.0,) * engines
    speeds = list(accumulate(1.0 / slowdown for slowdown in slowdowns))
    loads = {
        number: max(
            busy.prefill / (speeds[number - 1] * MAX_PREFILL_UTILISATION),
            busy.decode / ((engines - number) * MAX_DECODE_UTILISATION),
        )
        for number in range(1, engines)
    }
    best = min(loads, key=loads.get)
    if current not in loads:
        return best
    min_gain = MIN_GAIN_TO_PREFILL if best > current else MIN_GAIN
    return current if loads[current] <= min_gain * loads[best] else best


def lacks_stage(records):
    """Return whether a stage has no engine.

    Examples
    --------
    >>> lacks_stage(())
    False
    """
    stages = {record.stage for record in records}
    return len(records) > 1 and len(stages) < len(Stage)


def plan_stages(records, *, busy=None, held=None, avoided=(), slowdowns=None):
    """Return the changes that bring a service's engines to the desired split.

    The slowest engines are taken from prefill and the fastest from decode.
    Of engines alike, those with the least load are chosen, since an engine
    changes its stage only after its streams have ended.  This also selects
    the engine that a former leader has chosen, since that one receives no new
    work.

    Parameters
    ----------
    records : iterable of UpstreamRecord
        The engines that accept work.
    busy : currantdeal.policy.load.demand.BusyEngines or None
        As for ``prefill_count``.
    held : dict or None
        Tokens held at each engine, by name; None if unknown.
    avoided : collection of str
        Engines that are chosen last.
    slowdowns : dict or None
        Slowdown of each engine at the work of its stage beyond its error, by
        name; 1 if unknown.
    """
    held = held or {}
    slowdowns = slowdowns or {}
    by_name = sorted(records, key=lambda r: r.upstream, reverse=True)

    def slowdown(name):
        return slowdowns.get(name, 1.0)

    def ordered(stage, sign):
        return sorted(
            (r.upstream for r in by_name if r.stage is stage),
            key=lambda name: (
                name in avoided,
                sign * slowdown(name),
                held.get(name, 0),
            ),
        )

    prefill = ordered(Stage.PREFILL, -1)
    decode = ordered(Stage.DECODE, 1)
    desired = prefill_count(
        len(prefill) + len(decode),
        busy=busy,
        current=len(prefill),
        slowdowns=tuple(slowdown(n) for n in [*reversed(prefill), *decode]),
    )
    surplus = prefill[: max(0, len(prefill) - desired)]
    if surplus:
        return tuple(
            StageChange(upstream=name, stage=Stage.DECODE) for name in surplus
        )
    missing = desired - len(prefill)
    return tuple(
        StageChange(upstream=name, stage=Stage.PREFILL)
        for name in decode[:missing]
    )
