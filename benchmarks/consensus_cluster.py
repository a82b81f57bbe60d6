"""Real processes of the replicated state, with a proxy on every path."""

import subprocess
import sys
import time
from pathlib import Path

import msgspec

from benchmarks.consensus_instance import Ask
from currantdeal.adapters.settings import PeerSettings, Settings
from currantdeal.testing.ports import PortReservations
from currantdeal.testing.proxy import Cut, FaultProxy, LinkFaults

REGIONS = ("bizkaia", "cantabria", "asturias")
START_LIMIT_S = 30.0


class Child:
    """One instance's process."""

    def __init__(self, *, settings, folder):
        """Start the process."""
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
        """Ask without waiting; ``receive`` brings the answer."""
        raw = msgspec.json.encode(Ask(op=op, **fields))
        self._popen.stdin.write(raw + b"\n")
        self._popen.stdin.flush()

    def receive(self):
        """Return the answer to the oldest request."""
        return msgspec.json.decode(self._popen.stdout.readline())

    def ask(self, op, **fields):
        """Return the answer to a request."""
        self.send(op, **fields)
        return self.receive()

    def kill(self):
        """End the process without a word."""
        self._popen.kill()
        self._popen.wait()
        self._popen.stdin.close()
        self._popen.stdout.close()


class Cluster:
    """Instances ``i1`` to ``iN``, the first of them replicas.

    Parameters
    ----------
    folder : Path
        Takes data folders, settings and logs.
    replicas, instances : int
        How many there are.
    delay_s : float
        One-way delay between any two instances.
    proxied : bool
        Put a proxy on every path; without one, paths have no delay and can
        be neither cut nor counted, and many more instances fit a machine.
    """

    def __init__(
        self, *, folder, replicas, instances, delay_s=0.0, proxied=True
    ):
        """Start every process and wait for every lease."""
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
        """End an instance's process without a word."""
        self.children.pop(name).kill()

    def leader(self):
        """Return the name of the leader, once there is one."""
        due_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < due_s:
            for name in self.replicas:
                child = self.children.get(name)
                if child and child.ask("status")["leads"]:
                    return name
            time.sleep(0.05)
        raise TimeoutError("no leader")

    def wait_for_leases(self):
        """Return once every running instance holds a lease."""
        due_s = time.monotonic() + START_LIMIT_S
        for child in self.children.values():
            while child.ask("status")["lease_s"] <= 0:
                if time.monotonic() > due_s:
                    raise TimeoutError("no lease")
                time.sleep(0.05)

    def cut(self, name, cut):
        """Hold everything to and from an instance, or nothing."""
        faults = LinkFaults(delay_s=self._faults.delay_s, cut=cut)
        for pair, proxy in self.proxies.items():
            if name in pair:
                proxy.set_faults(faults)

    def isolate(self, name):
        """Cut an instance off silently."""
        self.cut(name, Cut.BOTH)

    def heal(self, name):
        """Undo ``isolate``."""
        self.cut(name, Cut.NONE)

    def bytes_of(self, name):
        """Return the bytes sent and received by an instance so far."""
        return sum(
            proxy.bytes_to_target + proxy.bytes_to_source
            for pair, proxy in self.proxies.items()
            if name in pair
        )

    def close(self):
        """End all processes and proxies."""
        for name in list(self.children):
            self.kill(name)
        for proxy in self.proxies.values():
            proxy.close()
        self._ports.close()
