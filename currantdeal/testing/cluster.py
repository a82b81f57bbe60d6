"""Harness: instances, stand-ins and proxies as real processes.

Everything that a cluster started is ended by its process id when the
cluster is closed, also after a failure.

Examples
--------
The harness in a test::

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
        Reaches it past the proxy.
    proxy : FaultProxy or None
        Stands between it and everybody else, engines included.
    """

    name: str
    process: ChildProcess
    client: StandInClient
    proxy: FaultProxy | None


class Cluster:
    """Some instances with the stand-ins and proxies around them.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, logs and data.
    shape : ClusterShape
        What to start.
    """

    def __init__(self, *, folder, shape):
        """Reserve addresses and start proxies, but no process."""
        self._folder = folder
        self._shape = shape
        self._ports = PortReservations()
        self._peer_proxies = {}
        self._caller_proxies = {}
        self._stand_ins = {}
        self._addresses = {
            one.name: (self._ports.take_address(), self._ports.take_address())
            for one in shape.instances
        }
        if shape.proxied:
            self._start_proxies()
        self._instances = {
            one.name: self._make_instance(one) for one in shape.instances
        }

    def __enter__(self):
        """Return the cluster."""
        return self

    def __exit__(self, *error):
        """End everything."""
        self.close()

    @property
    def instances(self):
        """Mapping of names to instances."""
        return dict(self._instances)

    @property
    def stand_ins(self):
        """Mapping of names to stand-ins."""
        return dict(self._stand_ins)

    @property
    def caller_addresses(self):
        """Addresses that callers and upstreams use."""
        return tuple(one.advertised for one in self._instances.values())

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
        """Return once each instance knows every stand-in."""
        wait_until(self._all_known, what="known upstreams", **limits)

    def add_engine(self, name, *, roles, place=None, options=(), told=()):
        """Start a stand-in engine and return it.

        Parameters
        ----------
        roles : tuple of str
            Roles it serves.
        place : InstanceShape, optional
            In whose region and data center it stands; the first one's.
        options : tuple of str
            More command line options.
        told : tuple of str
            Names of the instances it announces to; all by default.
        """
        flags = [part for role in roles for part in ("--role", role)]
        return self._add("engine", name, place, [*flags, *options], told)

    def add_service(self, name, *, place=None, options=(), told=()):
        """Start a stand-in plain service and return it."""
        return self._add("service", name, place, list(options), told)

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
        """Return the proxy on the way of one instance to another."""
        return self._peer_proxies[source, target]

    def caller_proxy(self, name):
        """Return the proxy before an instance's caller address."""
        return self._caller_proxies[name]

    def cut(self, source, target, cut=Cut.BOTH):
        """Hold what goes over the connections of one to another instance."""
        proxy = self._peer_proxies[source, target]
        proxy.set_faults(replace(proxy.faults, cut=cut))

    def isolate(self, name, *, callers=False):
        """Cut an instance silently off the others, and off its callers."""
        self._set_cut((name,), Cut.BOTH)
        if callers:
            proxy = self._caller_proxies[name]
            proxy.set_faults(LinkFaults(cut=Cut.BOTH))

    def isolate_region(self, region):
        """Cut all instances of a region silently off the others."""
        self._set_cut(self._names_in(region), Cut.BOTH)

    def silence_open(self):
        """Hold every open connection silently for good; new ones work.

        Connections of callers to instances are left alone.
        """
        between = self._peer_proxies.values()
        before = [one.proxy for one in self._stand_ins.values()]
        for proxy in (*between, *before):
            proxy.silence_open()

    def heal(self):
        """Lift every cut between instances and before callers."""
        self._set_cut(tuple(self._instances), Cut.NONE)
        for proxy in self._caller_proxies.values():
            proxy.set_faults(replace(proxy.faults, cut=Cut.NONE))

    def close(self):
        """End every process and proxy, and give the ports back."""
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
            data_folder=str(folder / "data") if shape.disk else "",
            keys=harness_keys(),
            timing=self._shape.timing,
        )
        merged = msgspec.to_builtins(settings) | self._shape.extra
        return Instance(
            settings=msgspec.convert(merged, Settings),
            folder=folder,
            command=self._shape.command,
        )

    def _replicas(self):
        return tuple(
            PeerSettings(
                instance=one.name, peer_address=self._addresses[one.name][1]
            )
            for one in self._shape.instances
            if one.disk
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
            routes.get(one.name, self._addresses[one.name][1])
            for one in self._shape.instances
            if one.disk and one.name != shape.name
        )

    def _add(self, kind, name, place, options, told):
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
                *self._instance_options(told),
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

    def _instance_options(self, told):
        names = told or self._instances
        for name in names:
            yield from ("--instance", self._instances[name].advertised)

    def _names_in(self, region):
        return tuple(
            one.name for one in self._shape.instances if one.region == region
        )

    def _set_cut(self, names, cut):
        # Only paths that leave the group: its members still reach each other.
        for (source, target), proxy in self._peer_proxies.items():
            inside = (source in names) + (target in names)
            if inside == 1 or cut is Cut.NONE:
                proxy.set_faults(replace(proxy.faults, cut=cut))

    def _all_known(self):
        return all(
            set(self._stand_ins) <= self._known(instance)
            for instance in self._instances.values()
        )

    def _known(self, instance):
        try:
            body = instance.operator("/operator/upstreams")
        except HarnessError:
            return set()
        return {
            record["upstream"]["upstream_id"]
            for record in body["upstreams"]
            if record["present"]
        }
