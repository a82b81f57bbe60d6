"""Test cluster: instances of the replicated state in one process.

The instances call each other over loopback.
"""

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
from currantdeal.testing.ports import PortReservations

LIMIT_S = 30.0
TIMING = TimingSettings(
    lease_s=1.0, renew_s=0.1, heartbeat_s=0.05, election_s=0.4
)
_numbers = itertools.count(1)


def wait_until(condition):
    """Wait until a condition holds; fail after ``LIMIT_S``."""
    waiting.wait_until(condition, what="condition", limit_s=LIMIT_S)


def origin(*, request_id=None, instance="i1", wall_s=None):
    """Return an origin, by default with a unique request id."""
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
    """Return a command that claims a call by its idempotency key."""
    return ClaimCall(
        origin=origin(**who),
        key=ClaimKey(caller="nube", service="shop", key=key),
        digest=digest,
    )


def announce(name):
    """Return a command that announces an upstream of kind service."""
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
    """Return an operator's command that withdraws an upstream."""
    return SetLabels(
        origin=origin(),
        upstream_id=name,
        labels=(Label(name="withdrawn", value="yes"),),
        expected_version=version,
    )


class FaultInjectingPool(PeerPool):
    """Connection pool with network faults, by peer address.

    Calls to a ``partitioned`` address fail at once; calls to an
    ``unresponsive`` address wait until their timeout.
    """

    def __init__(self):
        """Start without faults."""
        super().__init__()
        self.partitioned = set()
        self.unresponsive = set()

    def call(self, address, *args, timeout_s):
        """Make the call, unless the address has a fault."""
        if address in self.unresponsive:
            time.sleep(timeout_s)
            raise PeerError(f"{address}: unresponsive", sent=True)
        if address in self.partitioned:
            raise PeerError(f"{address}: partitioned", sent=True)
        answer = super().call(address, *args, timeout_s=timeout_s)
        if address in self.partitioned:
            raise PeerError(f"{address}: partitioned", sent=True)
        return answer


class Cluster:
    """Replicas ``i1``, ``i2``, ..., then instances without a replica.

    The settings name the first ``first_set`` replicas as the first replica
    set; all replicas if it is None.
    """

    def __init__(self, folder, *, replicas=3, others=1, first_set=None):
        """Start every instance; the first replica set is complete then.

        Without it a quorum may be lost with one replica.
        """
        self._folder = folder
        self.failing_disks = set()
        names = [f"i{n + 1}" for n in range(replicas + others)]
        self.replicas = names[:replicas]
        self._first_set = self.replicas[:first_set]
        # A port of the ephemeral range could be taken by another process
        # while its instance is killed.
        self._ports = PortReservations()
        self.addresses = {name: self._ports.take_address() for name in names}
        self._servers = {name: self._make_server(name) for name in names}
        self.pools = {}
        self.services = {}
        for name in names:
            self._start(name, self._servers[name])
        wait_until(self._is_complete)

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
        """Wait for a ready leader and return it."""
        wait_until(lambda: self.leader() is not None)
        return self.leader()

    def wait_for_leases(self):
        """Wait until every instance holds a lease."""
        wait_until(
            lambda: all(
                service.port.lease_remaining_s() > 0
                for service in self.services.values()
            )
        )

    def kill(self, name):
        """Stop an instance; its calls fail, so it notifies no other."""
        self.pools[name].partitioned.update(self.addresses.values())
        self._servers[name].stop()
        self.services.pop(name).stop()

    def start(self, name):
        """Restart a killed instance at its old address."""
        server = self._make_server(name)
        self._servers[name] = server
        self._start(name, server)

    def isolate(self, name):
        """Fail every call to and from an instance."""
        self.pools[name].partitioned.update(self.addresses.values())
        for pool in self.pools.values():
            pool.partitioned.add(self.addresses[name])

    def make_unresponsive(self, name):
        """Let every call to an instance time out."""
        self.isolate(name)
        for pool in self.pools.values():
            pool.unresponsive.add(self.addresses[name])

    def heal(self):
        """Remove all network faults."""
        for pool in self.pools.values():
            pool.partitioned.clear()
            pool.unresponsive.clear()

    def folder(self, name):
        """Return the data folder of a replica."""
        return self._folder / name

    def close(self):
        """Kill every instance."""
        for name in list(self.services):
            self.kill(name)
        self._ports.close()

    def _is_complete(self):
        """Return whether the first replica set can vote, at its leader."""
        leader = self.leader()
        statuses = {
            name: self.services[name].replica.status()
            for name in self._first_set
        }
        if leader not in statuses or None in statuses.values():
            return False
        voters = statuses[leader].configuration.voter_names
        return all(
            name in voters and not status.blank
            for name, status in statuses.items()
        )

    def _make_server(self, name):
        host, _, port = self.addresses[name].rpartition(":")
        return PeerServer(host=host, port=int(port))

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
        pool = FaultInjectingPool()

        def sync(descriptor):
            if name in self.failing_disks:
                raise OSError(errno.EIO, "input/output error")
            os.fsync(descriptor)

        service = build_state(settings, server, pool, SystemClock(), sync=sync)
        self.pools[name] = pool
        self.services[name] = service
        server.start()
        service.start()
