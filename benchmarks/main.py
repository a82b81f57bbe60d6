"""The ``bin/bench`` command.

An experiment is a module of ``benchmarks.experiments`` with a ``SUMMARY`` of
one line and a function ``run(*, seed)``.  What it returns is encoded as JSON
under ``--json``, and else shown by its ``render`` method.  A new experiment
is a new module; nothing else names it.
"""

import importlib
import pkgutil

import click
import msgspec

from benchmarks import experiments


def names():
    """Return the names of all experiments, sorted."""
    found = pkgutil.iter_modules(experiments.__path__)
    return sorted(
        info.name.replace("_", "-")
        for info in found
        if not info.name.startswith("_")
    )


def load(name):
    """Return the module of an experiment."""
    module = name.replace("-", "_")
    return importlib.import_module(f"benchmarks.experiments.{module}")


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.argument("name", required=False)
@click.option("--seed", default=1, show_default=True, help="Of all chance.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--list", "as_list", is_flag=True, help="List experiments.")
def main(name, seed, as_json, as_list):
    """Run the experiment NAME and print what it measured."""
    if as_list:
        for known in names():
            click.echo(f"{known:20} {load(known).SUMMARY}")
        return
    if name not in names():
        raise click.UsageError("name an experiment, see bin/bench --list")
    report = load(name).run(seed=seed)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    else:
        click.echo(report.render())


if __name__ == "__main__":
    main()
