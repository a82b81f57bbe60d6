"""Shares one pending call among all callers that need its result."""

import asyncio


class SingleFlight:
    """Runs a coroutine for all callers of an interval together.

    Load pattern: thundering herd.  Many requests miss the same fact at the
    same moment; one call answers all of them.

    Parameters
    ----------
    work : callable
        Coroutine function without arguments.
    interval_s : float
        Minimum time between the starts of two runs.
    """

    def __init__(self, *, work, interval_s):
        """Start without a pending run."""
        self._work = work
        self._interval_s = interval_s
        self._last_start_s = float("-inf")
        self._next = None

    async def run(self):
        """Return the result of a run that starts after this call."""
        if self._next is None:
            self._next = asyncio.ensure_future(self._start())
        return await asyncio.shield(self._next)

    async def _start(self):
        loop = asyncio.get_running_loop()
        due_s = self._last_start_s + self._interval_s
        # Callers join until the work begins, also those of the pause.
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        self._last_start_s = loop.time()
        self._next = None
        return await self._work()
