"""Measures the speed of engines for an entry, and says what it has learned."""

from dataclasses import dataclass

from currantdeal.policy.memory.decode_memory import keeps_gap_target
from currantdeal.policy.placement.prefill_choice import DEFAULT_S_PER_TOKEN
from currantdeal.policy.speed.paces import Work, process_key

NOMINAL_GAP_S = 0.01
"""Nominal time between two events: a unit, only ratios to it are used."""

BACKLOG_SHARE = 0.5
"""Share of a backlog that is not prefilled yet: its first prompt is partly
done, and the sums are older than some prompts."""


@dataclass(frozen=True, kw_only=True)
class PrefillWork:
    """A prompt that was sent to a prefill engine.

    Parameters
    ----------
    record : UpstreamRecord
        The engine.
    tokens, backlog : int
        Tokens of the prompt, and of those known to be before it.
    """

    record: object
    tokens: int
    backlog: int

    @property
    def expected_s(self):
        """Nominal time until it is prefilled."""
        ahead = BACKLOG_SHARE * self.backlog
        return (self.tokens + ahead) * DEFAULT_S_PER_TOKEN


class EventTimer:
    """Sums the time for which an entry waits for the events of one run.

    The time to the first event is not included.

    Examples
    --------
    >>> timer = EventTimer()
    >>> for waited_s in (0.5, 0.25, 0.25):
    ...     timer.add(waited_s)
    >>> timer.waited_s
    0.5
    """

    def __init__(self):
        """Start before the first event."""
        self._started = False
        self.waited_s = 0.0

    def add(self, waited_s):
        """Add the time of a wait that has ended."""
        if self._started:
            self.waited_s += waited_s
        self._started = True


def speed_of(context, record, work):
    """Return the ``SpeedEstimate`` of an engine."""
    return context.speeds.estimate(
        process_key(record), work, pool=record.service, now_s=context.now_s
    )


def slowdowns(context, service, work, records):
    """Return a function from engines' names to factors; None in an even pool.

    Parameters
    ----------
    records : dict
        Records of the engines by name.
    """
    factors = context.speeds.factors(work, pool=service, now_s=context.now_s)
    if not factors:
        return None
    return lambda name: factors.get(process_key(records[name]), 1.0)


def s_per_token(context, service):
    """Return the time in which the pool prefills a token; None if unknown.

    Where engines differ, the shortest time that one entry has measured only
    says which engine it has asked.
    """
    pace = context.speeds.pace(Work.PREFILL, pool=service, now_s=context.now_s)
    if pace is None:
        return context.meter(service).s_per_token
    return pace * DEFAULT_S_PER_TOKEN


def is_too_slow(context, service, gap_target_s, slowdown):
    """Return a function that tells which engines miss the gap target.

    None if no engine of the pool is too slow.

    Parameters
    ----------
    slowdown : callable or None
        See ``slowdowns``.
    """
    pace = context.speeds.pace(Work.DECODE, pool=service, now_s=context.now_s)
    if pace is None or slowdown is None or not gap_target_s:
        return None
    gap_s = NOMINAL_GAP_S * pace

    def misses(name):
        factor = slowdown(name)
        return factor > 1.0 and not keeps_gap_target(
            gap_s * factor, gap_target_s
        )

    return misses


def record_prefill(context, work, took_s):
    """Record a prefill that an engine has completed."""
    _record(context, work.record, Work.PREFILL, work.expected_s, took_s)


def record_prefill_timeout(context, work, waited_s):
    """Record a prefill that took longer than the entry waited for it.

    It is only known to be slower, so what would look fast doesn't count.
    """
    token_s = s_per_token(context, work.record.service) or DEFAULT_S_PER_TOKEN
    if waited_s * DEFAULT_S_PER_TOKEN > work.expected_s * token_s:
        record_prefill(context, work, waited_s)


def record_decode(context, record, events, waited_s):
    """Record the events of a run after the first one."""
    expected_s = NOMINAL_GAP_S * (events - 1)
    _record(context, record, Work.DECODE, expected_s, waited_s)


def describe(estimate):
    """Return an estimate for a step of a request; empty if unknown.

    Examples
    --------
    >>> from currantdeal.policy.speed.paces import SpeedEstimate
    >>> describe(SpeedEstimate(slowdown=1.7, error=0.2, age_s=1.0))
    'slowdown 1.70, error 0.20, age 1.0 s'
    >>> describe(SpeedEstimate())
    ''
    """
    if estimate.slowdown == 1.0:
        return ""
    return (
        f"slowdown {estimate.slowdown:.2f}, error {estimate.error:.2f}, "
        f"age {estimate.age_s:.1f} s"
    )


def _record(context, record, work, expected_s, took_s):
    context.speeds.record(
        process_key(record),
        work,
        pool=record.service,
        expected_s=expected_s,
        took_s=took_s,
        now_s=context.now_s,
    )
