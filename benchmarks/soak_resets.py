"""Resets connections on both sides of entries in bursts during a soak."""

import asyncio

from benchmarks.soak_node_faults import NodeFaultInjector

RESETS = 8
"""Number of resets in a burst."""

LONGEST_GAP_S = 0.15


class ResettingFaultInjector(NodeFaultInjector):
    """Injects the random faults and bursts of connection resets.

    Each reset of a burst closes the open connections of one upstream or
    entry, so that the resets hit calls at different stages.
    """

    def __init__(self, *, soak):
        """Add the reset bursts to the kinds of faults."""
        super().__init__(soak=soak)
        self._kinds = (*self._kinds, *(self._reset_burst,) * 6)

    def _reset_burst(self):
        self._start_task(self._reset_repeatedly())
        return "reset-burst"

    async def _reset_repeatedly(self):
        for _ in range(RESETS):
            self._rng.choice(self._soak.proxies).reset_open_connections()
            await asyncio.sleep(self._rng.uniform(0.0, LONGEST_GAP_S))
