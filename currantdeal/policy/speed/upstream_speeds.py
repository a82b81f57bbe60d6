"""Speed of each upstream, from an entry's measurements and those of others.

Load pattern: stragglers.  A few slow upstreams set the long tail of a pool
that is balanced by the amount of work alone.

What an upstream did is forgotten after some seconds without work.  Otherwise
one that was slow once would get no work by which its speed could be learned.
"""

from dataclasses import dataclass

from currantdeal.policy.speed.paces import (
    UNKNOWN_SPEED,
    SpeedEstimate,
    add_paces,
    pool_key,
    pool_speeds,
)

HALF_WINDOW_S = 4.0
"""Length of each half of the window of measurements."""

FORGET_S = 2 * HALF_WINDOW_S
"""Age from which an estimate is not used."""

FACTORS_AGE_S = 0.3
"""Age up to which the factors of a pool are not computed again."""


@dataclass(frozen=True, kw_only=True)
class _Sums:
    """Paces at one time, with the time of each upstream's last work."""

    speeds: dict
    last_work_s: dict


class UpstreamSpeeds:
    """Speed of each upstream at each kind of work.

    Upstreams are named by ``currantdeal.policy.speed.paces.process_key``, so
    that a restarted process starts without history.

    Examples
    --------
    >>> from currantdeal.policy.speed.paces import Work
    >>> speeds = UpstreamSpeeds()
    >>> for number in range(36):
    ...     for name, took_s in (("e1", 0.1), ("e2", 0.1), ("e3", 0.4)):
    ...         speeds.record(name, Work.PREFILL, expected_s=0.1,
    ...                       took_s=took_s, now_s=1.0)
    >>> speeds.estimate("e3", Work.PREFILL, now_s=1.0)  # doctest: +ELLIPSIS
    SpeedEstimate(slowdown=2.0, error=0.15..., age_s=0.0)
    >>> speeds.estimate("e3", Work.PREFILL, now_s=20.0).slowdown
    1.0
    """

    def __init__(self):
        """Start without history."""
        self._window = _Window()
        self._own = None
        self._sums = None
        self._sums_s = 0.0
        self._paces = {}
        self._factors = {}

    def record(self, upstream, work, *, pool="", expected_s, took_s, now_s):
        """Record work that an upstream has done.

        Parameters
        ----------
        upstream : str
            Key of its process.
        work : Work
            Kind of the work.
        pool : str
            Upstreams with which it is compared: its service.
        expected_s : float
            Nominal time of the work; the same at all entries.
        took_s : float
            Time that it took.
        """
        if expected_s <= 0.0 or took_s < 0.0:
            return
        self._window.add(
            (pool_key(work, pool), upstream),
            (expected_s, took_s, 1),
            now_s=now_s,
        )
        self._own = None

    def report(self, *, now_s):
        """Return the paces that this entry measured lately, in whole ms."""
        paces = {}
        for (pool, upstream), sums in self._window.sums(now_s=now_s).items():
            nominal_s, took_s, number = sums
            paces.setdefault(pool, {})[upstream] = (
                round(nominal_s * 1_000),
                round(took_s * 1_000),
                number,
            )
        return paces

    def update(self, paces, *, now_s):
        """Replace the sums over all entries, which include this one."""
        last_work_s = {}
        for pool, upstreams in paces.items():
            before = self._paces.get(pool, {})
            for name, pace in upstreams.items():
                has_worked = pace[2] > before.get(name, (0, 0, 0))[2]
                known_s = self._last_work_s(pool, name, now_s=now_s)
                last_work_s[pool, name] = now_s if has_worked else known_s
        self._sums = _Sums(speeds=_speeds(paces), last_work_s=last_work_s)
        self._sums_s = now_s
        self._paces = paces
        self._factors = {}

    def estimate(self, upstream, work, *, pool="", now_s):
        """Return the ``SpeedEstimate`` of an upstream at a kind of work."""
        key = pool_key(work, pool)
        sums = self._current(now_s)
        speeds = sums.speeds.get(key)
        found = speeds and speeds.slowdowns.get(upstream)
        if not found:
            return UNKNOWN_SPEED
        age_s = max(0.0, now_s - sums.last_work_s[key, upstream])
        if age_s >= FORGET_S:
            return UNKNOWN_SPEED
        slowdown, error = found
        return SpeedEstimate(
            slowdown=slowdown,
            error=error * (1.0 + age_s / FORGET_S),
            age_s=age_s,
        )

    def factors(self, work, *, pool="", now_s):
        """Return the factors of a pool's upstreams other than 1."""
        key = pool_key(work, pool)
        computed_s, factors = self._factors.get(key, (-FORGET_S, None))
        if now_s - computed_s <= FACTORS_AGE_S:
            return factors
        speeds = self._current(now_s).speeds.get(key)
        factors = {}
        for upstream in speeds.slowdowns if speeds else ():
            found = self.estimate(upstream, work, pool=pool, now_s=now_s)
            if found.factor != 1.0:
                factors[upstream] = found.factor
        self._factors[key] = (now_s, factors)
        return factors

    def pace(self, work, *, pool="", now_s):
        """Return the pool's time per nominal time; None unless uneven.

        In an even pool, an entry's own measurements say as much.
        """
        speeds = self._current(now_s).speeds.get(pool_key(work, pool))
        return speeds.pace if speeds and speeds.is_uneven else None

    def _current(self, now_s):
        """Return the sums of all entries, or of this one if those are old."""
        if self._sums is not None and now_s - self._sums_s < FORGET_S:
            return self._sums
        own_s = self._window.half_start_s(now_s)
        if self._own is None or self._own[0] != own_s:
            speeds = _speeds(self.report(now_s=now_s))
            last_work_s = self._window.last_work_s
            self._own = (
                own_s,
                _Sums(speeds=speeds, last_work_s=last_work_s),
            )
        return self._own[1]

    def _last_work_s(self, pool, upstream, *, now_s):
        if self._sums is None:
            return now_s
        return self._sums.last_work_s.get((pool, upstream), now_s)


