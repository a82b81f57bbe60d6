"""Each module off in turn, in the experiment that is meant for it."""

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
    """Measures by deployment, experiment and what was off."""

    experiment: str
    seed: int
    deployments: dict[str, dict[str, dict[str, Measures]]]

    def render(self):
        """Return goodput and waste of each run, one a line."""
        return "\n".join(
            f"{deployment:9} {name:17} {off:16}"
            f" goodput {found.goodput:.3f} wasted {found.wasted_prefill:.4f}"
            f" late {found.late:.3f} polite"
            f" {found.details.get('polite_kept', 0.0):.3f}"
            f" long {found.details.get('goodput_long', 0.0):.3f}"
            for deployment, by_name in self.deployments.items()
            for name, by_off in by_name.items()
            for off, found in by_off.items()
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
        (deployment, name, off, seed)
        for deployment in DEPLOYMENTS
        for name in MEASURES
        for off in ABLATIONS
    ]
    deployments = {deployment.name: {} for deployment in DEPLOYMENTS}
    with ProcessPoolExecutor(WORKERS) as workers:
        for job, found in zip(jobs, workers.map(_one, jobs), strict=True):
            deployment, name, off, _ = job
            by_off = deployments[deployment.name].setdefault(name, {})
            by_off[off] = found
    return Ablations(
        experiment="ablations", seed=seed, deployments=deployments
    )


def _one(job):
    deployment, name, off, seed = job
    return MEASURES[name](deployment, ABLATIONS[off], seed)
