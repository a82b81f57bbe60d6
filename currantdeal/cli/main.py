"""The ``currantdeal`` command."""

import click

import currantdeal
from currantdeal.cli.serve import serve


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(currantdeal.__version__, prog_name="currantdeal")
def main():
    """Route requests between separate prefill and decode pools."""


main.add_command(serve)

if __name__ == "__main__":
    main()
