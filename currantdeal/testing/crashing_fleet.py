"""Upstreams that crash, announced to real control processes."""

import asyncio
import json

from currantdeal.testing.crashing_upstream import CrashingUpstream
from currantdeal.testing.platform_upstream import heartbeat

BEAT_S = 0.5


class CrashingFleet:
    """Upstreams of the services of ``entry_world.config_body``.

    Parameters
    ----------
    cluster : currantdeal.testing.node_processes.NodeCluster
        Its control processes get the heartbeats.
    services, engines : int
        Plain upstreams and decode engines; two engines prefill.
    options : dict
        Of each ``CrashingUpstream``.
    """

    def __init__(self, *, cluster, services=6, engines=4, **options):
        """Start nothing before ``start``."""
        self._cluster = cluster
        self._places = {}
        for number in range(services):
            self._places[f"s{number}"] = ("shop", {})
        for number in range(engines):
            self._places[f"d{number}"] = ("model", _stage("decode"))
        for number in range(2):
            self._places[f"p{number}"] = ("model", _stage("prefill"))
        self.standins = {
            name: CrashingUpstream(upstream=name, **options)
            for name in self._places
        }
        self._sequence = 0
        self._tasks = []

    @property
    def crashes(self):
        """Time, id and body of each crash so far, in order of time."""
        return sorted(
            crash
            for standin in self.standins.values()
            for crash in standin.crashes
        )

    async def start(self):
        """Listen, and send heartbeats from now on."""
        for name, standin in self.standins.items():
            await standin.start()
            self._tasks.append(asyncio.ensure_future(self._beat(name)))

    def stop(self):
        """Send no more heartbeats."""
        for task in self._tasks:
            task.cancel()

    async def _beat(self, name):
        standin = self.standins[name]
        while True:
            if standin.is_up:
                await asyncio.to_thread(self._announce, standin)
            await asyncio.sleep(BEAT_S)

    def _announce(self, standin):
        service, more = self._places[standin.upstream]
        self._sequence += 1
        beat = heartbeat(
            standin.address,
            service,
            sequence=self._sequence,
            born=standin.incarnation,
            **more,
        )
        body = json.dumps(beat).encode()
        for process in self._cluster.control:
            path = f"/v1/instances/{standin.upstream}"
            url = self._cluster.control_url(process, path)
            if self._cluster.call("PUT", url, body)[0] == 200:
                return


def _stage(name):
    models = [{"Name": "m", "Version": 1, "Adapters": []}]
    return {"Stage": name, "Models": models}
