"""Runs a cluster of replicated-state processes with a proxy on every path.

The proxies delay, cut and count the traffic between instances.
"""

import subprocess
import sys
import time
from pathlib import Path

import msgspec

from benchmarks.consensus_instance import ProcessRequest
from currantdeal.adapters.settings import PeerSettings, Settings
from currantdeal.testing.ports import PortReservations
from currantdeal.testing.proxy import Cut, FaultProxy, LinkFaults

REGIONS = ("bizkaia", "cantabria", "asturias")
START_LIMIT_S = 30.0


class Child:
    """The process of one instance, called by lines of JSON."""

    def __init__(self, *, settings, folder):
        """Start the process and wait until it is ready for requests."""
        path = folder / f"{settings.instance}.json"
        path.write_bytes(msgspec.json.encode(settings))
        with open(folder / f"{settings.instance}.log", "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.consensus_instance", path],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
            )
        self._popen.stdout.readline()

    def send(self, op, **fields):
        """Send a request; ``receive`` returns its answer."""
        raw = msgspec.json.encode(ProcessRequest(op=op, **fields))
        self._popen.stdin.write(raw + b"\n")
        self._popen.stdin.flush()

    def receive(self):
        """Return the answer to the oldest unanswered request."""
        return msgspec.json.decode(self._popen.stdout.readline())

    def call(self, op, **fields):
        """Send a request and return its answer."""
        self.send(op, **fields)
        return self.receive()

    def kill(self):
        """Kill the process without a graceful shutdown."""
        self._popen.kill()
        self._popen.wait()
        self._popen.stdin.close()
        self._popen.stdout.close()


class Cluster:
    """Instances ``i1`` to ``iN``, of which the first are replicas.

    Parameters
    ----------
    folder : Path
        Holds data folders, settings and logs.
    replicas, instances : int
        Numbers of replicas and of all instances.
    delay_s : float
        One-way delay between any two instances.
    proxied : bool
        Whether every path has a proxy.  Paths without one have no delay and
        can be neither cut nor counted, but many more instances fit on a
        machine.
    """

    def __init__(
        self, *, folder, replicas, instances, delay_s=0.0, proxied=True
    ):
        """Start all processes and wait until each holds a lease."""
        self._folder = Path(folder)
        self.names = [f"i{n + 1}" for n in range(instances)]
        self.replicas = self.names[:replicas]
        self._faults = LinkFaults(delay_s=delay_s)
        self._ports = PortReservations()
        self._addresses = {
            name: self._ports.take_address() for name in self.names
        }
        self.proxies = {
            (source, target): FaultProxy(
                target=self._addresses[target], faults=self._faults
            )
            for source in self.names
            for target in self.replicas
            if source != target and proxied
        }
        self.children = {}
        for name in self.names:
            self.start(name)
        self.wait_for_leases()

    def start(self, name):
        """Start an instance's process."""
        place = self.names.index(name)
        replica = name in self.replicas
        settings = Settings(
            instance=name,
            region=REGIONS[place % len(REGIONS)],
            data_center="d1",
            caller_address="",
            peer_address=self._addresses[name],
            replicas=tuple(
                PeerSettings(instance=rep, peer_address=self._addresses[rep])
                for rep in self.replicas
            ),
            routes=tuple(
                PeerSettings(instance=target, peer_address=proxy.address)
                for (source, target), proxy in self.proxies.items()
                if source == name
            ),
            data_folder=str(self._folder / name) if replica else "",
        )
        self.children[name] = Child(settings=settings, folder=self._folder)

    def kill(self, name):
        """Kill an instance's process without a graceful shutdown."""
        self.children.pop(name).kill()

    def leader(self):
        """Wait for a leader and return its name."""
        due_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < due_s:
            for name in self.replicas:
                child = self.children.get(name)
                if child and child.call("status")["leads"]:
                    return name
            time.sleep(0.05)
        raise TimeoutError(f"no leader within {START_LIMIT_S:.0f} s")

    def wait_for_leases(self):
        """Wait until every running instance holds a lease."""
        due_s = time.monotonic() + START_LIMIT_S
        for child in self.children.values():
            while child.call("status")["lease_s"] <= 0:
                if time.monotonic() > due_s:
                    raise TimeoutError(
                        f"an instance has no lease after {START_LIMIT_S:.0f} s"
                    )
                time.sleep(0.05)

    def cut(self, name, cut):
        """Set the cut of all paths to and from an instance."""
        faults = LinkFaults(delay_s=self._faults.delay_s, cut=cut)
        for pair, proxy in self.proxies.items():
            if name in pair:
                proxy.set_faults(faults)

    def isolate(self, name):
        """Cut an instance off without closing its connections."""
        self.cut(name, Cut.BOTH)

    def heal(self, name):
        """Undo ``isolate``."""
        self.cut(name, Cut.NONE)

    def bytes_of(self, name):
        """Return the bytes that an instance has sent and received."""
        return sum(
            proxy.bytes_to_target + proxy.bytes_to_source
            for pair, proxy in self.proxies.items()
            if name in pair
        )

    def close(self):
        """Stop all processes and proxies."""
        for name in list(self.children):
            self.kill(name)
        for proxy in self.proxies.values():
            proxy.close()
        self._ports.close()
