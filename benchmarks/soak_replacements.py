"""Control instances that are replaced while random faults go on."""

import asyncio
import signal

from benchmarks.soak_node_faults import DISK_PAUSE_S, NodeFaults

SETTLE_S = 4.0
"""Time after its start from which a successor makes up for the loss."""

AWAY_S = 1.0
"""Time without either, where the old one is lost first."""

STOP_S = 9.0
"""Time for a planned stop."""

SEEDS = 3
"""Control instances that a settings file names."""


class ReplacingFaults(NodeFaults):
    """The random faults, and control instances that go for good.

    As soon as the successor makes up for it, a disk may be lost, and all
    control instances may be killed.
    """

    def __init__(self, *, soak):
        """Begin nothing yet."""
        super().__init__(soak=soak)
        self._kinds = (
            *self._kinds,
            self._lose_disk,
            *(self._replace, self._lose_for_good) * 2,
        )

    def _replace(self):
        return self._begin("replace-control", self._start_then_stop)

    def _lose_for_good(self):
        return self._begin("lose-control", self._lose_then_start)

    def _begin(self, name, replace):
        cluster = self._soak.cluster
        now_s = asyncio.get_running_loop().time()
        lost_s = self._disk_lost_s
        if lost_s is not None and now_s - lost_s < DISK_PAUSE_S:
            return None
        if self._busy.intersection(cluster.control):
            return None
        self._busy.update(cluster.control)
        old = self._chance.choice(cluster.control)
        self._run(self._replaced(old, replace))
        return name

    async def _replaced(self, old, replace):
        await replace(old)
        self._busy.difference_update(self._soak.cluster.control, {old})

    async def _start_then_stop(self, old):
        self._start_new()
        await asyncio.sleep(SETTLE_S)
        old.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(old.wait, STOP_S)
        self._soak.check("a planned stop ends by itself", status == 0, status)
        self._forget(old)

    async def _lose_then_start(self, old):
        old.kill()
        self._forget(old)
        await asyncio.sleep(AWAY_S)
        self._start_new()
        await asyncio.sleep(SETTLE_S)

    def _start_new(self):
        new = self._soak.cluster.add_control()
        self._busy.add(new)
        new.settings["first_start"] = False
        new.start()

    def _forget(self, old):
        """Name those that are left in all settings files."""
        cluster = self._soak.cluster
        cluster.control.remove(old)
        seeds = [
            process.settings["listen"]["control"]
            for process in cluster.control[-SEEDS:]
        ]
        for process in cluster.processes:
            process.write_settings(control_addresses=seeds)
