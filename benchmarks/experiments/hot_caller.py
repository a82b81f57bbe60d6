"""Measures fairness beside a noisy neighbour.

One hot caller sends twice the capacity; the others, the polite callers,
together send half of the capacity.  Their goodput is compared with that of the
same callers without the hot one.
"""

from benchmarks.comparison import compare
from benchmarks.measures import goodput_of, measure
from benchmarks.runner import replay
from benchmarks.scenario import steady, with_shares

SUMMARY = "one caller sends 2 times capacity beside polite callers"
POLITE_LOAD = 0.5
HOT_LOAD = 2.0


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("hot-caller", measure_hot, seed=seed)


def measure_hot(deployment, router, seed):
    """Return the measures and the goodput of the polite callers."""
    hot, *polite = deployment.callers
    scenario = steady(
        deployment,
        POLITE_LOAD + HOT_LOAD,
        callers=with_shares(
            deployment.callers,
            [HOT_LOAD] + [POLITE_LOAD / len(polite)] * len(polite),
        ),
        capacity_per_s=deployment.capacity_per_s(),
    )
    requests, engines = replay(scenario, router, seed=seed)
    beside = goodput_of(scenario, requests, lambda w: w.caller != hot.caller)
    alone = _alone(deployment, tuple(polite), router, seed)
    return measure(scenario, requests, engines).with_details(
        polite_alone=alone,
        polite_beside_hot=beside,
        polite_kept=beside / alone,
    )


def _alone(deployment, polite, router, seed):
    scenario = steady(
        deployment,
        POLITE_LOAD,
        callers=with_shares(polite, [1.0] * len(polite)),
        capacity_per_s=deployment.capacity_per_s(),
    )
    requests, _ = replay(scenario, router, seed=seed)
    return goodput_of(scenario, requests, lambda work: True)
