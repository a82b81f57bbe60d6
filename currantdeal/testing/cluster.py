"""Starts instances, stand-ins and fault proxies for tests and soak runs.

Instances and stand-ins are real processes; the proxies run in the test's own
process.  Closing a cluster ends every process that it started, by process
id, also after a failed test.

Examples
--------
A cluster in a test::

    with Cluster(folder=tmp_path, shape=ClusterShape(
            instances=spread(3), proxied=True)) as cluster:
        cluster.add_engine("p1", roles=("prefill",))
        cluster.start()
        cluster.wait_ready()
        cluster.isolate("bizkaia-1")
"""

from dataclasses import dataclass, replace

import msgspec

from currantdeal.adapters.settings import PeerSettings, Settings
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.instance import Instance
from currantdeal.testing.ports import PortReservations
from currantdeal.testing.processes import ChildProcess
from currantdeal.testing.proxy import Cut, FaultProxy, LinkFaults
from currantdeal.testing.shapes import UPSTREAM_KEY, harness_keys
from currantdeal.testing.standin_client import StandInClient
from currantdeal.testing.waiting import wait_until


@dataclass(frozen=True, kw_only=True)
class StandIn:
    """A stand-in process of a cluster.

    Parameters
    ----------
    client : StandInClient
        Connects to the stand-in directly, not through the proxy.
    proxy : FaultProxy or None
        Carries all other connections to the stand-in, also those of other
        engines.
    """

    name: str
    process: ChildProcess
    client: StandInClient
    proxy: FaultProxy | None


