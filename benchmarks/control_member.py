"""Runs the control part of one instance, without callers.

``bin/bench control-cost`` starts many of these processes.  Membership, homes
and heartbeats are the product's own, over real sockets.  The replicated state
is a fixed value that every process computes from the numbers of instances and
upstreams, and engines hold no memory.  The measurement thus covers only
membership, heartbeats of homes, and load reports.
"""

import json
import sys
import threading
import time

import click
import psutil
import structlog
from immutables import Map

from currantdeal.adapters import peers
from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.gossip import build_members
from currantdeal.adapters.homes import build_homes
from currantdeal.adapters.settings import Settings
from currantdeal.core import LoadReport, Role, Upstream, UpstreamKind
from currantdeal.state import (
    AssignHome,
    ClusterState,
    Home,
    HomeAssigned,
    UpstreamRecord,
)

RENEW_S = 0.5
LEASE_S = 2.0
MEGABYTE = 1_000_000


class CountingSocket(peers.TSocket):
    """Counts the bytes of Thrift connections of both directions."""

    total_bytes = 0
    lock = threading.Lock()

    def read(self, size):
        """Read bytes and count them."""
        raw = super().read(size)
        self._count(len(raw))
        return raw

    def write(self, buff):
        """Write bytes and count them."""
        self._count(len(buff))
        return super().write(buff)

    def _count(self, size):
        with self.lock:
            CountingSocket.total_bytes += size


class FixedState:
    """Implements the state port with a value that is local to this process.

    Only this process's homes change it.
    """

    def __init__(self, *, instances, upstreams):
        """Assign homes to upstreams in round-robin order."""
        self._state = ClusterState(
            version=1,
            upstreams=Map({u.upstream_id: _record(u) for u in upstreams}),
            homes=Map(
                {
                    one.upstream_id: Home(
                        instance=instances[number % len(instances)], fence=1
                    )
                    for number, one in enumerate(upstreams)
                }
            ),
        )

    def view(self):
        """Return the state."""
        return self._state

    def lease_remaining_s(self):
        """Return the remaining time of a lease that never expires."""
        return LEASE_S

    def propose(self, command, *, timeout_s):
        """Accept the assignment of a home; nothing else is proposed here."""
        if not isinstance(command, AssignHome):
            return None
        fence = command.expected_fence + 1
        home = Home(instance=command.home, fence=fence)
        homes = self._state.homes.set(command.upstream_id, home)
        self._state = ClusterState(
            version=self._state.version + 1,
            upstreams=self._state.upstreams,
            homes=homes,
        )
        return HomeAssigned(version=self._state.version, fence=fence)

    def progress(self):
        """Return nothing; no home is taken over here."""
        return ()


class IdleEngines:
    """Engines that hold no memory."""

    def held(self, upstream):
        """Return no holds."""
        return ()


def _record(upstream):
    return UpstreamRecord(upstream=upstream)


def _upstreams(count):
    return [
        Upstream(
            upstream_id=f"engine-{number}",
            incarnation=1,
            address="127.0.0.1:9",
            kind=UpstreamKind.ENGINE,
            roles=(Role.DECODE,),
            targets=("assistant",),
            region="north",
            data_center="north-1",
            pieces_total=1000,
        )
        for number in range(count)
    ]


@click.command()
@click.option("--number", type=int, required=True)
@click.option("--addresses", required=True, help="Peer addresses, by comma.")
@click.option("--upstreams", type=int, required=True)
@click.option("--warm-up", type=float, required=True)
@click.option("--seconds", type=float, required=True)
def main(number, addresses, upstreams, warm_up, seconds):
    """Run one instance's control and print its cost."""
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(sys.stderr)
    )
    peers.TSocket = CountingSocket
    addresses = addresses.split(",")
    instances = [f"i{index}" for index in range(len(addresses))]
    clock = SystemClock()
    settings = Settings(
        instance=instances[number],
        region="north",
        data_center="north-1",
        caller_address="127.0.0.1:9",
        peer_address=addresses[number],
        seeds=tuple(addresses[:2]),
    )
    host, _, port = addresses[number].rpartition(":")
    server = peers.PeerServer(host=host, port=int(port))
    members = build_members(settings=settings, clock=clock)
    homes = build_homes(
        settings=settings,
        clock=clock,
        state=FixedState(instances=instances, upstreams=_upstreams(upstreams)),
        members=members,
        engines=IdleEngines(),
        peer_server=server,
        peer_pool=peers.PeerPool(),
    )
    server.start()
    members.start()
    members.set_ready()
    homes.start()
    own_reports = [
        LoadReport(upstream_id=f"engine-{index}", incarnation=1)
        for index in range(number, upstreams, len(addresses))
    ]
    _report_for(homes, own_reports, warm_up)
    before = _readings(members)
    _report_for(homes, own_reports, seconds)
    after = _readings(members)
    cost = {name: after[name] - before[name] for name in after}
    cost["seconds"] = seconds
    cost["known"] = len(members.members())
    cost["rss_mb"] = psutil.Process().memory_info().rss / MEGABYTE
    sys.stdout.write(json.dumps(cost) + "\n")
    sys.stdout.flush()
    # Other processes are still measuring; leaving the membership now would
    # change their figures.
    time.sleep(warm_up)


def _report_for(homes, reports, seconds):
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        for report in reports:
            homes.report_load(report)
        time.sleep(RENEW_S)


def _readings(members):
    traffic = members.traffic()
    return {
        "cpu_s": time.process_time(),
        "udp_bytes": traffic.sent_bytes + traffic.received_bytes,
        "tcp_bytes": CountingSocket.total_bytes,
    }


if __name__ == "__main__":
    main()
