"""Computes latencies, goodput and waste from the requests of a run."""

from dataclasses import dataclass, field, replace

from benchmarks.scenario import WARM_UP_S


@dataclass(frozen=True, kw_only=True)
class Measures:
    """Figures of one run.

    Parameters
    ----------
    offered_per_s : float
        Requests offered a second.
    goodput : float
        Share of offered requests answered within both targets.
    wasted_prefill : float
        Share of prefilled tokens whose result was discarded.
    ttft_p95_s, itl_p95_ms : float
        95th percentiles over the requests answered in full: time to first
        output, and each request's mean time between outputs.
    refused, late : float
        Shares of offered requests that were refused, and that were answered
        or abandoned outside the targets.
    violations : int
        Violated promises: memory held at the end, requests that never ended,
        and "not run" refusals of work that ran.
    details : dict
        Figures of a single experiment, by name.
    """

    offered_per_s: float
    goodput: float
    wasted_prefill: float
    ttft_p95_s: float
    itl_p95_ms: float
    refused: float
    late: float
    violations: int
    details: dict[str, float] = field(default_factory=dict)

    def with_details(self, **details):
        """Return the same figures with more details."""
        return replace(self, details={**self.details, **details})

    @property
    def good_per_s(self):
        """Requests a second answered within both targets."""
        return self.goodput * self.offered_per_s


def measure(scenario, requests, engines):
    """Return the ``Measures`` of a run after its warm-up."""
    deployment = scenario.deployment
    counted = [req for req in requests if req.work.arrived_s >= WARM_UP_S]
    done = [req for req in counted if req.done]
    good = sum(1 for req in done if is_good(req, deployment))
    refused = sum(1 for req in counted if req.refused)
    total = max(1, len(counted))
    computed = sum(req.computed_tokens for req in counted)
    useful = sum(req.useful_tokens for req in counted)
    return Measures(
        offered_per_s=total / scenario.measured_s,
        goodput=good / total,
        wasted_prefill=1.0 - useful / computed if computed else 0.0,
        ttft_p95_s=_p95([_ttft_s(req) for req in done]),
        itl_p95_ms=1000.0 * _p95([itl_s(req) for req in done]),
        refused=refused / total,
        late=(total - good - refused) / total,
        violations=_violations(counted, engines),
    )


def is_good(request, deployment):
    """Return True if a request was answered within both targets."""
    return (
        request.done
        and _ttft_s(request) <= deployment.ttft_target_s
        and itl_s(request) <= deployment.itl_target_s
    )


def itl_s(request):
    """Return the mean time between the outputs of a request, in seconds."""
    if request.tokens < 2:
        return 0.0
    return (request.last_s - request.first_s) / (request.tokens - 1)


def _ttft_s(request):
    return request.first_s - request.work.arrived_s


def goodput_of(scenario, requests, wanted):
    """Return the goodput among the measured requests that match a filter.

    Parameters
    ----------
    wanted : callable
        Returns True for the work of a request that counts.
    """
    deployment = scenario.deployment
    counted = [
        req
        for req in requests
        if req.work.arrived_s >= WARM_UP_S and wanted(req.work)
    ]
    good = sum(1 for req in counted if is_good(req, deployment))
    return good / max(1, len(counted))


def _violations(requests, engines):
    open_ended = sum(
        1 for req in requests if not (req.done or req.refused or req.cancelled)
    )
    held = sum(1 for eng in engines.values() if eng.memory.held)
    return open_ended + held


def _p95(values):
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
