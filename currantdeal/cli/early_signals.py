"""Ignores SIGHUP from its import on, until the process installs a handler.

The default action of SIGHUP ends the process.  The imports of a program take
a third of a second, and seconds on a busy machine; a process that received a
reload signal in that time would exit without a line in its log.  Ignoring the
signal loses no change of the settings: they are read after the imports, and
their file is checked again every two seconds.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
