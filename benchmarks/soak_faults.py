"""Injects random faults into a cluster of instances and undoes them.

``benchmarks.soak`` keeps several faults active at once and undoes each when
its time is over.
"""

import shutil
import time
from dataclasses import dataclass

import urllib3

from currantdeal.testing.errors import HarnessError
from currantdeal.testing.proxy import Cut

LONGEST_S = 8.0
SHORTEST_S = 0.5
EXIT_LIMIT_S = 90.0


@dataclass(frozen=True, kw_only=True)
class Fault:
    """An active fault.

    Parameters
    ----------
    name : str
        Kind and place of the fault, for the record.
    undo : callable
        Ends the fault.
    ends_s : float
        Monotonic time at which the fault is due to be undone.
    instances : tuple of str
        Instances whose callers the fault may cut off.
    """

    name: str
    undo: callable
    ends_s: float
    instances: tuple[str, ...] = ()


class FaultInjector:
    """Injects random faults.

    Parameters
    ----------
    world : World
        The cluster.
    rng : random.Random
        Draws the kind, place and duration of each fault.
    record : SoakRecord
        Receives withdrawals, exits and the journals of killed engines.
    """

    def __init__(self, *, world, rng, record):
        """Prepare the kinds of faults without injecting any."""
        self._world = world
        self._cluster = world.cluster
        self._rng = rng
        self._record = record
        self._affected = set()
        self._kinds = (
            self._kill,
            self._kill,
            self._freeze,
            self._isolate,
            self._isolate_region,
            self._cut_one_way,
            self._silence_peers,
            self._silence_callers,
            self._silence_upstream,
            self._kill_engine,
            self._stall_transfer,
            self._slow_engine,
            self._withdraw,
            self._stop_gracefully,
            self._lose_disk,
        )

    def inject(self):
        """Inject a fault; return None if its place already has one."""
        return self._rng.choice(self._kinds)()

    def _make_fault(self, name, undo, *, place, instances=()):
        self._affected.add(place)

        def end():
            self._affected.discard(place)
            undo()

        length_s = self._rng.uniform(SHORTEST_S, LONGEST_S)
        return Fault(
            name=name,
            undo=end,
            ends_s=time.monotonic() + length_s,
            instances=tuple(instances),
        )

    def _pick_instance(self, *, disk=None):
        found = [
            instance
            for name, instance in self._cluster.instances.items()
            if name not in self._affected
            and disk in (None, bool(instance.settings.data_folder))
        ]
        return self._rng.choice(found) if found else None

    def _pick_engine(self):
        found = [
            name
            for name in self._cluster.stand_ins
            if not name.startswith("shop") and name not in self._affected
        ]
        return self._rng.choice(found) if found else None

    def _kill(self):
        instance = self._pick_instance()
        if instance is None:
            return None
        instance.kill()
        return self._make_fault(
            f"kill {instance.name}",
            instance.start,
            place=instance.name,
            instances=(instance.name,),
        )

    def _lose_disk(self):
        if self._affected & self._replicas():
            return None
        instance = self._pick_instance(disk=True)
        if instance is None:
            return None
        instance.kill()
        shutil.rmtree(instance.settings.data_folder, ignore_errors=True)
        # No other replica may fail until this one is repaired: the system
        # promises to survive one lost disk at a time, and a second loss only
        # after the repair of the first.
        spared = self._replicas() - {instance.name}
        self._affected |= spared

        def undo():
            instance.start()
            try:
                self._world.cluster.wait_ready(
                    instance.name, limit_s=EXIT_LIMIT_S
                )
            finally:
                self._affected -= spared

        return self._make_fault(
            f"lose the disk of {instance.name}",
            undo,
            place=instance.name,
            instances=(instance.name,),
        )

    def _replicas(self):
        return {
            name
            for name, instance in self._cluster.instances.items()
            if instance.settings.data_folder
        }

    def _freeze(self):
        instance = self._pick_instance()
        if instance is None:
            return None
        instance.freeze()
        return self._make_fault(
            f"freeze {instance.name}",
            instance.thaw,
            place=instance.name,
            instances=(instance.name,),
        )

    def _isolate(self):
        instance = self._pick_instance()
        if instance is None:
            return None
        self._cluster.isolate(instance.name)
        return self._make_fault(
            f"isolate {instance.name}",
            lambda: self._set_cut({instance.name}, Cut.NONE),
            place=instance.name,
            instances=(instance.name,),
        )

    def _isolate_region(self):
        regions = {
            instance.settings.region
            for instance in self._cluster.instances.values()
        }
        region = self._rng.choice(sorted(regions))
        names = {
            name
            for name, instance in self._cluster.instances.items()
            if instance.settings.region == region
        }
        if names & self._affected:
            return None
        self._cluster.isolate_region(region)
        self._affected |= names

        def undo():
            self._affected.difference_update(names)
            self._set_cut(names, Cut.NONE)

        return self._make_fault(
            f"isolate {region}", undo, place=region, instances=names
        )

    def _set_cut(self, names, cut):
        for source in self._cluster.instances:
            for target in self._cluster.instances:
                if source != target and {source, target} & names:
                    self._cluster.cut(source, target, cut)

    def _cut_one_way(self):
        source, target = self._pick_instance(), self._pick_instance()
        if source is None or source is target:
            return None
        self._cluster.cut(source.name, target.name, Cut.TO_TARGET)
        return self._make_fault(
            f"cut {source.name} to {target.name}",
            lambda: self._cluster.cut(source.name, target.name, Cut.NONE),
            place=f"{source.name}/{target.name}",
        )

    def _silence_peers(self):
        source, target = self._pick_instance(), self._pick_instance()
        if source is None or source is target:
            return None
        self._cluster.peer_proxy(
            source.name, target.name
        ).stall_open_connections()
        return self._make_fault(
            f"silence {source.name} to {target.name}",
            lambda: None,
            place=f"silence {source.name}",
        )

    def _silence_callers(self):
        instance = self._pick_instance()
        if instance is None:
            return None
        self._cluster.caller_proxy(instance.name).stall_open_connections()
        return self._make_fault(
            f"silence callers of {instance.name}",
            lambda: None,
            place=f"callers {instance.name}",
            instances=(instance.name,),
        )

    def _silence_upstream(self):
        name = self._rng.choice(sorted(self._cluster.stand_ins))
        self._cluster.stand_in(name).proxy.stall_open_connections()
        return self._make_fault(
            f"silence {name}", lambda: None, place=f"silence {name}"
        )

    def _kill_engine(self):
        name = self._pick_engine()
        if name is None:
            return None
        self._record.save_journal(name, self._cluster.stand_in(name).client)
        self._cluster.restart_stand_in(name)
        return self._make_fault(
            f"restart {name}", lambda: None, place=f"restart {name}"
        )

    def _stall_transfer(self):
        return self._engine_fault("stall", True, False, "stall_transfer")

    def _slow_engine(self):
        return self._engine_fault("slow", 6.0, 1.0, "slow_factor")

    def _engine_fault(self, name, value, normal, field):
        engine = self._pick_engine()
        if engine is None:
            return None

        def set_to(wanted):
            client = self._cluster.stand_in(engine).client
            client.set_faults(**{field: wanted})

        set_to(value)
        return self._make_fault(
            f"{name} {engine}", lambda: set_to(normal), place=f"slow {engine}"
        )

    def _withdraw(self):
        engine = self._pick_engine()
        if engine is None:
            return None
        began_s = self._change_label(engine, withdrawn=True)
        if began_s is None:
            return None

        def undo():
            # The engine may receive work again as soon as the restoration
            # is requested, even before the answer arrives.
            requested_s = time.time()
            self._record.record_withdrawal(engine, began_s, requested_s)
            while self._change_label(engine, withdrawn=False) is None:
                time.sleep(0.5)

        return self._make_fault(f"withdraw {engine}", undo, place=engine)

    def _change_label(self, engine, *, withdrawn):
        for name in self._cluster.instances:
            if name in self._affected:
                continue
            try:
                at = self._cluster.instance(name)
                return self._world.set_withdrawn(engine, withdrawn, at=at)
            except (HarnessError, urllib3.exceptions.HTTPError):
                continue
        return None

    def _stop_gracefully(self):
        instance = self._pick_instance()
        if instance is None:
            return None
        began_s = time.time()

        def undo():
            try:
                status = instance.process.wait(limit_s=EXIT_LIMIT_S)
            except HarnessError:
                status = None
            self._record.record_exit(instance.name, began_s, status)
            instance.kill()
            instance.start()

        instance.process.send_signal(15)
        return self._make_fault(
            f"stop {instance.name}", undo, place=instance.name
        )
