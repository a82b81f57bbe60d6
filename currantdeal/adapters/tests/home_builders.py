"""Fake ports for tests of homes over real connections."""

import threading
import time

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.homes import build_homes
from currantdeal.adapters.peers import PeerPool, PeerServer
from currantdeal.adapters.settings import Settings, TimingSettings
from currantdeal.core import LoadReport, UpstreamUnreachableError
from currantdeal.membership.tests.builders import (
    build_member,
    build_upstream,
)
from currantdeal.ports import (
    HeldMemory,
    InstanceProgress,
    ReservationRequest,
)
from currantdeal.state import (
    AnnounceUpstream,
    ClusterState,
    Origin,
    apply_command,
)
from currantdeal.testing.ports import PortReservations
from currantdeal.testing.waiting import wait_until

LIMIT_S = 30.0


def until(condition):
    wait_until(condition, what="condition of the test", limit_s=LIMIT_S)


def build_request(number, *, entry, pieces=10, upstream_id="decode-1"):
    return ReservationRequest(
        request_id=f"r{number}",
        caller="ana",
        entry=entry,
        upstream_id=upstream_id,
        pieces=pieces,
    )


class SharedState:
    """Replicated state held in memory, without replicas."""

    def __init__(self):
        self.lock = threading.Lock()
        self.state = ClusterState()
        self.leases = {}

    def propose(self, command):
        with self.lock:
            version = self.state.version + 1
            self.state, result = apply_command(
                self.state, command, version=version
            )
            return result


class FakeStatePort:
    def __init__(self, *, shared, instance):
        self._shared = shared
        self._instance = instance
        shared.leases[instance] = 2.0

    def view(self):
        return self._shared.state

    def lease_remaining_s(self):
        return self._shared.leases[self._instance]

    def propose(self, command, *, timeout_s):
        return self._shared.propose(command)

    def progress(self):
        return tuple(
            InstanceProgress(
                instance=name,
                region="lagos",
                version=0,
                lease_remaining_s=lease_s,
            )
            for name, lease_s in self._shared.leases.items()
        )


class FakeMembers:
    def __init__(self, *, members_by_name):
        self._members_by_name = members_by_name

    def members(self):
        return tuple(self._members_by_name.values())

    def member(self, instance):
        return self._members_by_name.get(instance)

    def peer_address(self, instance):
        member = self._members_by_name.get(instance)
        return member.peer_address if member else ""


class FakeEngine:
    def __init__(self):
        self.memory = {}
        self.cancelled = []
        self.orders = []
        self.unreachable = False

    def hold(self, request_id, pieces=10):
        self.memory[request_id] = HeldMemory(
            request_id=request_id, pieces=pieces, age_s=9.0, fence=1
        )

    def held(self, upstream):
        if self.unreachable:
            raise UpstreamUnreachableError("gone", ran="no")
        return tuple(self.memory.values())

    def cancel(self, upstream, request_id):
        self.cancelled.append(request_id)
        self.memory.pop(request_id, None)

    def order(self, upstream, order, fence):
        self.orders.append((order, fence))


class Instances:
    """Instances with real connections and fake ports."""

    def __init__(self, *, count=3):
        self.shared = SharedState()
        self.engine = FakeEngine()
        self.members_by_name = {}
        self.homes = {}
        self.servers = {}
        # Instances go on calling one that was killed, so its port must not
        # be assigned to an instance of a test that runs beside this one.
        self._ports = PortReservations()
        for number in range(1, count + 1):
            self.start(f"i{number}")
        self.announce(build_upstream())

    def announce(self, upstream):
        origin = Origin(
            request_id=f"{upstream.upstream_id}/{upstream.incarnation}",
            actor="test",
            instance="i1",
        )
        self.shared.propose(AnnounceUpstream(origin=origin, upstream=upstream))

    def start(self, name):
        port = self._ports.take()
        server = PeerServer(host="127.0.0.1", port=port)
        address = f"127.0.0.1:{port}"
        self.members_by_name[name] = build_member(
            int(name[1:]), peer_address=address, wall_s=time.time()
        )
        self.homes[name] = build_homes(
            settings=Settings(
                instance=name,
                region="lagos",
                data_center="lagos-1",
                caller_address="127.0.0.1:0",
                peer_address=address,
                timing=TimingSettings(renew_s=0.2, lease_s=1.0),
            ),
            clock=SystemClock(),
            state=FakeStatePort(shared=self.shared, instance=name),
            members=FakeMembers(members_by_name=self.members_by_name),
            engines=self.engine,
            peer_server=server,
            peer_pool=PeerPool(),
        )
        self.servers[name] = server
        server.start()
        self.homes[name].start()

    def kill(self, name):
        self.homes.pop(name).stop()
        self.servers.pop(name).stop()

    def declare_dead(self, name):
        """Remove an instance from the membership and expire its lease."""
        del self.members_by_name[name]
        self.shared.leases[name] = 0.0

    def renew(self, upstream_id="decode-1"):
        """Keep an upstream from being retired."""
        report = LoadReport(upstream_id=upstream_id, incarnation=1)
        for homes in self.homes.values():
            homes.report_load(report)

    def home(self, upstream_id="decode-1"):
        return self.shared.state.homes[upstream_id]

    def reserve(self, number, *, entry, **options):
        request = build_request(number, entry=entry, **options)
        self.renew()
        return self.homes[entry].reserve(request, timeout_s=LIMIT_S)

    def other(self, *names):
        return next(name for name in self.homes if name not in names)

    def stop(self):
        for name in list(self.homes):
            self.kill(name)
        self._ports.close()
