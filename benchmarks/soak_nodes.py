"""Random faults on entry and control processes, and every promise checked.

Real processes serve callers against stand-ins of upstreams.  Connections of
callers and to upstreams pass proxies that delay, cut, silence and reset them;
processes are paused, killed, stopped and restarted by signals, disks of
control instances are lost or end in half a record.  Faults overlap in each
round.  Then everything is healed, and what must hold in calm times is
checked as well: a planned stop, an upstream that drains, recovery.

Only what callers, upstreams and the operator see is judged.
"""

import asyncio
import itertools
import json
import random
import signal
import subprocess
from collections import Counter

from benchmarks.soak_callers import TARGETS, Caller, judge_attempts
from benchmarks.soak_node_faults import NodeFaults
from currantdeal.testing.entry_world import config_body
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.platform_upstream import StandInUpstream, heartbeat
from currantdeal.testing.proxy import FaultProxy

ROUND_S = 12.0
CALLERS = 12
APPLY_S = 2.5
"""Time in which a change is in force and read everywhere."""

RECOVER_S = 15.0
DRAIN_S = 2.5
BEAT_S = 0.5
CALM_S = 4.5
"""Quiet time after which a process counts as undisturbed."""

STOP_S = 9.0
"""Time for a planned stop: the grace of eight seconds and the notice of it."""


class Upstream:
    """A stand-in that announces itself, behind a proxy or not.

    Parameters
    ----------
    name, service, stage : str
        As in its heartbeats; no stage for a plain service.
    standin : StandInUpstream or None
        One that is reached without a proxy; None for a sound one behind one.
    """

    def __init__(self, *, name, service, stage="", standin=None):
        """Start nothing yet."""
        self.name = name
        self.standin = standin or StandInUpstream(upstream=name, script=_echo)
        self.proxy = None
        self._is_proxied = standin is None
        self.state = "ready"
        self._service = service
        self._stage = stage
        self._sequence = 0
        self.born = 0

    async def start(self):
        """Listen, behind the proxy."""
        await self.standin.start()
        if self._is_proxied:
            self.proxy = FaultProxy(target=self.standin.address)

    def beat(self):
        """Return the next heartbeat."""
        self._sequence += 1
        reached = self.proxy or self.standin
        more = {}
        if self._stage:
            models = [{"Name": "m", "Version": 1, "Adapters": []}]
            more = {"Stage": self._stage, "Models": models}
        return heartbeat(
            reached.address,
            self._service,
            state=self.state,
            sequence=self._sequence,
            born=self.born + self.standin.incarnation,
            **more,
        )


async def _echo(standin, request, writer):
    plain = not request.get("X-Currantdeal-Token-Counts")
    if plain and not request.target.startswith("/v1/"):
        standin.send(request, writer, 200, request.body)
        await writer.drain()
        return True
    return False


