"""Provides the cluster that the scenarios of ``callers.feature`` share.

All scenarios use one cluster, which is reset after each of them.
"""

import threading
from dataclasses import dataclass, field

from currantdeal.core import Selector
from currantdeal.testing.caller import CallerClient
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.engine_messages import EngineFaults
from currantdeal.testing.operator import OperatorCalls
from currantdeal.testing.service import ServiceFaults
from currantdeal.testing.shapes import ClusterShape, spread
from currantdeal.testing.waiting import wait_until

ENGINES = ("p1", "p2", "d1", "d2")


@dataclass(frozen=True, kw_only=True)
class ScenarioRecord:
    """Observations that the steps of a scenario pass on to later steps."""

    answers: list = field(default_factory=list)
    streams: list = field(default_factory=list)
    keys: list = field(default_factory=list)


class World:
    """A cluster of three instances, engines and a shop, with fault proxies."""

    def __init__(self, *, folder):
        """Start all processes and admit every upstream."""
        shape = ClusterShape(instances=spread(3), proxied=True)
        self.cluster = Cluster(folder=folder, shape=shape)
        self.names = [instance.name for instance in shape.instances]
        try:
            self._start(shape)
        except BaseException:
            self.cluster.close()
            raise

    def _start(self, shape):
        self.cluster.start()
        for name in ENGINES:
            role = "prefill" if name.startswith("p") else "decode"
            place = shape.instances[int(name[1]) - 1]
            self.cluster.add_engine(name, roles=(role,), place=place)
        self.cluster.add_service("shop-1")
        self.cluster.wait_ready()
        self.cluster.wait_upstreams()
        self.operator(0).apply_selector(Selector(name="all"))

    def engine(self, name):
        """Return the stand-in client of an engine."""
        return self.cluster.stand_in(name).client

    @property
    def shop(self):
        """Stand-in client of the shop."""
        return self.cluster.stand_in("shop-1").client

    def caller(self, index):
        """Return a caller that sends to an instance."""
        instance = self.cluster.instance(self.names[index])
        return CallerClient(address=instance.advertised_address)

    def operator(self, index):
        """Return an operator that sends to an instance."""
        instance = self.cluster.instance(self.names[index])
        return OperatorCalls(address=instance.address)

    def held(self):
        """Return the memory that all running engines hold."""
        return [
            memory
            for name in ENGINES
            if self.cluster.stand_in(name).process.running
            for memory in self.engine(name).held()
        ]

    def reset(self):
        """Clear every fault and restart the killed processes."""
        self.cluster.heal()
        for name, stand_in in self.cluster.stand_ins.items():
            if not stand_in.process.running:
                self.cluster.restart_stand_in(name)
        for name in ENGINES:
            self.engine(name).set_faults(**_fields(EngineFaults()))
        self.shop.set_faults(**_fields(ServiceFaults()))
        for instance in self.cluster.instances.values():
            if not instance.process.running:
                instance.start()
        self.cluster.wait_ready()
        self.cluster.wait_upstreams()
        wait_until(lambda: not self.held(), what="free engines")


def in_background(function):
    """Run a function on a thread and return the thread."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    return thread


def _fields(faults):
    return {
        name: getattr(faults, name) for name in faults.__dataclass_fields__
    }
