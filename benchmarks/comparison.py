"""Baseline and current policy on the same arrivals, for both users."""

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
        From a deployment's name and a router's name to ``Measures``.
    """

    experiment: str
    seed: int
    deployments: dict[str, dict[str, Measures]]

    def render(self):
        """Return a table for people."""
        lines = [f"{self.experiment}, seed {self.seed}"]
        for name, routers in self.deployments.items():
            for router, found in routers.items():
                lines.append(_line(f"{name} {router}", found))
                lines.extend(
                    f"    {key} {value:.3f}"
                    for key, value in found.details.items()
                )
        return "\n".join(lines)


def compare(experiment, measure_one, *, seed, routers=None):
    """Return a ``Comparison``.

    Parameters
    ----------
    measure_one : callable
        From a deployment, a router class and a seed to ``Measures``.
    routers : dict, optional
        Router classes by name; baseline and current when left out.
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


def _line(name, found):
    return (
        f"{name:20} goodput {found.goodput:.3f}"
        f" ({found.good_per_s:.2f}/s of {found.offered_per_s:.2f}/s)"
        f" wasted {found.wasted_prefill:.4f}"
        f" ttft p95 {found.ttft_p95_s:.2f} s"
        f" itl p95 {found.itl_p95_ms:.1f} ms"
        f" refused {found.refused:.3f} late {found.late:.3f}"
        f" violations {found.violations}"
    )
