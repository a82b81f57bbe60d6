"""Soaks processes with upstreams that leave without control knowing them.

After the random faults of a round an upstream is partitioned from control, all
control instances restart, and the upstream leaves.  Verified is that entries
observe the leave in time once it is acknowledged.
"""

import asyncio

from benchmarks.soak_nodes import RECOVER_S, NodeSoak

LONGEST_WAIT_S = 10.0
"""Longest time from the restart until the upstream leaves."""


class DepartingSoak(NodeSoak):
    """A soak in which an unknown upstream leaves in each round."""

    def __init__(self, **options):
        """Prepare the processes; ``run`` starts them."""
        super().__init__(**options)
        self._partitioned = set()

    async def _send_heartbeat(self, upstream):
        if upstream.name not in self._partitioned:
            await super()._send_heartbeat(upstream)

    async def _drain_upstream(self):
        await super()._drain_upstream()
        upstream = self.upstreams[1]
        self._partitioned.add(upstream.name)
        await asyncio.to_thread(self.cluster.restart_all_control)
        await self._check_recovery("a restart of all control instances")
        await asyncio.sleep(self.rng.uniform(0.0, LONGEST_WAIT_S))
        if await self._is_leave_acknowledged(upstream):
            await self.check_idle(upstream, "no work after a leave")
        upstream.born += 1
        self._partitioned.discard(upstream.name)

    async def _is_leave_acknowledged(self, upstream):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RECOVER_S
        status = 0
        while status != 200 and loop.time() < ends_s:
            path = f"/v1/instances/{upstream.name}"
            status, _ = await self.call("DELETE", path)
            await asyncio.sleep(0.1)
        self.check("a leave is acknowledged", status == 200, f"{status}")
        return status == 200
