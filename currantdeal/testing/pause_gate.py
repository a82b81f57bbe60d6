"""A gate at which stand-in upstreams stand still and go on."""

import asyncio
from contextlib import contextmanager


class PauseGate:
    """Stops the work of an upstream, and its calls if wanted.

    Examples
    --------
    >>> async def is_passed():
    ...     gate = PauseGate()
    ...     gate.close()
    ...     passed = asyncio.ensure_future(gate.pass_work())
    ...     await asyncio.sleep(0.0)
    ...     before = passed.done()
    ...     gate.open()
    ...     await passed
    ...     return before, passed.done()
    >>> asyncio.run(is_passed())
    (False, True)
    """

    def __init__(self):
        """Start open."""
        self._work = asyncio.Event()
        self._calls = asyncio.Event()
        self.open()

    def close(self, *, holds_calls=False):
        """Stop all work.

        Parameters
        ----------
        holds_calls : bool
            Whether answers to the system's own calls stop too, such as
            reservations and health checks.
        """
        self._work.clear()
        if holds_calls:
            self._calls.clear()

    def open(self):
        """Let all go on."""
        self._work.set()
        self._calls.set()

    async def pass_work(self):
        """Wait until work may go on."""
        await self._work.wait()

    async def pass_call(self):
        """Wait until calls of the system are answered."""
        await self._calls.wait()


@contextmanager
def standing_still(standins, *, holds_calls=False, full=()):
    """Let stand-ins stand still while the context is open.

    Parameters
    ----------
    standins : iterable of ScriptedUpstream
        Stand still.
    holds_calls : bool
        As for ``PauseGate.close``.
    full : iterable of ScriptedUpstream
        Grant no memory meanwhile.
    """
    most_runs = [(standin, standin.most_runs) for standin in full]
    for standin in standins:
        standin.gate.close(holds_calls=holds_calls)
    for standin, _ in most_runs:
        standin.most_runs = 0
    try:
        yield
    finally:
        for standin in standins:
            standin.gate.open()
        for standin, most in most_runs:
            standin.most_runs = most
