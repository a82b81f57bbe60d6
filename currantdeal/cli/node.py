"""The programs of a deployment: ``entry`` and ``control``.

Usage: ``python3 -m currantdeal.cli.node entry|control [SETTINGS]``.  The
settings file is named by the second argument or by the environment.

This module wires the parts together; it is the only one outside
``currantdeal.platform`` that knows of it.
"""

# First, for what it does when it is imported.
import currantdeal.cli.early_signals  # noqa: F401, I001

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
    """Run one process until it is told to stop."""
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
    process = _process(arguments[0], settings, path)
    asyncio.run(process.run())
    writer.flush()
    return 0


def _process(role, settings, path):
    # Imported here, because either process starts faster without the
    # other's parts and memory is paid for.
    if role == "entry":
        from currantdeal.cli.entry_process import EntryProcess

        return EntryProcess(settings=settings, path=path)
    from currantdeal.cli.control_process import ControlProcess

    return ControlProcess(settings=settings, path=path)


if __name__ == "__main__":
    sys.exit(main())
