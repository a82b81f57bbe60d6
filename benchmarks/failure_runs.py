"""Measures the effects of a single failure on a cluster of real processes.

The experiments ``crash``, ``partition``, ``withdrawal`` and ``drain`` share
it: four instances in three regions, their engines and a shop serve a steady
load.  All measurements are taken from outside the processes.
"""

import pathlib
import tempfile
import time
from collections import Counter
from dataclasses import asdict, dataclass

from currantdeal.testing.traffic import Kind, Received
from currantdeal.testing.verdicts import WORK
from currantdeal.testing.waiting import wait_until
from currantdeal.testing.world import LIMIT_S, World

INSTANCES = 4
ENGINE = "decode-1"
STEADY = 40


@dataclass(frozen=True, kw_only=True)
class FailureReport:
    """The effects of one failure.

    Parameters
    ----------
    times_s : dict of str to float
        Times from the failure, in seconds.
    received : dict of str to int
        Numbers of requests by what their callers received.
    violations : int
        Number of violated promises.
    """

    experiment: str
    seed: int
    times_s: dict
    received: dict
    violations: int

    def render(self):
        """Return the report as text."""
        return "\n".join(f"{k}: {v}" for k, v in asdict(self).items())


class FailureRun:
    """A cluster under load and the times of one failure.

    Parameters
    ----------
    seed : int
        Seed of the callers.
    options
        Options of ``World.start``.
    """

    def __init__(self, *, seed, **options):
        """Start the cluster and its callers, and wait for answers."""
        self._seed = seed
        self._began_s = 0.0
        self.times_s = {}
        self.world = World(folder=pathlib.Path(tempfile.mkdtemp()))
        self.world.start(INSTANCES, **options)
        self.world.start_load(seed=seed)
        self.world.wait_served(STEADY)

    def begin(self):
        """Set the present as the origin of the following times."""
        self._began_s = time.time()

    def record_time(self, name, condition):
        """Wait for a condition and record when it became true."""
        wait_until(condition, what=name, limit_s=LIMIT_S)
        self.times_s[name] = round(time.time() - self._began_s, 3)

    def end(self, name):
        """Serve some more requests, stop the callers and return the report."""
        self.world.wait_served(STEADY)
        broken = self.world.find_violations()
        sent = self.world.load.sent
        self.times_s["longest gap between whole streams"] = _gap_s(
            sent, self._began_s
        )
        stopped_s = time.time()
        self.world.wait_nothing_held()
        self.times_s["memory free after the last caller"] = round(
            time.time() - stopped_s, 3
        )
        received = Counter(one.received.value for one in sent)
        return FailureReport(
            experiment=name,
            seed=self._seed,
            times_s=self.times_s,
            received=dict(received),
            violations=len(broken),
        )

    def home(self):
        """Return the home of the observed engine, or None."""
        body = self.world.any_instance().operator("/operator/upstreams")
        for one in body["upstreams"]:
            if one["upstream"]["upstream_id"] == ENGINE and one["home"]:
                return one["home"]["instance"]
        return None

    def reported_statuses(self, name):
        """Return the statuses that the other instances report of one."""
        statuses = set()
        for other in self.world.names():
            status = self.world.status(other)
            if other != name and status:
                statuses |= {
                    member["status"]
                    for member in status["members"]
                    if member["instance"] == name
                }
        return statuses

    def last_work_s(self, engine, since_s):
        """Return the time from ``since_s`` until an engine's last work."""
        events = self.world.cluster.stand_in(engine).client.events()
        last_s = max(
            (event.wall_s for event in events if event.kind in WORK),
            default=since_s,
        )
        return round(max(0.0, last_s - since_s), 3)


def _gap_s(sent, since_s):
    ends = sorted(
        one.ended_s
        for one in sent
        if one.kind is Kind.STREAM
        and one.received is Received.WHOLE
        and one.ended_s >= since_s
    )
    gaps = [
        after - before for before, after in zip(ends, ends[1:], strict=False)
    ]
    return round(max(gaps, default=0.0), 3)