class NodeSoak:
    """One soak.

    Parameters
    ----------
    seed : int
        Chooses all faults.
    folder : pathlib.Path
        Holds settings, logs and disks.
    control, entries : int
        Numbers of processes.
    faults : type
        Begins and heals the faults, such as ``NodeFaults``.
    """

    def __init__(
        self, *, seed, folder, control=3, entries=3, faults=NodeFaults
    ):
        """Start nothing before ``run``."""
        self._faults_of = faults
        self.chance = random.Random(seed)
        self.cluster = NodeCluster(
            folder=folder, control=control, entries=entries
        )
        self.upstreams = self._make_upstreams()
        self.entry_proxies = {}
        self.violations = []
        self.checked = Counter()
        self.faults = []
        self.ended = 0
        self.attempts = []
        self._sent = {}
        self._acknowledged = []
        self._version = 0

    def _make_upstreams(self):
        return [
            *(Upstream(name=f"s{n}", service="shop") for n in range(3)),
            Upstream(name="p1", service="model", stage="prefill"),
            Upstream(name="d1", service="model", stage="decode"),
            Upstream(name="d2", service="model", stage="decode"),
        ]

    async def run(self, *, rounds):
        """Play rounds of faults and judge them."""
        with self.cluster:
            for upstream in self.upstreams:
                await upstream.start()
            for entry in self.cluster.entries:
                target = entry.settings["listen"]["callers"]
                name = entry.settings["instance"]
                self.entry_proxies[name] = FaultProxy(target=target)
            tasks = [
                asyncio.ensure_future(work)
                for work in (self._beats(), self._changes(), self._reads())
            ]
            try:
                await self._recover("start")
                for number in range(1, rounds + 1):
                    await self._round(number)
            finally:
                for task in tasks:
                    task.cancel()
        self._judge()

    def check(self, promise, kept, detail):
        """Count a check and note it where a promise was not kept."""
        self.checked[promise] += 1
        if not kept:
            self.violations.append((promise, detail))

    async def call(self, method, path, body=None):
        """Call some control instance; returns status and body."""
        process = self.chance.choice(self.cluster.control)
        url = self.cluster.control_url(process, path)
        return await asyncio.to_thread(self.cluster.call, method, url, body)

    async def _round(self, number):
        callers = self._begin_callers(f"r{number}")
        await self._before_faults(number)
        faults = self._faults_of(soak=self)
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + ROUND_S
        names = []
        while loop.time() < ends_s:
            names.append(faults.begin())
            await asyncio.sleep(self.chance.uniform(0.1, 1.5))
        await faults.heal()
        await self._recover(f"{names}")
        await asyncio.sleep(CALM_S)
        await self._stop_an_entry()
        await self._drain_an_upstream()
        for task in callers:
            task.cancel()
        self.faults += names

    async def _before_faults(self, number):
        """Do what a kind of soak does before the faults of a round."""

    def _begin_callers(self, prefix):
        entries = {n: p.address for n, p in self.entry_proxies.items()}
        return [
            asyncio.ensure_future(
                Caller(
                    name=f"{prefix}-c{number}",
                    entries=entries,
                    chance=random.Random(self.chance.randrange(1 << 30)),
                    attempts=self.attempts,
                ).run()
            )
            for number in range(CALLERS)
        ]

    async def _beats(self):
        while True:
            # A process that has ended says nothing.
            alive = [u for u in self.upstreams if u.standin.is_up]
            await asyncio.gather(*(self._beat(u) for u in alive))
            await asyncio.sleep(BEAT_S)

    async def _beat(self, upstream):
        path = f"/v1/instances/{upstream.name}"
        body = json.dumps(upstream.beat()).encode()
        for _ in range(3):
            status, _ = await self.call("PUT", path, body)
            if status == 200:
                return

    async def _changes(self):
        while True:
            self._version += self.chance.randint(1, 3)
            version = self._version
            body = config_body(version=version, timeout_ms=3_000 + version)
            self._sent[version] = body
            status = 0
            while status != 200:
                status, _ = await self.call("PUT", "/v1/config", body)
            now_s = asyncio.get_running_loop().time()
            self._acknowledged.append((now_s, version))
            await asyncio.sleep(self.chance.choice((0.05, 0.3, 1.5)))

    async def _reads(self):
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            status, body = await self.call("GET", "/v1/config")
            if status == 200:
                self._judge_read(began_s, body)
            await asyncio.sleep(0.2)

    def _judge_read(self, began_s, body):
        read = json.loads(body)
        version = read["Version"]
        due = [v for at, v in self._acknowledged if at < began_s - APPLY_S]
        self.check(
            "a change never reverts",
            version >= max(due, default=0),
            f"read {version} after {max(due, default=0)}",
        )
        self.check(
            "a change is read as it was sent",
            read == json.loads(self._sent[version]),
            f"version {version}",
        )

    async def _recover(self, after):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RECOVER_S
        waiting = {e.settings["instance"]: e for e in self.cluster.entries}
        while waiting and loop.time() < ends_s:
            # All at once: asked in turn, many entries take longer to probe
            # than to recover.
            asked = tuple(waiting)
            serve = await asyncio.gather(
                *(self._is_back(name, waiting[name]) for name in asked)
            )
            for name in itertools.compress(asked, serve):
                del waiting[name]
            await asyncio.sleep(0.1)
        self.check(
            "the system recovers",
            not waiting,
            f"after {after}: {sorted(waiting)}",
        )

    async def _is_back(self, name, entry):
        ready = await asyncio.to_thread(self.cluster.is_ready, entry)
        return ready and await self._serves(name)

    async def _serves(self, name):
        """Return whether an entry serves one request of each kind."""
        seen = []
        address = self.entry_proxies[name].address
        for kind in TARGETS:
            caller = Caller(
                name=f"probe-{self.chance.randrange(1 << 40):x}",
                entries={name: address},
                chance=_Always(kind),
                attempts=seen,
            )
            await caller.send_one()
        self.attempts.extend(seen)
        return all(one.status == 200 and one.whole for one in seen)

    async def _stop_an_entry(self):
        entry = self.chance.choice(self.cluster.entries)
        name = entry.settings["instance"]
        loop = asyncio.get_running_loop()
        told_s = loop.time()
        entry.send_signal(signal.SIGTERM)
        try:
            status = await asyncio.to_thread(entry.wait, STOP_S)
        except subprocess.TimeoutExpired:
            status = "still running"
            entry.kill()
        self.check("a planned stop ends by itself", status == 0, str(status))
        for one in self.attempts:
            if one.entry == name and one.began_s < told_s < one.ended_s:
                self.check(
                    "a planned stop cuts nothing",
                    one.whole,
                    f"{one.number}: {one.status}",
                )
        entry.start()
        await self._recover("a planned stop")

    async def _drain_an_upstream(self):
        upstream = self.upstreams[0]
        upstream.state = "draining"
        if not await self._told_of_drain(upstream):
            return
        await asyncio.sleep(DRAIN_S)
        before = len(upstream.standin.seen)
        await asyncio.sleep(1.0)
        late = upstream.standin.seen[before:]
        self.check("no work after a drain", not late, f"{len(late)} requests")
        upstream.born += 1
        upstream.state = "ready"

    async def _told_of_drain(self, upstream):
        """Return whether some control instance acknowledged a drain."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RECOVER_S
        path = f"/v1/instances/{upstream.name}"
        status = 0
        while status != 200 and loop.time() < ends_s:
            body = json.dumps(upstream.beat()).encode()
            status, _ = await self.call("PUT", path, body)
        self.check("a drain is acknowledged", status == 200, f"{status}")
        return status == 200

    def _judge(self):
        runs = Counter(
            request.request_id
            for upstream in self.upstreams
            for request in upstream.standin.runs
        )
        self.checked["what callers received"] += len(self.attempts)
        self.violations += judge_attempts(self.attempts, runs)


class _Always:
    """Chooses one kind of request, and the only entry there is."""

    def __init__(self, kind):
        self._kind = kind

    def choice(self, found):
        return self._kind if self._kind in found else found[0]