class PaceSums:
    """Sums the paces of entries and control instances at one of these.

    Paces come less often than loads, so each is kept for a while.

    Parameters
    ----------
    timeout_s : float
        Age from which the paces of a source are dropped.

    Examples
    --------
    >>> sums = PaceSums(timeout_s=2.0)
    >>> sums.set("entry-1", {"prefill/llm": {"e1": (10, 20, 1)}}, now_s=0.0)
    >>> sums.set("entry-2", {"prefill/llm": {"e1": (30, 20, 1)}}, now_s=1.0)
    >>> sums.total(now_s=1.0)
    {'prefill/llm': {'e1': (40, 40, 2)}}
    >>> sums.total(now_s=2.5)
    {'prefill/llm': {'e1': (30, 20, 1)}}
    """

    def __init__(self, *, timeout_s):
        """Start empty."""
        self._timeout_s = timeout_s
        self._sources = {}

    def set(self, source, paces, *, now_s):
        """Store the paces of a source, if it has sent any."""
        if paces:
            self._sources[source] = (now_s, paces)

    def remove(self, source):
        """Remove the paces of a source."""
        self._sources.pop(source, None)

    def total(self, *, now_s):
        """Return the summed paces."""
        total = {}
        for source, (received_s, paces) in tuple(self._sources.items()):
            if now_s - received_s > self._timeout_s:
                del self._sources[source]
            else:
                add_paces(total, paces)
        return total


class _Window:
    """Sums over the present and the last half of a sliding window."""

    def __init__(self):
        self._start_s = 0.0
        self._now = {}
        self._before = {}
        self.last_work_s = {}

    def add(self, key, values, *, now_s):
        self._slide(now_s)
        sums = self._now.get(key, (0.0, 0.0, 0))
        self._now[key] = tuple(map(sum, zip(sums, values, strict=True)))
        self.last_work_s[key] = now_s

    def sums(self, *, now_s):
        self._slide(now_s)
        total = dict(self._before)
        for key, values in self._now.items():
            sums = total.get(key, (0.0, 0.0, 0))
            total[key] = tuple(map(sum, zip(sums, values, strict=True)))
        return total

    def half_start_s(self, now_s):
        """Return the start of the present half."""
        self._slide(now_s)
        return self._start_s

    def _slide(self, now_s):
        halves = int((now_s - self._start_s) // HALF_WINDOW_S)
        if halves < 1:
            return
        self._before = self._now if halves == 1 else {}
        self._now = {}
        self._start_s += halves * HALF_WINDOW_S
        self.last_work_s = {key: self.last_work_s[key] for key in self._before}


def _speeds(paces):
    return {pool: pool_speeds(of_pool) for pool, of_pool in paces.items()}
