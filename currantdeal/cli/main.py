"""Command ``currantdeal``: the daemon and the operators' client.

The shell completion script is printed by, for example,
``_CURRANTDEAL_COMPLETE=bash_source currantdeal``.
"""

import click

import currantdeal
from currantdeal.cli.account import account
from currantdeal.cli.explain import explain
from currantdeal.cli.explain_route import explain_route
from currantdeal.cli.node_status import nodes
from currantdeal.cli.quarantine_commands import quarantines
from currantdeal.cli.selector_commands import selectors
from currantdeal.cli.serve import serve
from currantdeal.cli.settings_commands import settings
from currantdeal.cli.state_commands import state
from currantdeal.cli.system_commands import (
    audit,
    drain,
    entries,
    orders,
    status,
)
from currantdeal.cli.upstream_commands import upstreams


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(currantdeal.__version__, prog_name="currantdeal")
def main():
    """Route requests between separate prefill and decode pools."""


main.add_command(account)
main.add_command(audit)
main.add_command(drain)
main.add_command(entries)
main.add_command(explain)
main.add_command(explain_route)
main.add_command(nodes)
main.add_command(orders)
main.add_command(quarantines)
main.add_command(selectors)
main.add_command(serve)
main.add_command(settings)
main.add_command(state)
main.add_command(status)
main.add_command(upstreams)

if __name__ == "__main__":
    main(prog_name="currantdeal")
