"""Run stand-in upstreams and announce them to real control processes."""

import asyncio
import json

from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat

HEARTBEAT_INTERVAL_S = 0.5


class UpstreamFleet:
    """Upstreams for the services that ``entry_world.config_body`` configures.

    Parameters
    ----------
    cluster : currantdeal.testing.node_processes.NodeCluster
        Cluster whose control processes receive the heartbeats.
    services, engines, prefills : int
        Number of plain upstreams, of decode engines and of prefill engines.
    make_standin : callable
        Creates the ``StandInUpstream`` with a name, passed as ``upstream``.
    announced : dict or None
        Changed fields of the heartbeats, by the name of the upstream.
    """

    def __init__(
        self,
        *,
        cluster,
        services=6,
        engines=4,
        prefills=2,
        make_standin=StandInUpstream,
        announced=None,
    ):
        """Create the upstreams; they do not listen before ``start``."""
        self._cluster = cluster
        self._upstreams = {}
        for number in range(services):
            self._upstreams[f"s{number}"] = ("shop", {})
        for number in range(engines):
            self._upstreams[f"d{number}"] = ("model", _stage("decode"))
        for number in range(prefills):
            self._upstreams[f"p{number}"] = ("model", _stage("prefill"))
        for name, more in (announced or {}).items():
            self._upstreams[name][1].update(more)
        self.standins = {
            name: make_standin(upstream=name) for name in self._upstreams
        }
        self._draining = set()
        self._sequence = 0
        self._tasks = []

    async def start(self):
        """Start to listen and to send heartbeats."""
        for name, standin in self.standins.items():
            await standin.start()
            self._tasks.append(
                asyncio.ensure_future(self._send_heartbeats(name))
            )

    def drain(self, names):
        """Announce from the next heartbeats on that upstreams drain."""
        self._draining.update(names)

    def stop(self):
        """Stop sending heartbeats."""
        for task in self._tasks:
            task.cancel()

    async def _send_heartbeats(self, name):
        standin = self.standins[name]
        while True:
            if standin.is_up:
                await asyncio.to_thread(self._send_heartbeat, standin)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self, standin):
        service, more = self._upstreams[standin.upstream]
        is_draining = standin.upstream in self._draining
        self._sequence += 1
        message = heartbeat(
            standin.address,
            service,
            sequence=self._sequence,
            born=standin.incarnation,
            state="draining" if is_draining else "ready",
            **more,
        )
        body = json.dumps(message).encode()
        for process in self._cluster.control:
            path = f"/v1/instances/{standin.upstream}"
            url = self._cluster.control_url(process, path)
            if self._cluster.call("PUT", url, body)[0] == 200:
                return


def _stage(name):
    models = [{"Name": "m", "Version": 1, "Adapters": []}]
    return {"Stage": name, "Models": models}
