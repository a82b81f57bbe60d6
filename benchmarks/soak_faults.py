"""Random faults on a cluster, several at once, and their undoing."""

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
    """A fault that has begun.

    Parameters
    ----------
    name : str
        What it is, for the record.
    undo : callable
        Ends it.
    ends_s : float
        Monotonic time at which it is to end.
    instances : tuple of str
        Instances whose callers may be cut off by it.
    """

    name: str
    undo: callable
    ends_s: float
    instances: tuple[str, ...] = ()


class FaultMaker:
    """Begins random faults.

    Parameters
    ----------
    world : World
        The cluster.
    chance : random.Random
        Chooses faults, places and times.
    record : Record
        Takes withdrawals, exits and journals of killed engines.
    """

    def __init__(self, *, world, chance, record):
        """Begin nothing yet."""
        self._world = world
        self._cluster = world.cluster
        self._chance = chance
        self._record = record
        self._busy = set()
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

    def begin(self):
        """Return a new fault, or None when the chosen place is taken."""
        return self._chance.choice(self._kinds)()

    def _fault(self, name, undo, *, place, instances=()):
        self._busy.add(place)

        def end():
            self._busy.discard(place)
            undo()

        length_s = self._chance.uniform(SHORTEST_S, LONGEST_S)
        return Fault(
            name=name,
            undo=end,
            ends_s=time.monotonic() + length_s,
            instances=tuple(instances),
        )

    def _instance(self, *, disk=None):
        found = [
            one
            for name, one in self._cluster.instances.items()
            if name not in self._busy
            and disk in (None, bool(one.settings.data_folder))
        ]
        return self._chance.choice(found) if found else None

    def _engine(self):
        found = [
            name
            for name in self._cluster.stand_ins
            if not name.startswith("shop") and name not in self._busy
        ]
        return self._chance.choice(found) if found else None

    def _kill(self):
        instance = self._instance()
        if instance is None:
            return None
        instance.kill()
        return self._fault(
            f"kill {instance.name}",
            instance.start,
            place=instance.name,
            instances=(instance.name,),
        )

    def _lose_disk(self):
        if self._busy & self._replicas():
            return None
        instance = self._instance(disk=True)
        if instance is None:
            return None
        instance.kill()
        shutil.rmtree(instance.settings.data_folder, ignore_errors=True)
        # No other replica fails until this one is whole again: the promise
        # is one lost disk at a time, and a second loss after the repair.
        kept = self._replicas() - {instance.name}
        self._busy |= kept

        def undo():
            instance.start()
            try:
                self._world.cluster.wait_ready(
                    instance.name, limit_s=EXIT_LIMIT_S
                )
            finally:
                self._busy -= kept

        return self._fault(
            f"lose the disk of {instance.name}",
            undo,
            place=instance.name,
            instances=(instance.name,),
        )

    def _replicas(self):
        return {
            name
            for name, one in self._cluster.instances.items()
            if one.settings.data_folder
        }

    def _freeze(self):
        instance = self._instance()
        if instance is None:
            return None
        instance.freeze()
        return self._fault(
            f"freeze {instance.name}",
            instance.thaw,
            place=instance.name,
            instances=(instance.name,),
        )

    def _isolate(self):
        instance = self._instance()
        if instance is None:
            return None
        self._cluster.isolate(instance.name)
        return self._fault(
            f"isolate {instance.name}",
            lambda: self._set_cut({instance.name}, Cut.NONE),
            place=instance.name,
            instances=(instance.name,),
        )

    def _isolate_region(self):
        regions = {
            one.settings.region for one in self._cluster.instances.values()
        }
        region = self._chance.choice(sorted(regions))
        names = {
            name
            for name, one in self._cluster.instances.items()
            if one.settings.region == region
        }
        if names & self._busy:
            return None
        self._cluster.isolate_region(region)
        self._busy |= names

        def undo():
            self._busy.difference_update(names)
            self._set_cut(names, Cut.NONE)

        return self._fault(
            f"isolate {region}", undo, place=region, instances=names
        )

    def _set_cut(self, names, cut):
        for source in self._cluster.instances:
            for target in self._cluster.instances:
                if source != target and {source, target} & names:
                    self._cluster.cut(source, target, cut)

    def _cut_one_way(self):
        source, target = self._instance(), self._instance()
        if source is None or source is target:
            return None
        self._cluster.cut(source.name, target.name, Cut.TO_TARGET)
        return self._fault(
            f"cut {source.name} to {target.name}",
            lambda: self._cluster.cut(source.name, target.name, Cut.NONE),
            place=f"{source.name}/{target.name}",
        )

    def _silence_peers(self):
        source, target = self._instance(), self._instance()
        if source is None or source is target:
            return None
        self._cluster.peer_proxy(source.name, target.name).silence_open()
        return self._fault(
            f"silence {source.name} to {target.name}",
            lambda: None,
            place=f"silence {source.name}",
        )

    def _silence_callers(self):
        instance = self._instance()
        if instance is None:
            return None
        self._cluster.caller_proxy(instance.name).silence_open()
        return self._fault(
            f"silence callers of {instance.name}",
            lambda: None,
            place=f"callers {instance.name}",
            instances=(instance.name,),
        )

    def _silence_upstream(self):
        name = self._chance.choice(sorted(self._cluster.stand_ins))
        self._cluster.stand_in(name).proxy.silence_open()
        return self._fault(
            f"silence {name}", lambda: None, place=f"silence {name}"
        )

    def _kill_engine(self):
        name = self._engine()
        if name is None:
            return None
        self._record.keep_journal(name, self._cluster.stand_in(name).client)
        self._cluster.restart_stand_in(name)
        return self._fault(
            f"restart {name}", lambda: None, place=f"restart {name}"
        )

    def _stall_transfer(self):
        return self._engine_fault("stall", True, False, "stall_transfer")

    def _slow_engine(self):
        return self._engine_fault("slow", 6.0, 1.0, "slow_factor")

    def _engine_fault(self, name, value, normal, field):
        engine = self._engine()
        if engine is None:
            return None

        def set_to(wanted):
            client = self._cluster.stand_in(engine).client
            client.set_faults(**{field: wanted})

        set_to(value)
        return self._fault(
            f"{name} {engine}", lambda: set_to(normal), place=f"slow {engine}"
        )

    def _withdraw(self):
        engine = self._engine()
        if engine is None:
            return None
        began_s = self._change_label(engine, withdrawn=True)
        if began_s is None:
            return None

        def undo():
            # Until the answer to the restoration, work may come again from
            # the moment it was asked for.
            asked_s = time.time()
            self._record.withdrawn(engine, began_s, asked_s)
            while self._change_label(engine, withdrawn=False) is None:
                time.sleep(0.5)

        return self._fault(f"withdraw {engine}", undo, place=engine)

    def _change_label(self, engine, *, withdrawn):
        for name in self._cluster.instances:
            if name in self._busy:
                continue
            try:
                at = self._cluster.instance(name)
                return self._world.set_withdrawn(engine, withdrawn, at=at)
            except (HarnessError, urllib3.exceptions.HTTPError):
                continue
        return None

    def _stop_gracefully(self):
        instance = self._instance()
        if instance is None:
            return None
        began_s = time.time()

        def undo():
            try:
                status = instance.process.wait(limit_s=EXIT_LIMIT_S)
            except HarnessError:
                status = None
            self._record.exited(instance.name, began_s, status)
            instance.kill()
            instance.start()

        instance.process.send_signal(15)
        return self._fault(f"stop {instance.name}", undo, place=instance.name)
