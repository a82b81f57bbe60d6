"""Measures recovery from a burst of 4 times capacity for five seconds.

The load before and after the burst is below capacity.
"""

from benchmarks.comparison import compare
from benchmarks.measures import goodput_of, measure
from benchmarks.runner import replay
from benchmarks.scenario import Phase, Scenario

SUMMARY = "five seconds of 4 times capacity within 0.7 times capacity"
QUIET_LOAD = 0.7
BURST_LOAD = 4.0
BURST_FROM_S = 20.0
BURST_UNTIL_S = 25.0
AFTER_S = 10.0


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("burst", measure_burst, seed=seed)


def measure_burst(deployment, router, seed):
    """Return the measures, and the goodput during and well after the burst."""
    scenario = Scenario(
        deployment=deployment,
        phases=(
            Phase(from_s=0.0, load=QUIET_LOAD),
            Phase(from_s=BURST_FROM_S, load=BURST_LOAD),
            Phase(from_s=BURST_UNTIL_S, load=QUIET_LOAD),
        ),
    )
    requests, engines = replay(scenario, router, seed=seed)
    measures = measure(scenario, requests, engines)
    return measures.with_details(
        goodput_in_burst=goodput_of(scenario, requests, _in_burst),
        goodput_after=goodput_of(scenario, requests, _is_after),
    )


def _in_burst(work):
    return BURST_FROM_S <= work.arrived_s < BURST_UNTIL_S


def _is_after(work):
    return work.arrived_s >= BURST_UNTIL_S + AFTER_S
