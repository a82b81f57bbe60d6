"""Replaces control instances during a soak, besides the random faults."""

import asyncio
import signal

from benchmarks.soak_node_faults import DISK_PAUSE_S, NodeFaultInjector

SETTLE_S = 4.0
"""Time from the start of a successor until it has compensated the loss."""

ABSENT_S = 1.0
"""Time between the loss of an instance and the start of its successor."""

STOP_S = 9.0
"""Limit of a planned stop."""

SEEDS = 3
"""Number of control instances listed in a settings file."""


class ReplacingFaultInjector(NodeFaultInjector):
    """Injects the random faults and replaces control instances.

    An instance is stopped after its successor has started, or lost
    permanently before.  Once the successor has compensated the loss, a disk
    may be lost and all control instances may be killed.
    """

    def __init__(self, *, soak):
        """Add the replacements to the kinds of faults."""
        super().__init__(soak=soak)
        self._kinds = (
            *self._kinds,
            self._lose_disk,
            *(self._replace, self._lose_permanently) * 2,
        )

    def _replace(self):
        return self._begin_replacement(
            "replace-control", self._start_then_stop
        )

    def _lose_permanently(self):
        return self._begin_replacement("lose-control", self._lose_then_start)

    def _begin_replacement(self, name, replace):
        cluster = self._soak.cluster
        now_s = asyncio.get_running_loop().time()
        lost_s = self._disk_lost_s
        if lost_s is not None and now_s - lost_s < DISK_PAUSE_S:
            return None
        if self._affected.intersection(cluster.control):
            return None
        self._affected.update(cluster.control)
        old = self._rng.choice(cluster.control)
        self._start_task(self._run_replacement(old, replace))
        return name

    async def _run_replacement(self, old, replace):
        await replace(old)
        self._affected.difference_update(self._soak.cluster.control, {old})

    async def _start_then_stop(self, old):
        self._start_new()
        await asyncio.sleep(SETTLE_S)
        old.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(old.wait, STOP_S)
        self._soak.check("a planned stop ends by itself", status == 0, status)
        self._remove(old)

    async def _lose_then_start(self, old):
        old.kill()
        self._remove(old)
        await asyncio.sleep(ABSENT_S)
        self._start_new()
        await asyncio.sleep(SETTLE_S)

    def _start_new(self):
        new = self._soak.cluster.add_control()
        self._affected.add(new)
        new.settings["first_start"] = False
        new.start()

    def _remove(self, old):
        """Remove an instance and list the remaining ones in all settings."""
        cluster = self._soak.cluster
        cluster.control.remove(old)
        seeds = [
            process.settings["listen"]["control"]
            for process in cluster.control[-SEEDS:]
        ]
        for process in cluster.processes:
            process.write_settings(control_addresses=seeds)
