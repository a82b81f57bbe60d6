"""Starts an ``entry`` or ``control`` process of a deployment.

Usage: ``python3 -m currantdeal.cli.node entry|control [SETTINGS]``.  The path
of the settings file is the second argument or comes from the environment.

Outside ``currantdeal.platform`` and the tests, only this module and the two
process modules that it imports use that package.
"""

# Imported first: it handles signals while the other imports run.
from currantdeal.cli.early_signals import stop_requested  # noqa: I001

import asyncio
import os
import sys

from currantdeal.node.errors import SettingsFileError
from currantdeal.node.logs import configure_node_logs
from currantdeal.node.settings import read_settings
from currantdeal.platform.environment import settings_path

EXIT_SETTINGS = 78
"""Exit status of a process whose settings cannot be used (``EX_CONFIG``)."""


def main(arguments=None):
    """Run one process until SIGTERM or SIGINT; return the exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if not arguments or arguments[0] not in ("entry", "control"):
        sys.stderr.write("usage: node entry|control [SETTINGS]\n")
        return 2
    path = arguments[1] if len(arguments) > 1 else settings_path(os.environ)
    try:
        settings = read_settings(path)
    except SettingsFileError as exc:
        sys.stderr.write(f"settings: {exc}\n")
        return EXIT_SETTINGS
    writer = configure_node_logs(instance=settings.instance)
    process = _build_process(arguments[0], settings, path)
    asyncio.run(process.run(stop_requested=stop_requested))
    writer.flush()
    return 0


def _build_process(role, settings, path):
    # The imports are local because a process starts faster and takes less
    # memory, which is paid for, without the modules of the other role.
    if role == "entry":
        from currantdeal.cli.entry_process import EntryProcess

        return EntryProcess(settings=settings, path=path)
    from currantdeal.cli.control_process import ControlProcess

    return ControlProcess(settings=settings, path=path)


if __name__ == "__main__":
    sys.exit(main())
