"""Sums over all entries of the load that they place on each engine.

Load pattern: partial views.  Many entries with few streams each share the
engines, and a stream that one entry places is unknown to the others.  Each
entry alone would see nearly idle engines, and would have to detect by itself
that an engine is unreachable.

So entries report their load to their control instance, control instances
exchange their subtotals, and entries receive the sums a few times a second.
An entry corrects them by its own changes since its last report.  All of this
is soft state: without it an entry falls back on its own counts, and the
engine's answer to a reservation remains authoritative.
"""

from dataclasses import dataclass, field
from operator import add

from currantdeal.policy.health.unreachable_reports import (
    MIN_UNREACHABLE_REPORTS,
    UnreachableReports,
)
from currantdeal.policy.speed.paces import PACE_INTERVAL_S, add_paces
from currantdeal.policy.speed.upstream_speeds import PaceSums

LOAD_INTERVAL_S = 0.15
"""Interval at which changed loads are sent, at each of three steps.

The steps are entry to control instance, control instance to control instance,
and control instance to entry.
"""

MAX_SUMS_AGE_S = 1.5
"""Age up to which sums are used: the time for which a source may be silent."""

SOURCE_TIMEOUT_S = 2.0
"""Silence after which the load of an entry or control instance is dropped."""

PACE_TIMEOUT_S = 3 * PACE_INTERVAL_S
"""Silence after which the paces of a source are dropped."""

UNREPORTED_SHARE = 0.1
"""Share of the current streams that began after the sums were taken."""


@dataclass(frozen=True, kw_only=True)
class PoolLoad:
    """Load of engines.

    Parameters
    ----------
    held : dict
        Tokens held at each engine: of memory at decode engines, of prompts
        to prefill at prefill engines.
    unreachable : dict
        Number of entries that recently failed to reach an engine.
    patience : dict
        Longest timeout of the callers of each route, in seconds.
    repeats : dict
        Number of calls that were repeated after an error, of those that
        failed again, and of retries that the budget denied, by service.
    paces : dict
        See ``currantdeal.policy.speed.paces``; empty in most reports, which
        leave the last ones as they are.
    waiting : dict
        Tokens that requests wait for, that arrive in a second and that are
        granted in a second, by ``Rank.key`` of
        ``currantdeal.policy.memory.ranks``.  Empty while none waits.
    wanted : dict
        Tokens that organisations hold and wait for.  Empty while none waits.
    """

    held: dict[str, int]
    unreachable: dict[str, int]
    patience: dict[str, float] = field(default_factory=dict)
    repeats: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    paces: dict[str, dict[str, tuple[int, int, int]]] = field(
        default_factory=dict
    )
    waiting: dict[str, tuple[int, int, int]] = field(default_factory=dict)
    wanted: dict[str, int] = field(default_factory=dict)


class EntryLoad:
    """Load of one entry at engines, and the last sums over all entries.

    Attributes
    ----------
    reports : UnreachableReports
        What entries reported at once, which the sums may not show yet.

    Examples
    --------
    >>> load = EntryLoad()
    >>> load.add("d1", 4000)
    >>> load.report(unreachable=()).held
    {'d1': 4000}
    >>> sums = PoolLoad(held={"d1": 10_000}, unreachable={})
    >>> load.update_sums(sums, now_s=0.0)
    >>> load.remove("d1", 4000)
    >>> load.tokens("d1", now_s=0.1), load.tokens("d1", now_s=9.0)
    (6000, 0)
    """

    def __init__(self):
        """Start without load and without sums."""
        self._own = {}
        self._reported = {}
        self._others = {}
        self._suspects = frozenset()
        self._updated_s = None
        self.reports = UnreachableReports()

    def add(self, upstream, tokens):
        """Add tokens that this entry holds at an engine from now on."""
        self._own[upstream] = self._own.get(upstream, 0) + tokens

    def remove(self, upstream, tokens):
        """Subtract tokens that this entry no longer holds at an engine."""
        remaining = self._own.get(upstream, 0) - tokens
        if remaining > 0:
            self._own[upstream] = remaining
        else:
            self._own.pop(upstream, None)

    def report(
        self,
        *,
        unreachable,
        longest_timeouts_s=None,
        repeats=None,
        waiting=None,
        wanted=None,
    ):
        """Return the load of this entry, to be sent to the other entries.

        Parameters
        ----------
        unreachable : iterable of str
            Engines that this entry recently failed to reach.
        longest_timeouts_s : dict or None
            Longest timeout that callers set on each route, in seconds.
        repeats, waiting, wanted : dict or None
            See ``PoolLoad``.
        """
        self._reported = dict(self._own)
        return PoolLoad(
            held=self._reported,
            unreachable=dict.fromkeys(unreachable, 1),
            patience=longest_timeouts_s or {},
            repeats=repeats or {},
            waiting=waiting or {},
            wanted=wanted or {},
        )

    def update_sums(self, sums, *, now_s):
        """Replace the sums over all entries, which include this one."""
        reported = self._reported
        self._others = {
            name: max(0, tokens - reported.get(name, 0))
            for name, tokens in sums.held.items()
        }
        self._suspects = frozenset(
            name
            for name, reports in sums.unreachable.items()
            if reports >= MIN_UNREACHABLE_REPORTS
        )
        self._updated_s = now_s

    def has_current_sums(self, *, now_s):
        """Return whether the sums are recent enough to be used."""
        return (
            self._updated_s is not None
            and now_s - self._updated_s <= MAX_SUMS_AGE_S
        )

    def tokens(self, upstream, *, now_s):
        """Return the estimated tokens that all entries hold at an engine.

        Without current sums these are the tokens of this entry alone.
        """
        own = self._own.get(upstream, 0)
        if not self.has_current_sums(now_s=now_s):
            return own
        return own + self._others.get(upstream, 0)

    def unreported(self, tokens, *, now_s):
        """Return the estimated placements of others not yet in the sums.

        Parameters
        ----------
        tokens : int
            Tokens of one placement.
        """
        if not self.has_current_sums(now_s=now_s):
            return 0.0
        return UNREPORTED_SHARE * sum(self._others.values()) / max(1, tokens)

    def is_suspect(self, upstream, *, now_s):
        """Return whether several entries failed to reach an engine."""
        return (
            self.has_current_sums(now_s=now_s) and upstream in self._suspects
        ) or self.reports.is_unreachable(upstream, now_s=now_s)


