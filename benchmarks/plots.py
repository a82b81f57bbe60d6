"""Plots goodput and wasted prefill over the offered load.

Run by ``bin/plot-load FOLDER``.  Each deployment gets one picture, which shows
means over three seeds.
"""

import os
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click
import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from benchmarks.comparison import ROUTERS  # noqa: E402
from benchmarks.deployments import DEPLOYMENTS  # noqa: E402
from benchmarks.runner import run  # noqa: E402
from benchmarks.scenario import steady  # noqa: E402

LOADS = (0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 2.5, 3.0)
SEEDS = (1, 2, 3)
WORKERS = min(4, os.cpu_count() or 1)


@click.command()
@click.argument("folder", type=click.Path(path_type=Path, file_okay=False))
def main(folder):
    """Write overload-NAME.png for each deployment into FOLDER."""
    folder.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(WORKERS) as workers:
        for deployment in DEPLOYMENTS:
            picture = folder / f"overload-{deployment.name}.png"
            draw(deployment, workers, picture)
            click.echo(str(picture))


def draw(deployment, workers, picture):
    """Measure one deployment and save its plot."""
    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for name, router in ROUTERS.items():
        goodput, wasted = _curves(deployment, router, workers)
        left.plot(LOADS, goodput, marker="o", label=name)
        right.plot(LOADS, wasted, marker="o", label=name)
    left.set_ylabel("answers a second within both targets")
    right.set_ylabel("share of prefilled tokens wasted")
    for axes in (left, right):
        axes.set_xlabel("offered load, 1 = capacity")
        axes.set_ylim(bottom=0)
        axes.grid(alpha=0.3)
        axes.legend()
    figure.suptitle(deployment.name)
    figure.tight_layout()
    figure.savefig(picture, dpi=100)
    plt.close(figure)


def _curves(deployment, router, workers):
    jobs = [(deployment, router, load, s) for load in LOADS for s in SEEDS]
    measures = list(workers.map(_measure, jobs))
    goodput, wasted = [], []
    for index in range(len(LOADS)):
        of_load = measures[index * len(SEEDS) : (index + 1) * len(SEEDS)]
        goodput.append(sum(m.good_per_s for m in of_load) / len(SEEDS))
        wasted.append(sum(m.wasted_prefill for m in of_load) / len(SEEDS))
    return goodput, wasted


def _measure(job):
    deployment, router, load, seed = job
    return run(steady(deployment, load), router, seed=seed)


if __name__ == "__main__":
    main()
