"""Measures offered loads from half of capacity to three times capacity.

The main figures are those at 1.5 times capacity.  The details give goodput and
waste at every load and, for loads beyond capacity, the good answers a second
relative to those at capacity.
"""

from benchmarks.comparison import compare
from benchmarks.runner import run as run_scenario
from benchmarks.scenario import steady

SUMMARY = "offered load from 0.5 to 3 times capacity"
LOADS = (0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0)
MAIN_LOAD = 1.5


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("overload", measure_loads, seed=seed)


def measure_loads(deployment, router, seed):
    """Return the measures of one router at the main load, with all loads."""
    by_load = {
        load: run_scenario(steady(deployment, load), router, seed=seed)
        for load in LOADS
    }
    details = {}
    for load, measures in by_load.items():
        details[f"goodput_at_{load}"] = measures.goodput
        details[f"wasted_prefill_at_{load}"] = measures.wasted_prefill
    at_capacity = by_load[1.0].good_per_s
    for load in LOADS:
        if load > 1.0:
            details[f"kept_at_{load}"] = by_load[load].good_per_s / at_capacity
    return by_load[MAIN_LOAD].with_details(**details)
