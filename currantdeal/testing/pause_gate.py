"""A gate at which stand-in upstreams stand still and go on."""

import asyncio


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
