"""Watches an event loop on which callers and upstreams of a test run.

If it stalls, all upstreams seem silent at once and callers notice answers
late, although nothing is wrong with the processes under test.
"""

import asyncio

TICK_S = 0.1


class LoopWatch:
    """Measures how late the running event loop is.

    Attributes
    ----------
    longest_stall_s : float
        Longest delay so far.
    """

    def __init__(self):
        """Start without a delay."""
        self.longest_stall_s = 0.0

    async def run(self):
        """Watch the loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            await asyncio.sleep(TICK_S)
            stall_s = loop.time() - began_s - TICK_S
            self.longest_stall_s = max(self.longest_stall_s, stall_s)
