"""Command that runs many schedules and prints the seed of a failed one."""

import logging
import time
from collections import Counter

import click
import structlog

from currantdeal.consensus.tests.schedules import STEPS, Simulation


class ScheduleFailed(click.ClickException):
    """A schedule broke an invariant or raised another error."""


def schedule_options(steps):
    """Return a decorator that adds the options of an explorer.

    Parameters
    ----------
    steps : int
        Steps of a schedule by default.
    """

    def add(command):
        for option in (
            click.option("--steps", default=steps, help="Steps of each."),
            click.option("--seed", default=0, help="The first seed."),
            click.option("--seeds", default=1_000, help="Schedules to run."),
        ):
            command = option(command)
        return command

    return add


@click.command()
@schedule_options(STEPS)
def main(seeds, seed, steps):
    """Run schedules; replay a failed one with --seed N --seeds 1."""
    explore(
        lambda seed: Simulation(seed=seed),
        command="bin/explore",
        seeds=range(seed, seed + seeds),
        steps=steps,
    )


def explore(simulate, *, command, seeds, steps):
    """Run a schedule for each seed and print what has happened.

    Parameters
    ----------
    simulate : callable
        Returns the simulation of a seed, with ``run`` and ``counts``.
    command : str
        Command that replays a schedule.
    seeds : range
        Seeds of the schedules.
    steps : int
        Steps of each schedule.
    """
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    start_s = time.monotonic()
    total_counts = Counter()
    reported_s = start_s
    for seed in seeds:
        total_counts.update(run_schedule(seed, steps, simulate, command))
        if time.monotonic() - reported_s > 5.0:
            reported_s = time.monotonic()
            click.echo(f"{seed - seeds[0] + 1} of {len(seeds)}", err=True)
    elapsed_s = time.monotonic() - start_s
    counts = ", ".join(
        f"{name} {n}" for name, n in sorted(total_counts.items())
    )
    click.echo(
        f"{len(seeds)} schedules from seed {seeds[0]} in {elapsed_s:.0f} s"
    )
    click.echo(f"no invariant broken; {counts}")


def run_schedule(
    seed,
    steps=STEPS,
    simulate=lambda seed: Simulation(seed=seed),
    command="bin/explore",
):
    """Return the counts of a schedule, or raise ``ScheduleFailed``."""
    simulation = simulate(seed)
    try:
        simulation.run(steps)
    except Exception as exc:
        raise ScheduleFailed(
            f"seed {seed}: {type(exc).__name__}: {exc}\n"
            f"replay: {command} --seed {seed} --seeds 1 --steps {steps}"
        ) from exc
    return simulation.counts


if __name__ == "__main__":
    main()
