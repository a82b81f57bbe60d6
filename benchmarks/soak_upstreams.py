"""The upstreams of a soak, with their heartbeats and proxies."""

from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat
from currantdeal.testing.proxy import FaultProxy


class SoakUpstream:
    """A stand-in upstream with its heartbeats and, optionally, a proxy.

    Parameters
    ----------
    name, service, stage : str
        As in its heartbeats; no stage for a plain service.
    standin : StandInUpstream or None
        The stand-in; None creates a healthy one.
    proxied : bool or None
        Whether it is reached through a proxy; by default only the healthy
        one is.
    """

    def __init__(self, *, name, service, stage="", standin=None, proxied=None):
        """Prepare the stand-in without starting it."""
        self.name = name
        self.standin = standin or StandInUpstream(upstream=name, script=echo)
        self.proxy = None
        self._is_proxied = standin is None if proxied is None else proxied
        self.state = "ready"
        self.service = service
        self.stage = stage
        self._sequence = 0
        self.born = 0

    async def start(self):
        """Start the stand-in and its proxy, if it has one."""
        await self.standin.start()
        if self._is_proxied:
            self.proxy = FaultProxy(target=self.standin.address)

    def next_heartbeat(self):
        """Return the next heartbeat."""
        self._sequence += 1
        target = self.proxy or self.standin
        extra = {}
        if self.stage:
            models = [{"Name": "m", "Version": 1, "Adapters": []}]
            extra = {"Stage": self.stage, "Models": models}
        return heartbeat(
            target.address,
            self.service,
            state=self.state,
            sequence=self._sequence,
            born=self.born + self.standin.incarnation,
            **extra,
        )


async def echo(standin, request, writer):
    """Answer calls that are not generations with their own bodies."""
    is_plain = not request.get("X-Currantdeal-Token-Counts")
    if is_plain and not request.target.startswith("/v1/"):
        standin.send(request, writer, 200, request.body)
        await writer.drain()
        return True
    return False
