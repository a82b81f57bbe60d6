"""Command that runs many schedules of exchanged records."""

import click

from currantdeal.consensus.tests.explore import explore, schedule_options
from currantdeal.control.tests.record_schedules import (
    STEPS,
    RecordSimulation,
)


@click.command()
@schedule_options(STEPS)
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