class Cluster:
    """Instances with their stand-ins and proxies.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, logs and data.
    shape : ClusterShape
        Instances to start, with their timing and proxies.
    """

    def __init__(self, *, folder, shape):
        """Reserve addresses and start the proxies, but no process."""
        self._folder = folder
        self._shape = shape
        self._ports = PortReservations()
        self._peer_proxies = {}
        self._caller_proxies = {}
        self._stand_ins = {}
        self._addresses = {
            instance.name: (
                self._ports.take_address(),
                self._ports.take_address(),
            )
            for instance in shape.instances
        }
        if shape.proxied:
            self._start_proxies()
        self._instances = {
            instance.name: self._make_instance(instance)
            for instance in shape.instances
        }

    def __enter__(self):
        """Return the cluster."""
        return self

    def __exit__(self, *error):
        """End every process and proxy."""
        self.close()

    @property
    def instances(self):
        """Instances by name."""
        return dict(self._instances)

    @property
    def stand_ins(self):
        """Stand-ins by name."""
        return dict(self._stand_ins)

    @property
    def caller_addresses(self):
        """Addresses that callers and upstreams use."""
        return tuple(
            instance.advertised_address
            for instance in self._instances.values()
        )

    def instance(self, name):
        """Return an instance by its name."""
        return self._instances[name]

    def stand_in(self, name):
        """Return a stand-in by its name."""
        return self._stand_ins[name]

    def start(self):
        """Start every instance."""
        for instance in self._instances.values():
            instance.start()

    def wait_ready(self, *names, **limits):
        """Return once the named instances, or all of them, are ready."""
        for name in names or self._instances:
            self._instances[name].wait_ready(**limits)

    def wait_upstreams(self, **limits):
        """Return once each instance lists every stand-in as present."""
        wait_until(
            self._all_upstreams_listed, what="listed upstreams", **limits
        )

    def add_engine(
        self, name, *, roles, place=None, options=(), announce_to=()
    ):
        """Start a stand-in engine and return it.

        Parameters
        ----------
        roles : tuple of str
            Roles that the engine announces.
        place : InstanceShape, optional
            Instance whose region and data centre the engine shares; the
            first one by default.
        options : tuple of str
            Additional command line options.
        announce_to : tuple of str
            Names of the instances that the engine announces itself to; all
            by default.
        """
        flags = [part for role in roles for part in ("--role", role)]
        return self._start_stand_in(
            "engine", name, place, [*flags, *options], announce_to
        )

    def add_service(self, name, *, place=None, options=(), announce_to=()):
        """Start a stand-in plain service and return it."""
        return self._start_stand_in(
            "service", name, place, list(options), announce_to
        )

    def restart_stand_in(self, name):
        """Kill a stand-in and start it again under the same address."""
        old = self._stand_ins[name]
        old.process.kill()
        process = ChildProcess(
            arguments=old.process.arguments,
            log_path=self._folder / f"{name}.log",
        )
        process.read_address()
        self._stand_ins[name] = replace(old, process=process)
        return self._stand_ins[name]

    def peer_proxy(self, source, target):
        """Return the proxy between two instances, for one direction."""
        return self._peer_proxies[source, target]

    def caller_proxy(self, name):
        """Return the proxy in front of an instance's caller address."""
        return self._caller_proxies[name]

    def cut(self, source, target, cut=Cut.BOTH):
        """Partition the path from one instance to another without closing it.

        Connections that the source opened stay open; their bytes are held
        back in the given directions, and datagrams are lost.
        """
        proxy = self._peer_proxies[source, target]
        proxy.set_faults(replace(proxy.faults, cut=cut))

    def isolate(self, name, *, callers=False):
        """Partition an instance from the others, and optionally its callers.

        Connections stay open, so that only timeouts detect the partition.
        """
        self._partition((name,), Cut.BOTH)
        if callers:
            proxy = self._caller_proxies[name]
            proxy.set_faults(LinkFaults(cut=Cut.BOTH))

    def isolate_region(self, region):
        """Partition a region from the others without closing connections."""
        self._partition(self._instances_in(region), Cut.BOTH)

    def stall_open_connections(self):
        """Stall every open connection permanently; new ones work.

        Connections of callers to instances are not affected.
        """
        peer_proxies = self._peer_proxies.values()
        upstream_proxies = [
            stand_in.proxy for stand_in in self._stand_ins.values()
        ]
        for proxy in (*peer_proxies, *upstream_proxies):
            proxy.stall_open_connections()

    def heal(self):
        """Heal every partition between instances and towards callers."""
        self._partition(tuple(self._instances), Cut.NONE)
        for proxy in self._caller_proxies.values():
            proxy.set_faults(replace(proxy.faults, cut=Cut.NONE))

    def close(self):
        """End every process and proxy, and release the ports."""
        for instance in self._instances.values():
            instance.kill()
        for stand_in in self._stand_ins.values():
            stand_in.process.kill()
            if stand_in.proxy is not None:
                stand_in.proxy.close()
        proxies = [
            *self._peer_proxies.values(),
            *self._caller_proxies.values(),
        ]
        for proxy in proxies:
            proxy.close()
        self._ports.close()

    def _start_proxies(self):
        for target in self._shape.instances:
            caller, peer = self._addresses[target.name]
            self._caller_proxies[target.name] = FaultProxy(target=caller)
            for source in self._shape.instances:
                if source is not target:
                    delay_s = self._shape.delay_s(source, target)
                    self._peer_proxies[source.name, target.name] = FaultProxy(
                        target=peer, faults=LinkFaults(delay_s=delay_s)
                    )

    def _make_instance(self, shape):
        folder = self._folder / shape.name
        folder.mkdir()
        caller, peer = self._addresses[shape.name]
        proxy = self._caller_proxies.get(shape.name)
        settings = Settings(
            instance=shape.name,
            region=shape.region,
            data_center=shape.data_center,
            caller_address=caller,
            peer_address=peer,
            advertised_caller_address=proxy.address if proxy else "",
            seeds=self._seeds(shape),
            replicas=self._replicas(),
            routes=self._routes(shape),
            data_folder=str(folder / "data") if shape.has_data_folder else "",
            keys=harness_keys(),
            timing=self._shape.timing,
        )
        merged = msgspec.to_builtins(settings) | self._shape.extra_settings
        return Instance(
            settings=msgspec.convert(merged, Settings),
            folder=folder,
            command=self._shape.command,
        )

    def _replicas(self):
        return tuple(
            PeerSettings(
                instance=instance.name,
                peer_address=self._addresses[instance.name][1],
            )
            for instance in self._shape.instances
            if instance.has_data_folder
        )

    def _routes(self, shape):
        return tuple(
            PeerSettings(instance=target, peer_address=proxy.address)
            for (source, target), proxy in self._peer_proxies.items()
            if source == shape.name
        )

    def _seeds(self, shape):
        routes = {
            route.instance: route.peer_address for route in self._routes(shape)
        }
        return tuple(
            routes.get(instance.name, self._addresses[instance.name][1])
            for instance in self._shape.instances
            if instance.has_data_folder and instance.name != shape.name
        )

    def _start_stand_in(self, kind, name, place, options, announce_to):
        place = place or self._shape.instances[0]
        address = self._ports.take_address()
        proxy = FaultProxy(target=address) if self._shape.proxied else None
        process = ChildProcess(
            arguments=[
                "-m",
                f"currantdeal.testing.{kind}",
                *("--id", name, "--address", address),
                *("--advertise", proxy.address if proxy else address),
                *("--region", place.region),
                *("--data-center", place.data_center),
                *("--key", UPSTREAM_KEY),
                *self._instance_options(announce_to),
                *options,
            ],
            log_path=self._folder / f"{name}.log",
        )
        stand_in = StandIn(
            name=name,
            process=process,
            client=StandInClient(address=address),
            proxy=proxy,
        )
        self._stand_ins[name] = stand_in
        process.read_address()
        return stand_in

    def _instance_options(self, announce_to):
        names = announce_to or self._instances
        for name in names:
            yield from ("--instance", self._instances[name].advertised_address)

    def _instances_in(self, region):
        return tuple(
            instance.name
            for instance in self._shape.instances
            if instance.region == region
        )

    def _partition(self, names, cut):
        # Only paths with one end in the group: its members still reach each
        # other.  Healing applies to every path.
        for (source, target), proxy in self._peer_proxies.items():
            ends_inside = (source in names) + (target in names)
            if ends_inside == 1 or cut is Cut.NONE:
                proxy.set_faults(replace(proxy.faults, cut=cut))

    def _all_upstreams_listed(self):
        return all(
            set(self._stand_ins) <= self._listed_upstreams(instance)
            for instance in self._instances.values()
        )

    def _listed_upstreams(self, instance):
        try:
            body = instance.operator("/operator/upstreams")
        except HarnessError:
            return set()
        return {
            record["upstream"]["upstream_id"]
            for record in body["upstreams"]
            if record["present"]
        }
