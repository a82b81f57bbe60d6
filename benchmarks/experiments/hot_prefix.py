"""Measures cache use and load balance when most prompts share a long prefix.

Seven in ten requests of all callers begin with one catalogue of 6,144 tokens
and get short answers, so that prefill is the bottleneck.  The offered load is
1.5 times the capacity without caching.  Goodput thus depends on cache hits,
but an engine that receives all these requests by affinity is overloaded.
"""

from dataclasses import replace

from benchmarks.comparison import compare
from benchmarks.runner import run as run_scenario
from benchmarks.scenario import steady, with_shares

SUMMARY = "seven in ten prompts begin with one long text"
HOT_SHARE = 0.7
HOT_PREFIX_TOKENS = 6_144
LOAD = 1.5


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("hot-prefix", measure_prefix, seed=seed)


def measure_prefix(deployment, router, seed):
    """Return the ``Measures`` of one router."""
    hot = tuple(
        replace(
            caller,
            prefix="hot catalogue",
            prefix_tokens=HOT_PREFIX_TOKENS,
            prompt_tokens=256,
            output_tokens=60,
        )
        for caller in deployment.callers
    )
    callers = with_shares(
        hot + deployment.callers,
        [HOT_SHARE] * len(hot) + [1.0 - HOT_SHARE] * len(hot),
    )
    scenario = steady(deployment, LOAD, callers=callers)
    return run_scenario(scenario, router, seed=seed)
