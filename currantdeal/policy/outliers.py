"""Slow upstreams, found against their peers.

The load pattern is one engine that got slow without failing.  Load reports
look harmless and every request sent there misses its target; the slow engine
even looks attractive, because it has little finished work to report.  Without
comparison nothing tells a slow engine from a busy system.

An upstream is out when its smoothed slowness (time taken over time predicted)
is twice the median of its peers: batches of full and empty engines differ by
less than that, a throttled accelerator by more.  At most a third of a group
is out at once, because beyond that the comparison says more about the median
than about the upstream.  After five seconds one probe is let through; it
comes back when its next observations are within the bound.
"""

from dataclasses import dataclass
from statistics import median

SMOOTHING = 0.2
SLOW_FACTOR = 2.0
ENOUGH = 5
MAX_OUT_SHARE = 1 / 3
MIN_PEERS = 3
OUT_S = 5.0


@dataclass(frozen=True, kw_only=True)
class Standing:
    """What is known of one upstream's speed.

    Parameters
    ----------
    slowness : float
        Smoothed ratio of time taken to time predicted.
    samples : int
        Observations since it was last taken back.
    out_until_s : float
        Monotonic time of the next probe; 0 when it is not out.
    """

    slowness: float
    samples: int
    out_until_s: float = 0.0


def slow_group(work, role):
    """Return the group in which an upstream's speed is compared."""
    return (role, work.target)


class SlowUpstreams:
    """Keeps slow upstreams out of the choice.

    Observations are compared within a group, such as all decode engines of
    one model.

    Examples
    --------
    >>> from currantdeal.policy import SlowUpstreams
    >>> slow = SlowUpstreams()
    >>> for _ in range(6):
    ...     for name, ratio in (("a", 1), ("b", 1.1), ("c", 4)):
    ...         slow.observe("decode", name, ratio, now_s=1.0)
    >>> [slow.is_out("decode", name, now_s=1.0) for name in "abc"]
    [False, False, True]
    """

    def __init__(self):
        """Start with no upstream known."""
        self._groups = {}
        self._out = {}

    def observe(self, group, upstream_id, slowness, *, now_s):
        """Take in the ratio of time taken to time predicted."""
        peers = self._groups.setdefault(group, {})
        before = peers.get(upstream_id)
        after = _smoothed(before, slowness)
        peers[upstream_id] = after
        if after.samples < ENOUGH:
            return
        if self._is_slow(peers, upstream_id):
            self._take_out(group, peers, upstream_id, now_s)
        elif upstream_id in self._out.get(group, ()):
            self._out[group].discard(upstream_id)

    def is_out(self, group, upstream_id, *, now_s):
        """Return whether the upstream should get no work now.

        Once its time is over, the first question returns False and starts
        the time anew, so that one request probes it.
        """
        if upstream_id not in self._out.get(group, ()):
            return False
        standing = self._groups[group][upstream_id]
        if now_s < standing.out_until_s:
            return True
        self._groups[group][upstream_id] = Standing(
            slowness=standing.slowness,
            samples=standing.samples,
            out_until_s=now_s + OUT_S,
        )
        return False

    def slowness(self, group, upstream_id):
        """Return the smoothed slowness, 1 when unknown."""
        standing = self._groups.get(group, {}).get(upstream_id)
        if standing is None or standing.samples < ENOUGH:
            return 1.0
        return standing.slowness

    def out(self, group):
        """Return the names that are out, sorted."""
        return tuple(sorted(self._out.get(group, ())))

    def forget(self, upstream_id):
        """Forget an upstream that left or restarted."""
        for group, peers in self._groups.items():
            peers.pop(upstream_id, None)
            self._out.get(group, set()).discard(upstream_id)

    def _is_slow(self, peers, upstream_id):
        others = [
            peer.slowness
            for name, peer in peers.items()
            if name != upstream_id and peer.samples >= ENOUGH
        ]
        if len(others) + 1 < MIN_PEERS:
            return False
        return peers[upstream_id].slowness > SLOW_FACTOR * median(others)

    def _take_out(self, group, peers, upstream_id, now_s):
        out = self._out.setdefault(group, set())
        room = len(out) < int(len(peers) * MAX_OUT_SHARE)
        if upstream_id in out or not room:
            return
        out.add(upstream_id)
        standing = peers[upstream_id]
        peers[upstream_id] = Standing(
            slowness=standing.slowness,
            samples=standing.samples,
            out_until_s=now_s + OUT_S,
        )


def _smoothed(before, slowness):
    if before is None:
        return Standing(slowness=slowness, samples=1)
    smoothed = before.slowness + SMOOTHING * (slowness - before.slowness)
    return Standing(
        slowness=smoothed,
        samples=before.samples + 1,
        out_until_s=before.out_until_s,
    )
