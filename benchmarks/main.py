"""Implements the ``bin/bench`` command, which runs experiments.

An experiment is a module of ``benchmarks.experiments`` with a ``SUMMARY`` of
one line and a function ``run(*, seed)``.  Its result is printed as JSON with
``--json``, and by its ``render`` method otherwise.  A new module in that
package is all that a new experiment needs.
"""

import importlib
import pkgutil

import click
import msgspec

from benchmarks import experiments


def experiment_names():
    """Return the names of all experiments, sorted."""
    found = pkgutil.iter_modules(experiments.__path__)
    return sorted(
        info.name.replace("_", "-")
        for info in found
        if not info.name.startswith("_")
    )


def load_experiment(name):
    """Return the module of an experiment."""
    module = name.replace("-", "_")
    return importlib.import_module(f"benchmarks.experiments.{module}")


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("name", required=False)
@click.option("--seed", default=1, show_default=True, help="Random seed.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--list", "as_list", is_flag=True, help="List experiments.")
def main(name, seed, as_json, as_list):
    """Run the experiment NAME and print its results."""
    if as_list:
        for known in experiment_names():
            click.echo(f"{known:20} {load_experiment(known).SUMMARY}")
        return
    if name not in experiment_names():
        raise click.UsageError("name an experiment, see bin/bench --list")
    report = load_experiment(name).run(seed=seed)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    else:
        click.echo(report.render())


if __name__ == "__main__":
    main()
