"""Attempts of one request that run side by side.

A slow upstream may still answer, and the next one may refuse or fail.  So a
slow attempt goes on beside the next one, until one of them has the answer.
"""

import asyncio
import math

from currantdeal.node.futures import mark_retrieved


class RunningAttempts:
    """Attempts that have not ended, in the order in which they began.

    Examples
    --------
    >>> async def attempt(after_s):
    ...     await asyncio.sleep(after_s)
    ...     return after_s
    >>> async def run():
    ...     running = RunningAttempts()
    ...     running.start(attempt(60.0))
    ...     running.start(attempt(0.01))
    ...     first = await running.first()
    ...     return first, running.count, await running.cancel()
    >>> asyncio.run(run())
    (0.01, 1, [])
    """

    def __init__(self):
        """Start without attempts."""
        self._tasks = []

    @property
    def count(self):
        """Number of attempts whose result was not taken yet."""
        return len(self._tasks)

    @property
    def has_result(self):
        """Whether one has ended, so that its result can be taken."""
        return any(task.done() for task in self._tasks)

    def start(self, work):
        """Start the coroutine of an attempt."""
        task = asyncio.ensure_future(work)
        task.add_done_callback(mark_retrieved)
        self._tasks.append(task)

    async def first(self, *, timeout_s=math.inf):
        """Return the result of one that has ended, as soon as there is one.

        Returns None after the timeout.
        """
        await asyncio.wait(
            self._tasks,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in self._tasks:
            if task.done():
                self._tasks.remove(task)
                return task.result()
        return None

    async def unless_ended(self, work):
        """Return the result of a coroutine, cancelled if an attempt ends.

        Returns None in that case.
        """
        asking = asyncio.ensure_future(work)
        asking.add_done_callback(mark_retrieved)
        try:
            await asyncio.wait(
                [asking, *self._tasks], return_when=asyncio.FIRST_COMPLETED
            )
            return None if self.has_result else asking.result()
        finally:
            asking.cancel()

    async def cancel(self):
        """Cancel all; returns the results of those that end with one."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        return [e for e in ended if not isinstance(e, BaseException)]
