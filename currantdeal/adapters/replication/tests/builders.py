"""A few instances of the replicated state in one process, over loopback."""

import errno
import itertools
import os
import time

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.peers import PeerPool, PeerServer
from currantdeal.adapters.replication import build_state
from currantdeal.adapters.settings import (
    PeerSettings,
    Settings,
    TimingSettings,
)
from currantdeal.core import Label, RegionId, Role, Selector, Upstream
from currantdeal.core import UpstreamKind as Kind
from currantdeal.state import (
    AnnounceUpstream,
    ApplySelector,
    ClaimCall,
    ClaimKey,
    Origin,
    SetLabels,
)
from currantdeal.testing import waiting

LIMIT_S = 30.0
TIMING = TimingSettings(
    lease_s=1.0, renew_s=0.1, heartbeat_s=0.05, election_s=0.4
)
_numbers = itertools.count(1)


def wait_until(condition):
    """Return once a condition holds; fail after the limit."""
    waiting.wait_until(condition, what="condition", limit_s=LIMIT_S)


def origin(*, request_id=None, instance="i1", wall_s=None):
    """Return an origin, by default of a request of its own."""
    return Origin(
        request_id=request_id or f"request-{next(_numbers)}",
        actor="ana",
        instance=instance,
        wall_s=time.time() if wall_s is None else wall_s,
    )


def selector(name, *, version=0, expression="", **who):
    """Return a command that applies a selector."""
    return ApplySelector(
        origin=origin(**who),
        selector=Selector(name=name, expression=expression),
        expected_version=version,
    )


def claim(key, *, digest="d", **who):
    """Return a command that claims a call."""
    return ClaimCall(
        origin=origin(**who),
        key=ClaimKey(caller="nube", service="shop", key=key),
        digest=digest,
    )


def announce(name):
    """Return the announcement of a plain service."""
    return AnnounceUpstream(
        origin=origin(),
        upstream=Upstream(
            upstream_id=name,
            incarnation=1,
            address="127.0.0.1:1",
            kind=Kind.SERVICE,
            region=RegionId("lagos"),
            data_center="lagos-1",
            roles=(Role.SERVICE,),
            targets=("shop",),
        ),
    )


def withdraw(name, *, version=0):
    """Return an operator's withdrawal of an upstream."""
    return SetLabels(
        origin=origin(),
        upstream_id=name,
        labels=(Label(name="withdrawn", value="yes"),),
        expected_version=version,
    )


class CuttablePool(PeerPool):
    """A pool whose paths to some addresses can be cut."""

    def __init__(self):
        """Start with every path whole."""
        super().__init__()
        self.cut = set()
        self.silent = set()

    def call(self, address, *args, timeout_s):
        """Fail at once on a cut path."""
        if address in self.silent:
            time.sleep(timeout_s)
            raise PeerError(f"{address}: silent", sent=True)
        if address in self.cut:
            raise PeerError(f"{address}: cut", sent=True)
        answer = super().call(address, *args, timeout_s=timeout_s)
        if address in self.cut:
            raise PeerError(f"{address}: cut", sent=True)
        return answer


class Cluster:
    """Replicas ``i1`` ... and instances without a disk after them.

    The settings name the replicas of the first set, all if it is None.
    """

    def __init__(self, folder, *, replicas=3, others=1, first_set=None):
        """Start every instance."""
        self._folder = folder
        self.failing_disks = set()
        names = [f"i{n + 1}" for n in range(replicas + others)]
        self.replicas = names[:replicas]
        self._first_set = self.replicas[:first_set]
        self._servers = {
            name: PeerServer(host="127.0.0.1", port=0) for name in names
        }
        self.addresses = {
            name: f"127.0.0.1:{server.port}"
            for name, server in self._servers.items()
        }
        self.pools = {}
        self.services = {}
        for name in names:
            self._start(name, self._servers[name])

    def port(self, name):
        """Return the StatePort of an instance."""
        return self.services[name].port

    def leader(self):
        """Return the ready leader among the running replicas, or None."""
        for name, service in self.services.items():
            status = service.replica and service.replica.status()
            if status and status.ready:
                return name
        return None

    def wait_for_leader(self):
        """Return the leader, once there is one."""
        wait_until(lambda: self.leader() is not None)
        return self.leader()

    def wait_for_leases(self):
        """Return once every instance holds a lease."""
        wait_until(
            lambda: all(
                service.port.lease_remaining_s() > 0
                for service in self.services.values()
            )
        )

    def kill(self, name):
        """End an instance without a word."""
        self.pools[name].cut.update(self.addresses.values())
        self._servers[name].stop()
        self.services.pop(name).stop()

    def start(self, name):
        """Start an ended instance again, under its old address."""
        port = int(self.addresses[name].rpartition(":")[2])
        server = PeerServer(host="127.0.0.1", port=port)
        self._servers[name] = server
        self._start(name, server)

    def isolate(self, name):
        """Cut every path to and from an instance."""
        self.pools[name].cut.update(self.addresses.values())
        for pool in self.pools.values():
            pool.cut.add(self.addresses[name])

    def silence(self, name):
        """Let every call to an instance wait in vain."""
        self.isolate(name)
        for pool in self.pools.values():
            pool.silent.add(self.addresses[name])

    def heal(self):
        """Make every path whole."""
        for pool in self.pools.values():
            pool.cut.clear()
            pool.silent.clear()

    def folder(self, name):
        """Return the data folder of a replica."""
        return self._folder / name

    def close(self):
        """End everything."""
        for name in list(self.services):
            self.kill(name)

    def _start(self, name, server):
        replica = name in self.replicas
        settings = Settings(
            instance=name,
            region="lagos",
            data_center="lagos-1",
            caller_address="",
            peer_address=self.addresses[name],
            replicas=tuple(
                PeerSettings(instance=rep, peer_address=self.addresses[rep])
                for rep in self._first_set
            ),
            data_folder=str(self.folder(name)) if replica else "",
            timing=TIMING,
        )
        pool = CuttablePool()

        def sync(descriptor):
            if name in self.failing_disks:
                raise OSError(errno.EIO, "input/output error")
            os.fsync(descriptor)

        service = build_state(settings, server, pool, SystemClock(), sync=sync)
        self.pools[name] = pool
        self.services[name] = service
        server.start()
        service.start()
