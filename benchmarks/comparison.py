"""Compares routers on the same arrivals, for both users' deployments.

Without other routers, these are the baseline and the current policy.
"""

from dataclasses import dataclass

from benchmarks.baseline import Baseline
from benchmarks.current import Current
from benchmarks.deployments import DEPLOYMENTS
from benchmarks.measures import Measures

ROUTERS = {"baseline": Baseline, "current": Current}


@dataclass(frozen=True, kw_only=True)
class Comparison:
    """Result of one experiment.

    Parameters
    ----------
    deployments : dict
        ``Measures`` by deployment name and router name.
    """

    experiment: str
    seed: int
    deployments: dict[str, dict[str, Measures]]

    def render(self):
        """Return a human-readable table."""
        lines = [f"{self.experiment}, seed {self.seed}"]
        for name, routers in self.deployments.items():
            for router, measures in routers.items():
                lines.append(_line(f"{name} {router}", measures))
                lines.extend(
                    f"    {key} {value:.3f}"
                    for key, value in measures.details.items()
                )
        return "\n".join(lines)


def compare(experiment, measure_one, *, seed, routers=None):
    """Return a ``Comparison``.

    Parameters
    ----------
    measure_one : callable
        Returns ``Measures`` for a deployment, a router class and a seed.
    routers : dict, optional
        Router classes by name; by default ``ROUTERS``.
    """
    routers = routers or ROUTERS
    return Comparison(
        experiment=experiment,
        seed=seed,
        deployments={
            deployment.name: {
                name: measure_one(deployment, router, seed)
                for name, router in routers.items()
            }
            for deployment in DEPLOYMENTS
        },
    )


def _line(name, measures):
    return (
        f"{name:20} goodput {measures.goodput:.3f}"
        f" ({measures.good_per_s:.2f}/s of {measures.offered_per_s:.2f}/s)"
        f" wasted {measures.wasted_prefill:.4f}"
        f" ttft p95 {measures.ttft_p95_s:.2f} s"
        f" itl p95 {measures.itl_p95_ms:.1f} ms"
        f" refused {measures.refused:.3f} late {measures.late:.3f}"
        f" violations {measures.violations}"
    )
