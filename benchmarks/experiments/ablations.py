"""Measures the policy with each of its modules disabled in turn.

Every variant runs in all experiments, among them the one that exercises its
module.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks.ablations import ABLATIONS
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.experiments import (
    hot_caller,
    hot_prefix,
    long_among_short,
    slow_upstream,
)
from benchmarks.measures import Measures
from benchmarks.runner import run as run_scenario
from benchmarks.scenario import steady

SUMMARY = "each module of the policy off in turn"
WORKERS = 4
OVERLOAD = 1.5


@dataclass(frozen=True, kw_only=True)
class Ablations:
    """Measures by deployment, experiment and disabled module."""

    experiment: str
    seed: int
    deployments: dict[str, dict[str, dict[str, Measures]]]

    def render(self):
        """Return goodput and waste of each run, one run per line."""
        return "\n".join(
            f"{deployment:9} {name:17} {disabled:16}"
            f" goodput {measures.goodput:.3f}"
            f" wasted {measures.wasted_prefill:.4f}"
            f" late {measures.late:.3f} polite"
            f" {measures.details.get('polite_kept', 0.0):.3f}"
            f" long {measures.details.get('goodput_long', 0.0):.3f}"
            for deployment, by_name in self.deployments.items()
            for name, by_disabled in by_name.items()
            for disabled, measures in by_disabled.items()
        )


def _overload(deployment, router, seed):
    return run_scenario(steady(deployment, OVERLOAD), router, seed=seed)


MEASURES = {
    "overload": _overload,
    "hot-caller": hot_caller.measure_hot,
    "hot-prefix": hot_prefix.measure_prefix,
    "slow-upstream": slow_upstream.measure_slow,
    "long-among-short": long_among_short.measure_mix,
}


def run(*, seed):
    """Return ``Ablations``."""
    jobs = [
        (deployment, name, disabled, seed)
        for deployment in DEPLOYMENTS
        for name in MEASURES
        for disabled in ABLATIONS
    ]
    deployments = {deployment.name: {} for deployment in DEPLOYMENTS}
    with ProcessPoolExecutor(WORKERS) as workers:
        for job, measures in zip(
            jobs, workers.map(_run_job, jobs), strict=True
        ):
            deployment, name, disabled, _ = job
            by_disabled = deployments[deployment.name].setdefault(name, {})
            by_disabled[disabled] = measures
    return Ablations(
        experiment="ablations", seed=seed, deployments=deployments
    )


def _run_job(job):
    deployment, name, disabled, seed = job
    return MEASURES[name](deployment, ABLATIONS[disabled], seed)
