"""Command that runs many schedules of exchanged records."""

import click

from currantdeal.consensus.tests.explore import explore
from currantdeal.control.tests.record_schedules import (
    STEPS,
    RecordSimulation,
)


@click.command()
@click.option("--seeds", default=1_000, help="Number of schedules.")
@click.option("--seed", default=0, help="The first seed.")
@click.option("--steps", default=STEPS, help="Steps of each schedule.")
def main(seeds, seed, steps):
    """Run schedules; replay a failed one with --seed N --seeds 1."""
    explore(
        lambda seed: RecordSimulation(seed=seed),
        command="bin/explore records",
        seeds=range(seed, seed + seeds),
        steps=steps,
    )


if __name__ == "__main__":
    main()
