"""Detect slow upstreams by comparison with their peers and eject them.

Load pattern: gray failure.  One engine becomes slow without failing.  Its load
reports look harmless while every request sent there misses its target; it even
looks attractive, because it reports little finished work.  Without a
comparison a slow engine cannot be distinguished from a busy system.

An upstream is ejected when its smoothed slowness (actual over predicted time)
is more than twice the median of its peers: full and empty engines differ by
less than that, a throttled accelerator by more.  At most a third of a group is
ejected at once, because beyond that the comparison says more about the median
than about the upstream.  After five seconds one request is let through as a
probe; the upstream is readmitted when its slowness is within the bound again
after further observations.
"""

from dataclasses import dataclass
from statistics import median

SMOOTHING = 0.2
SLOW_FACTOR = 2.0
MIN_SAMPLES = 5
MAX_EJECTED_SHARE = 1 / 3
MIN_PEERS = 3
EJECTION_S = 5.0


@dataclass(frozen=True, kw_only=True)
class SlownessStats:
    """Slowness of one upstream.

    Parameters
    ----------
    slowness : float
        Smoothed ratio of actual to predicted time.
    samples : int
        Number of observations.
    ejected_until_s : float
        Monotonic time of the next probe; 0 if never ejected.
    """

    slowness: float
    samples: int
    ejected_until_s: float = 0.0


def peer_group(work, role):
    """Return the key of the group in which an upstream is compared."""
    return (role, work.target)


class OutlierDetector:
    """Outlier detector that ejects slow upstreams.

    Observations are compared within a group, such as all decode engines of
    one model.

    Examples
    --------
    >>> from currantdeal.policy import OutlierDetector
    >>> outliers = OutlierDetector()
    >>> for _ in range(6):
    ...     for name, ratio in (("a", 1), ("b", 1.1), ("c", 4)):
    ...         outliers.observe("decode", name, ratio, now_s=1.0)
    >>> [outliers.is_ejected("decode", name, now_s=1.0) for name in "abc"]
    [False, False, True]
    """

    def __init__(self):
        """Start without observations."""
        self._groups = {}
        self._ejected = {}

    def observe(self, group, upstream_id, slowness, *, now_s):
        """Record a ratio of actual to predicted time."""
        peers = self._groups.setdefault(group, {})
        previous = peers.get(upstream_id)
        updated = _smoothed(previous, slowness)
        peers[upstream_id] = updated
        if updated.samples < MIN_SAMPLES:
            return
        if self._is_slow(peers, upstream_id):
            self._eject(group, peers, upstream_id, now_s)
        elif upstream_id in self._ejected.get(group, ()):
            self._ejected[group].discard(upstream_id)

    def is_ejected(self, group, upstream_id, *, now_s):
        """Return whether the upstream is ejected.

        When the ejection time is over, the first call returns False and
        restarts the time, so that one request probes the upstream.
        """
        if upstream_id not in self._ejected.get(group, ()):
            return False
        stats = self._groups[group][upstream_id]
        if now_s < stats.ejected_until_s:
            return True
        self._groups[group][upstream_id] = SlownessStats(
            slowness=stats.slowness,
            samples=stats.samples,
            ejected_until_s=now_s + EJECTION_S,
        )
        return False

    def slowness(self, group, upstream_id):
        """Return the smoothed slowness, 1 if unknown."""
        stats = self._groups.get(group, {}).get(upstream_id)
        if stats is None or stats.samples < MIN_SAMPLES:
            return 1.0
        return stats.slowness

    def ejected(self, group):
        """Return the ids of the ejected upstreams, sorted."""
        return tuple(sorted(self._ejected.get(group, ())))

    def forget(self, upstream_id):
        """Remove the state of an upstream that left or restarted."""
        for group, peers in self._groups.items():
            peers.pop(upstream_id, None)
            self._ejected.get(group, set()).discard(upstream_id)

    def _is_slow(self, peers, upstream_id):
        others = [
            peer.slowness
            for name, peer in peers.items()
            if name != upstream_id and peer.samples >= MIN_SAMPLES
        ]
        if len(others) + 1 < MIN_PEERS:
            return False
        return peers[upstream_id].slowness > SLOW_FACTOR * median(others)

    def _eject(self, group, peers, upstream_id, now_s):
        ejected = self._ejected.setdefault(group, set())
        below_limit = len(ejected) < int(len(peers) * MAX_EJECTED_SHARE)
        if upstream_id in ejected or not below_limit:
            return
        ejected.add(upstream_id)
        stats = peers[upstream_id]
        peers[upstream_id] = SlownessStats(
            slowness=stats.slowness,
            samples=stats.samples,
            ejected_until_s=now_s + EJECTION_S,
        )


def _smoothed(previous, slowness):
    if previous is None:
        return SlownessStats(slowness=slowness, samples=1)
    smoothed = previous.slowness + SMOOTHING * (slowness - previous.slowness)
    return SlownessStats(
        slowness=smoothed,
        samples=previous.samples + 1,
        ejected_until_s=previous.ejected_until_s,
    )
