"""Measures a gray failure: a decode engine becomes 4 times slower.

The engine reports no errors.
"""

from benchmarks.comparison import compare
from benchmarks.measures import goodput_of, measure
from benchmarks.runner import replay
from benchmarks.scenario import steady

SUMMARY = "one decode engine gets 4 times slower"
LOAD = 0.6
FACTOR = 4.0
SLOW_FROM_S = 20.0
DETECTION_S = 10.0


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("slow-upstream", measure_slow, seed=seed)


def measure_slow(deployment, router, seed):
    """Return the measures, and the goodput from 10 s after the slowdown."""
    scenario = steady(
        deployment,
        LOAD,
        slow_engine=f"decode-{deployment.prefill_engines}",
        slow_factor=FACTOR,
        slow_from_s=SLOW_FROM_S,
    )
    requests, engines = replay(scenario, router, seed=seed)
    after = goodput_of(
        scenario,
        requests,
        lambda work: work.arrived_s >= SLOW_FROM_S + DETECTION_S,
    )
    measures = measure(scenario, requests, engines)
    return measures.with_details(goodput_once_found=after)
