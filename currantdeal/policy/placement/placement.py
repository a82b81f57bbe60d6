"""Choose the decode engine and the prefill engine for a request.

Load pattern: thundering herd on stale load reports.  The load of many engines
is known with a lag.  A random choice ignores the reports; choosing the best of
all engines sends the next request of every entry to the same engine until the
next report.  So a few candidates are sampled and the best of them is taken
[1]_: a decision costs the same with 680 upstreams as with ten, and entries
spread their requests.

The decode engine is chosen first, because its memory is the scarce resource:
candidates are compared by the share of memory that would be in use.  The
prefill engine is then chosen for that decode engine, by the sum of its
queueing time, the time to compute the tokens that are not cached, and the
transfer time.  Tokens that a candidate probably has cached need not be
computed, so a hot prefix attracts requests until the queue there takes longer
than computing the prefix elsewhere; it is then computed elsewhere, and more
engines hold it.

A choice in another region costs the one-way network delay and, for the KV
cache transferred, a price in seconds per gigabyte, so that traffic crosses
regions only when this saves more time than it costs.  Candidates are four
sampled from the own region, two from other regions, and up to two that may
hold the prefix.  Twice as many candidates double the cost of a decision and
give no more goodput.

References
----------

.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
   Balancing", 2001.
"""

import math
from dataclasses import dataclass
from heapq import nlargest

from currantdeal.core import Role, Upstream
from currantdeal.policy.health.outliers import peer_group

SAME_REGION_SAMPLES = 4
OTHER_REGION_SAMPLES = 2
MAX_PREFIX_HOLDERS = 2
CROSS_REGION_DELAY_S = 0.012
CROSS_REGION_S_PER_GB = 0.2
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
FULL_PENALTY_S = 1.0
"""Added to the cost of a decode engine that lacks memory for the request."""

JITTER_S = 0.05
"""Random addition to the cost of a decode engine."""


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The engines chosen for a request.

    Parameters
    ----------
    decode, prefill : Upstream
        The chosen engines; the same one if it serves both roles.
    cached_tokens : float
        Leading prompt tokens expected in the prefill engine's cache.
    prefill_s : float
        Predicted time until the prefill ends, in seconds.
    transfer_s : float
        Predicted time of the transfer, in seconds.
    """

    decode: Upstream
    prefill: Upstream
    cached_tokens: float
    prefill_s: float
    transfer_s: float


class Placement:
    """Chooses engines for one instance.

    Parameters
    ----------
    rng : random.Random
        Samples the candidates.
    hints : PrefixHints
        Upstreams that may have a prefix cached.
    outliers : OutlierDetector
        Outlier detector; ejected upstreams are not chosen.
    """

    def __init__(self, *, rng, hints, outliers):
        """Store the inputs of decisions."""
        self._rng = rng
        self._hints = hints
        self._outliers = outliers
        self._pools = {}

    def choose(
        self,
        work,
        *,
        prefills,
        decodes,
        load,
        tokens,
        now_s,
        excluded=(),
        preferred=None,
    ):
        """Return a ``Choice``, or None if no engine is available.

        Parameters
        ----------
        prefills, decodes : tuple of Upstream
            Upstreams that the selectors allow.  Their grouping by region is
            cached by tuple object, so callers should pass the same object
            until the pool changes.
        load : LoadView
            Estimated loads.
        tokens : int
            Tokens of prompt and expected output that need memory.
        excluded : collection of UpstreamId
            Engines that recently failed or refused the work.
        preferred : UpstreamId, optional
            The decode engine that the work waits for; chosen if it is still
            allowed.
        """
        decode = self._pool(decodes).by_name.get(preferred)
        if decode is None:
            decode = self._choose_decode(
                work, decodes, load, tokens, now_s, excluded
            )
        if decode is None:
            return None
        return self._choose_prefill(
            work, prefills, decode, load, now_s, excluded
        )

    def _choose_decode(self, work, decodes, load, tokens, now_s, excluded):
        candidates = self._candidates(
            self._pool(decodes), work, work.region, Role.DECODE, {}, now_s
        )
        best = None
        for upstream in candidates:
            if upstream.upstream_id in excluded:
                continue
            estimate = load.get(upstream.upstream_id, now_s=now_s)
            score = _decode_cost_s(work, upstream, estimate, tokens)
            score += self._rng.random() * JITTER_S
            if best is None or score < best[0]:
                best = (score, upstream)
        return best[1] if best else None

    def _choose_prefill(self, work, prefills, decode, load, now_s, excluded):
        holders = self._hints.holders(work.prefix_keys, now_s=now_s)
        candidates = self._candidates(
            self._pool(prefills),
            work,
            decode.region,
            Role.PREFILL,
            holders,
            now_s,
        )
        best = None
        for upstream in candidates:
            if upstream.upstream_id in excluded:
                continue
            estimate = load.get(upstream.upstream_id, now_s=now_s)
            cached = holders.get(upstream.upstream_id, 0.0)
            times = _times(work, decode, upstream, cached, estimate)
            score = _prefill_cost_s(work, decode, upstream, times)
            if best is None or score < best[0]:
                best = (score, upstream, cached, times)
        return _choice(work, decode, best) if best else None

    def _candidates(self, pool, work, region, role, holders, now_s):
        group = peer_group(work, role)
        candidates = _sample(
            self._rng, pool.same_region(region), SAME_REGION_SAMPLES
        )
        candidates += _sample(
            self._rng, pool.other_regions(region), OTHER_REGION_SAMPLES
        )
        if holders:
            names = {upstream.upstream_id for upstream in candidates}
            best = nlargest(MAX_PREFIX_HOLDERS, holders, key=holders.get)
            candidates += [
                pool.by_name[name]
                for name in best
                if name in pool.by_name and name not in names
            ]
        healthy = [
            up
            for up in candidates
            if not self._outliers.is_ejected(
                group, up.upstream_id, now_s=now_s
            )
        ]
        return healthy or candidates

    def _pool(self, upstreams):
        pool = self._pools.get(id(upstreams))
        if pool is None or pool.upstreams is not upstreams:
            if len(self._pools) > 64:
                self._pools.clear()
            pool = self._pools[id(upstreams)] = _Pool(upstreams)
        return pool


class _Pool:
    """Allowed upstreams, grouped by region on first use."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.by_name = {up.upstream_id: up for up in upstreams}
        self._same_region = {}
        self._other_regions = {}

    def same_region(self, region):
        if region not in self._same_region:
            self._same_region[region] = [
                up for up in self.upstreams if up.region == region
            ]
        return self._same_region[region]

    def other_regions(self, region):
        if region not in self._other_regions:
            self._other_regions[region] = [
                up for up in self.upstreams if up.region != region
            ]
        return self._other_regions[region]


