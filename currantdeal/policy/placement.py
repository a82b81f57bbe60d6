"""Placement: which decode and which prefill engine serve a request.

The load pattern is a pool of many engines whose load is known with a lag.
Choosing at random ignores what is known; choosing the best of all sends every
entry's next request to the same engine until the next report.  A few
candidates are sampled and the best of them is taken [1]_, so that a decision
costs the same with 680 upstreams as with ten and entries do not herd.

Decode comes first, because its memory is scarce: candidates are compared by
the share of memory that would be in use.  Prefill is chosen for the decode
engine found: the wait for its queue, the time of computing what is not
cached, and the transfer.  What a candidate is believed to have cached counts
as tokens saved, so a hot prefix attracts work until the queue there is longer
than computing it anew elsewhere; then it is computed there and spread.

Crossing regions costs the one-way delay and a price for the volume, given in
seconds per gigabyte: traffic crosses only when that buys more time than it
costs.  Candidates: four sampled from the own region, two from the others, and
up to two that may hold the prefix; twice as many cost twice the time and gave
no more goodput.

References
----------

.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load
   Balancing", 2001.
"""

import math
from dataclasses import dataclass
from heapq import nlargest

from currantdeal.core import Role, Upstream
from currantdeal.policy.outliers import slow_group

NEAR_SAMPLES = 4
FAR_SAMPLES = 2
MAX_HOLDERS = 2
FAR_DELAY_S = 0.012
FAR_S_PER_GB = 0.2
DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
FULL_PENALTY_S = 1.0
SPREAD_S = 0.05


@dataclass(frozen=True, kw_only=True)
class Choice:
    """Where a request goes.

    Parameters
    ----------
    decode, prefill : Upstream
        The engines; the same one when it serves both roles.
    cached_tokens : float
        Leading prompt tokens believed to be cached at the prefill engine.
    prefill_s : float
        Predicted time until the prefill has ended, in seconds.
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
        Draws the candidates.
    hints : PrefixHints
        Where prefixes may be cached.
    slow : SlowUpstreams
        Which upstreams to leave out.
    """

    def __init__(self, *, rng, hints, slow):
        """Keep what decisions rest on."""
        self._rng = rng
        self._hints = hints
        self._slow = slow
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
        full=(),
        wanted=None,
    ):
        """Return a ``Choice``, or None when no engine is left.

        Parameters
        ----------
        prefills, decodes : tuple of Upstream
            Those that the selectors allow; the same tuple object as long as
            nothing changed, which saves sorting them by region again.
        load : LoadView
            Believed loads.
        tokens : int
            Tokens of prompt and expected output, to be held in memory.
        full : collection of UpstreamId
            Engines whose homes refused the work a moment ago.
        wanted : UpstreamId, optional
            The decode engine that the work waits for, if still allowed.
        """
        decode = self._pool(decodes).by_name.get(wanted)
        if decode is None:
            decode = self._choose_decode(
                work, decodes, load, tokens, now_s, full
            )
        if decode is None:
            return None
        return self._choose_prefill(work, prefills, decode, load, now_s, full)

    def _choose_decode(self, work, decodes, load, tokens, now_s, full):
        found = self._candidates(
            self._pool(decodes), work, work.region, Role.DECODE, {}, now_s
        )
        best = None
        for upstream in found:
            if upstream.upstream_id in full:
                continue
            believed = load.get(upstream.upstream_id, now_s=now_s)
            score = _decode_price(work, upstream, believed, tokens)
            score += self._rng.random() * SPREAD_S
            if best is None or score < best[0]:
                best = (score, upstream)
        return best[1] if best else None

    def _choose_prefill(self, work, prefills, decode, load, now_s, full):
        held = self._hints.holders(work.prefix_keys, now_s=now_s)
        found = self._candidates(
            self._pool(prefills),
            work,
            decode.region,
            Role.PREFILL,
            held,
            now_s,
        )
        best = None
        for upstream in found:
            if upstream.upstream_id in full:
                continue
            believed = load.get(upstream.upstream_id, now_s=now_s)
            cached = held.get(upstream.upstream_id, 0.0)
            times = _times(work, decode, upstream, cached, believed)
            score = _price(work, decode, upstream, times)
            if best is None or score < best[0]:
                best = (score, upstream, cached, times)
        return _choice(work, decode, best) if best else None

    def _candidates(self, pool, work, region, role, held, now_s):
        group = slow_group(work, role)
        found = _sample(self._rng, pool.near(region), NEAR_SAMPLES)
        found += _sample(self._rng, pool.far(region), FAR_SAMPLES)
        if held:
            names = {upstream.upstream_id for upstream in found}
            best = nlargest(MAX_HOLDERS, held, key=held.get)
            found += [
                pool.by_name[name]
                for name in best
                if name in pool.by_name and name not in names
            ]
        healthy = [
            up
            for up in found
            if not self._slow.is_out(group, up.upstream_id, now_s=now_s)
        ]
        return healthy or found

    def _pool(self, upstreams):
        known = self._pools.get(id(upstreams))
        if known is None or known.upstreams is not upstreams:
            if len(self._pools) > 64:
                self._pools.clear()
            known = self._pools[id(upstreams)] = _Pool(upstreams)
        return known


class _Pool:
    """Allowed upstreams, sorted by region once."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.by_name = {up.upstream_id: up for up in upstreams}
        self._near = {}
        self._far = {}

    def near(self, region):
        if region not in self._near:
            self._near[region] = [
                up for up in self.upstreams if up.region == region
            ]
        return self._near[region]

    def far(self, region):
        if region not in self._far:
            self._far[region] = [
                up for up in self.upstreams if up.region != region
            ]
        return self._far[region]


def _sample(rng, upstreams, wanted):
    if len(upstreams) <= wanted:
        return list(upstreams)
    # Drawn with repeats, which do no harm among a few of many and take a
    # third of the time of random.sample.
    count = len(upstreams)
    return [upstreams[int(rng.random() * count)] for _ in range(wanted)]


def _decode_price(work, upstream, believed, tokens):
    total = max(1, upstream.pieces_total)
    free = total if believed.pieces_free is None else believed.pieces_free
    left = free - tokens // upstream.tokens_per_piece
    price_s = 1.0 - max(0, left) / total
    if left < 0:
        price_s += FULL_PENALTY_S
    if upstream.region != work.region:
        price_s += FAR_DELAY_S
    return price_s


def _times(work, decode, prefill, cached, believed):
    rate = believed.prefill_tokens_per_s or DEFAULT_PREFILL_TOKENS_PER_S
    to_compute = max(0.0, work.prompt_tokens - cached)
    prefill_s = (believed.queued_tokens + to_compute) / rate
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
    far = prefill.region != decode.region
    return moving_s + (FAR_DELAY_S if far else 0.0)


def _price(work, decode, prefill, times):
    price_s = sum(times)
    if prefill.region != decode.region:
        kv_bytes = work.prompt_tokens * prefill.kv_bytes_per_token
        price_s += FAR_S_PER_GB * kv_bytes / 1e9
    return price_s