class LoadSums:
    """Sums the loads of entries at one control instance.

    Examples
    --------
    >>> sums = LoadSums()
    >>> one = PoolLoad(held={"d1": 3000}, unreachable={"d2": 1})
    >>> sums.set_entry("entry-1", one, now_s=0.0)
    >>> sums.set_control("10.0.0.2:7440", one, now_s=0.0)
    >>> sums.local_total(now_s=0.1).held, sums.total(now_s=0.1).held
    ({'d1': 3000}, {'d1': 6000})
    >>> sums.total(now_s=9.0).held
    {}
    """

    def __init__(self):
        """Start empty."""
        self._entries = {}
        self._controls = {}
        self._entry_paces = PaceSums(timeout_s=PACE_TIMEOUT_S)
        self._control_paces = PaceSums(timeout_s=PACE_TIMEOUT_S)

    def set_entry(self, entry, load, *, now_s):
        """Store the load of an entry that reports here."""
        self._entries[entry] = (now_s, load)
        self._entry_paces.set(entry, load.paces, now_s=now_s)

    def remove_entry(self, entry):
        """Remove an entry that no longer reports here."""
        self._entries.pop(entry, None)
        self._entry_paces.remove(entry)

    def set_control(self, sender, load, *, now_s):
        """Store the summed load of the entries of another instance."""
        self._controls[sender] = (now_s, load)
        self._control_paces.set(sender, load.paces, now_s=now_s)

    def local_paces(self, *, now_s):
        """Return the summed paces of the entries that report here."""
        return self._entry_paces.total(now_s=now_s)

    def total_paces(self, *, now_s):
        """Return the summed paces of all entries."""
        total = self._entry_paces.total(now_s=now_s)
        add_paces(total, self._control_paces.total(now_s=now_s))
        return total

    def local_total(self, *, now_s):
        """Return the summed load of the entries that report here."""
        return _sum_loads(_current_loads(self._entries, now_s))

    def total(self, *, now_s):
        """Return the summed load of all entries."""
        return _sum_loads(
            [
                *_current_loads(self._entries, now_s),
                *_current_loads(self._controls, now_s),
            ]
        )


def _current_loads(sources, now_s):
    """Return the loads of sources, without those that timed out."""
    for name in tuple(sources):
        if now_s - sources[name][0] > SOURCE_TIMEOUT_S:
            del sources[name]
    return [load for _, load in sources.values()]


def _sum_loads(loads):
    held = {}
    unreachable = {}
    longest_timeouts_s = {}
    repeats = {}
    waiting = {}
    wanted = {}
    for load in loads:
        _add_counts(held, load.held)
        _add_counts(unreachable, load.unreachable)
        _add_counts(wanted, load.wanted)
        for rank, demand in load.waiting.items():
            sums = waiting.get(rank, (0, 0, 0))
            waiting[rank] = tuple(map(add, sums, demand))
        for route, seconds in load.patience.items():
            longest_timeouts_s[route] = max(
                seconds, longest_timeouts_s.get(route, 0.0)
            )
        for service, counts in load.repeats.items():
            before = repeats.get(service, (0, 0, 0))
            repeats[service] = tuple(
                map(sum, zip(before, counts, strict=True))
            )
    return PoolLoad(
        held=held,
        unreachable=unreachable,
        patience=longest_timeouts_s,
        repeats=repeats,
        waiting=waiting,
        wanted=wanted,
    )


def _add_counts(sums, more):
    for name, number in more.items():
        sums[name] = sums.get(name, 0) + number
