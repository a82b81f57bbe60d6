"""One decode engine gets four times slower without failing."""

from benchmarks.comparison import compare
from benchmarks.measures import goodput_of, measure
from benchmarks.runner import replay
from benchmarks.scenario import steady

SUMMARY = "one decode engine gets 4 times slower"
LOAD = 0.6
FACTOR = 4.0
SLOW_FROM_S = 20.0
FOUND_S = 10.0


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("slow-upstream", measure_slow, seed=seed)


def measure_slow(deployment, router, seed):
    """Return the measures, and goodput ten seconds after it got slow."""
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
        lambda work: work.arrived_s >= SLOW_FROM_S + FOUND_S,
    )
    found = measure(scenario, requests, engines)
    return found.with_details(goodput_once_found=after)
