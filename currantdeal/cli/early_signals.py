"""Handles signals from its import on, until the process installs handlers.

The default action of SIGHUP, SIGTERM and SIGINT ends the process, and the
imports of a program take long enough for a signal to arrive.

A process that received a reload signal in that time would exit without a line
in its log.  Ignoring the signal loses no change of the settings: they are read
after the imports, and their file is checked again every two seconds.

A stop is recorded and carried out once the process runs: a control instance
that exits before it has requested its removal remains a voter.
"""

import signal

__all__ = ["stop_requested"]

_stop_signals = []


def stop_requested():
    """Return whether SIGTERM or SIGINT arrived while the process started."""
    return bool(_stop_signals)


def _record_stop(number, _frame):
    _stop_signals.append(number)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _record_stop)
signal.signal(signal.SIGINT, _record_stop)
