"""Command that runs many schedules and prints the seed of a broken one."""

import time
from collections import Counter

import click

from currantdeal.consensus.tests.schedules import STEPS, World


class Broken(click.ClickException):
    """A schedule broke an invariant."""


@click.command()
@click.option("--seeds", default=1_000, help="Number of schedules.")
@click.option("--seed", default=0, help="The first seed.")
@click.option("--steps", default=STEPS, help="Steps of each schedule.")
def main(seeds, seed, steps):
    """Run schedules; a broken one is replayed by --seed N --seeds 1."""
    start_s = time.monotonic()
    total = Counter()
    shown_s = start_s
    for number in range(seed, seed + seeds):
        total.update(run_schedule(number, steps))
        if time.monotonic() - shown_s > 5.0:
            shown_s = time.monotonic()
            click.echo(f"{number - seed + 1} of {seeds}", err=True)
    elapsed_s = time.monotonic() - start_s
    figures = ", ".join(f"{name} {n}" for name, n in sorted(total.items()))
    click.echo(f"{seeds} schedules from seed {seed} in {elapsed_s:.0f} s")
    click.echo(f"no invariant broken; {figures}")


def run_schedule(seed, steps=STEPS):
    """Return the counts of a schedule, or raise ``Broken``."""
    world = World(seed=seed)
    try:
        world.run(steps)
    except Exception as exc:
        raise Broken(
            f"seed {seed}: {type(exc).__name__}: {exc}\n"
            f"replay: bin/explore --seed {seed} --seeds 1 --steps {steps}"
        ) from exc
    return world.counts


if __name__ == "__main__":
    main()
