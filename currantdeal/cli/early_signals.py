"""Keeps a process alive that is told to reload while it starts.

Importing this module ignores SIGHUP until the process handles it.  Python's
default ends the process, and the imports of a program take a third of a
second, on a busy machine seconds: a process that was told of changed settings
in that time would be gone without a line in its log.  The signal may be
ignored safely, since the settings are read after the imports and their file
is looked at again every two seconds.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
