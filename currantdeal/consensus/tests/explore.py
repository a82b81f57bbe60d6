"""Command that runs many schedules and prints the seed of a failed one."""

import time
from collections import Counter

import click

from currantdeal.consensus.tests.schedules import STEPS, Simulation


class ScheduleFailed(click.ClickException):
    """A schedule broke an invariant or raised another error."""


@click.command()
@click.option("--seeds", default=1_000, help="Number of schedules.")
@click.option("--seed", default=0, help="The first seed.")
@click.option("--steps", default=STEPS, help="Steps of each schedule.")
def main(seeds, seed, steps):
    """Run schedules; replay a failed one with --seed N --seeds 1."""
    start_s = time.monotonic()
    total_counts = Counter()
    reported_s = start_s
    for number in range(seed, seed + seeds):
        total_counts.update(run_schedule(number, steps))
        if time.monotonic() - reported_s > 5.0:
            reported_s = time.monotonic()
            click.echo(f"{number - seed + 1} of {seeds}", err=True)
    elapsed_s = time.monotonic() - start_s
    counts = ", ".join(
        f"{name} {n}" for name, n in sorted(total_counts.items())
    )
    click.echo(f"{seeds} schedules from seed {seed} in {elapsed_s:.0f} s")
    click.echo(f"no invariant broken; {counts}")


def run_schedule(seed, steps=STEPS):
    """Return the counts of a schedule, or raise ``ScheduleFailed``."""
    simulation = Simulation(seed=seed)
    try:
        simulation.run(steps)
    except Exception as exc:
        raise ScheduleFailed(
            f"seed {seed}: {type(exc).__name__}: {exc}\n"
            f"replay: bin/explore --seed {seed} --seeds 1 --steps {steps}"
        ) from exc
    return simulation.counts


if __name__ == "__main__":
    main()