def _sample(rng, upstreams, size):
    if len(upstreams) <= size:
        return list(upstreams)
    # Sampling with replacement takes a third of the time of random.sample;
    # repeats do no harm when a few of many are sampled.
    count = len(upstreams)
    return [upstreams[int(rng.random() * count)] for _ in range(size)]


def _decode_cost_s(work, upstream, estimate, tokens):
    total = max(1, upstream.pieces_total)
    free = total if estimate.pieces_free is None else estimate.pieces_free
    left = free - tokens // upstream.tokens_per_piece
    cost_s = 1.0 - max(0, left) / total
    if left < 0:
        cost_s += FULL_PENALTY_S
    if upstream.region != work.region:
        cost_s += CROSS_REGION_DELAY_S
    return cost_s


def _times(work, decode, prefill, cached, estimate):
    rate = estimate.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
    to_compute = max(0.0, work.prompt_tokens - cached)
    prefill_s = (estimate.queued_tokens + to_compute) / rate
    return prefill_s, _transfer_s(work, prefill, decode)


def _choice(work, decode, best):
    _, prefill, cached, (prefill_s, transfer_s) = best
    return Choice(
        decode=decode,
        prefill=prefill,
        cached_tokens=min(cached, work.prompt_tokens),
        prefill_s=prefill_s,
        transfer_s=transfer_s,
    )


def _transfer_s(work, prefill, decode):
    if prefill.upstream_id == decode.upstream_id:
        return 0.0
    rate = min(
        prefill.link_bytes_per_s or math.inf,
        decode.link_bytes_per_s or math.inf,
    )
    moving_s = work.prompt_tokens * prefill.kv_bytes_per_token / rate
    crosses = prefill.region != decode.region
    return moving_s + (CROSS_REGION_DELAY_S if crosses else 0.0)


def _prefill_cost_s(work, decode, prefill, times):
    cost_s = sum(times)
    if prefill.region != decode.region:
        kv_bytes = work.prompt_tokens * prefill.kv_bytes_per_token
        cost_s += CROSS_REGION_S_PER_GB * kv_bytes / 1e9
    return cost_s
