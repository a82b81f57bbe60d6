"""Defines variants of the product's policy with one module disabled.

``bin/bench ablations`` runs each variant to show what its module contributes.
"""

from functools import partial

from benchmarks.current import Current
from currantdeal.policy import (
    Admission,
    Admitted,
    FairQueue,
    Ledger,
    LedgerGrant,
    OutlierDetector,
    OutputLengths,
    Placement,
    PrefixHints,
    Scheduler,
    WaitQueue,
)


class _AdmitAll(Admission):
    def decide(self, **_):
        return Admitted(predicted_s=0.0)


class _FirstComeFirstServed(FairQueue):
    """Serves first come, first served, without regard to the caller."""

    def push(self, work, *, cost_s):
        super().push(work, cost_s=0.0)

    def _enter(self, caller):
        self._virtual += 1.0
        super()._enter(caller)


class _GrantAll(Ledger):
    """Grants everything without reserving anything.

    Only delayed load reports and the choice among sampled engines limit the
    load of an engine.
    """

    def reserve(self, request, *, now_s):
        return LedgerGrant(
            request=request, pieces=0, start_in_s=0.0, ends_s=now_s
        )

    def grow(self, request_id, *, pieces):
        return True


class _AlwaysNext(WaitQueue):
    def is_next(self, request_id, caller, *, now_s):
        return True


class _NoWaiters(Ledger):
    def __init__(self, *, limits):
        super().__init__(limits=limits)
        self._wait_queue = _AlwaysNext()


class _NoBatchLimit(Ledger):
    def record_report(self, *, running, step_s):
        pass


class _MaximumLength(OutputLengths):
    def expected(self, *, max_output_tokens, **_):
        return max_output_tokens


class _NoHints(PrefixHints):
    def record(self, upstream_id, prefix_keys, *, now_s):
        pass


class _NonExpiringHints(PrefixHints):
    def _confidence(self, seen_s, now_s):
        return 1.0


class _NeverSlow(OutlierDetector):
    def is_ejected(self, group, upstream_id, *, now_s):
        return False


class _AnyEngine(Placement):
    def _candidates(self, pool, work, region, role, held, now_s):
        return [self._rng.choice(pool.upstreams)] if pool.upstreams else []


def _with_parts(**makers):
    def make(*, rng, **fields):
        parts = {name: maker(rng) for name, maker in makers.items()}
        return Scheduler(rng=rng, **{**fields, **parts})

    return partial(Current, make_scheduler=make)


def _placement(rng):
    return _AnyEngine(rng=rng, hints=PrefixHints(), outliers=OutlierDetector())


ABLATIONS = {
    "current": Current,
    "no-admission": _with_parts(admission=lambda rng: _AdmitAll(rng=rng)),
    "no-fair-queue": _with_parts(queue=lambda rng: _FirstComeFirstServed()),
    "no-ledger": partial(Current, make_ledger=_GrantAll),
    "no-waiters": partial(Current, make_ledger=_NoWaiters),
    "no-batch-limit": partial(Current, make_ledger=_NoBatchLimit),
    "no-lengths": _with_parts(lengths=lambda rng: _MaximumLength()),
    "no-prefix-hints": _with_parts(hints=lambda rng: _NoHints()),
    "ageless-hints": _with_parts(hints=lambda rng: _NonExpiringHints()),
    "no-outliers": _with_parts(outliers=lambda rng: _NeverSlow()),
    "no-placement": _with_parts(placement=_placement),
}
