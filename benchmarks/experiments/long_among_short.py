"""Measures head-of-line blocking between long and short requests.

One request in ten has a prompt of some ten thousand tokens and a long answer;
the others are short.  The load is slightly above capacity.  Neither kind
should lose goodput because of the other.
"""

from dataclasses import replace

from benchmarks.comparison import compare
from benchmarks.measures import goodput_of, measure
from benchmarks.runner import replay
from benchmarks.scenario import steady, with_shares

SUMMARY = "one request in ten is long, at 1.2 times capacity"
LOAD = 1.2
LONG_SHARE = 0.1
LONG_PROMPT_TOKENS = 9_000
LONG_OUTPUT_TOKENS = 600
SHORT_PROMPT_TOKENS = 400
SHORT_OUTPUT_TOKENS = 120
LONG_FROM_TOKENS = 4_000


def run(*, seed):
    """Return a ``Comparison``."""
    return compare("long-among-short", measure_mix, seed=seed)


def measure_mix(deployment, router, seed):
    """Return the measures and the goodput of each kind."""
    scenario = steady(deployment, LOAD, callers=_mix(deployment.callers))
    requests, engines = replay(scenario, router, seed=seed)
    measures = measure(scenario, requests, engines)
    return measures.with_details(
        goodput_short=goodput_of(scenario, requests, lambda w: not _long(w)),
        goodput_long=goodput_of(scenario, requests, _long),
    )


def _mix(callers):
    long = tuple(
        replace(
            caller,
            prefix_tokens=0,
            prompt_tokens=LONG_PROMPT_TOKENS,
            output_tokens=LONG_OUTPUT_TOKENS,
        )
        for caller in callers
    )
    short = tuple(
        replace(
            caller,
            prefix_tokens=0,
            prompt_tokens=SHORT_PROMPT_TOKENS,
            output_tokens=SHORT_OUTPUT_TOKENS,
        )
        for caller in callers
    )
    shares = [LONG_SHARE] * len(long) + [1.0 - LONG_SHARE] * len(short)
    return with_shares(long + short, shares)


def _long(work):
    return work.prompt_tokens >= LONG_FROM_TOKENS
