"""Soaks entry and control processes under random faults.

Real processes serve callers with stand-in upstreams.  Connections from
callers and to upstreams pass through proxies that delay, cut, silence and
reset them.  Processes are paused, killed, stopped and restarted by signals;
disks of control instances are lost or end in a torn record.  Faults overlap
within a round.  After each round all faults are undone, and what must hold
without faults is checked too: recovery, a planned stop and an upstream that
drains.

The verdict uses only what callers, upstreams and the operator observe.
"""

import asyncio
import itertools
import json
import random
import signal
import subprocess
import time
from collections import Counter

from benchmarks.soak_callers import (
    DEADLINE_S,
    TARGETS,
    Caller,
    FixedChoice,
    verify_attempts,
)
from benchmarks.soak_node_faults import NodeFaultInjector
from benchmarks.soak_upstreams import SoakUpstream
from currantdeal.entry.service import ANSWER_MARGIN_S
from currantdeal.testing.entry_world import config_body
from currantdeal.testing.loop_watch import LoopWatch
from currantdeal.testing.node_processes import NodeCluster
from currantdeal.testing.proxy import FaultProxy

ROUND_S = 12.0
CALLERS = 12
APPLY_S = 2.5
"""Time within which a change is in force and every read returns it."""

RECOVER_S = 15.0
DRAIN_S = 2.5
HEARTBEAT_S = 0.5
QUIET_S = 4.5
"""Time without faults after which a process counts as undisturbed."""

STOP_S = 9.0
"""Limit of a planned stop: the grace period of 8 s and its announcement."""


class NodeSoak:
    """One soak of entry and control processes.

    Parameters
    ----------
    seed : int
        Determines all faults.
    folder : pathlib.Path
        Holds settings, logs and disks.
    control, entries : int
        Numbers of processes.
    faults : type
        Injects and heals the faults, such as ``NodeFaultInjector``.

    Attributes
    ----------
    engines, prefills : int
        Numbers of decode engines and of prefill engines.
    """

    engines, prefills = 2, 1

    def __init__(
        self, *, seed, folder, control=3, entries=3, faults=NodeFaultInjector
    ):
        """Prepare the processes; ``run`` starts them."""
        self._fault_injector_type = faults
        self.rng = random.Random(seed)
        self.cluster = NodeCluster(
            folder=folder, control=control, entries=entries
        )
        self.upstreams, self.entry_proxies = self._make_upstreams(), {}
        self.violations = []
        self.checked = Counter()
        self.faults = []
        self.early_exits = 0
        self.loop_watch = LoopWatch()
        self.attempts = []
        self.stops = []
        self._sent = {}
        self._acknowledged = []
        self._version = 0

    def _make_upstreams(self):
        return [
            *(SoakUpstream(name=f"s{n}", service="shop") for n in range(3)),
            *self._make_engines("prefill", self.prefills),
            *self._make_engines("decode", self.engines),
        ]

    @staticmethod
    def _make_engines(stage, count):
        return [
            SoakUpstream(name=f"{stage[0]}{n}", service="model", stage=stage)
            for n in range(1, count + 1)
        ]

    async def run(self, *, rounds):
        """Run rounds of faults and verify every promise."""
        with self.cluster:
            for upstream in self.upstreams:
                await upstream.start()
            for entry in self.cluster.entries:
                target = entry.settings["listen"]["callers"]
                name = entry.settings["instance"]
                self.entry_proxies[name] = FaultProxy(target=target)
            tasks = [
                asyncio.ensure_future(work)
                for work in (
                    self.loop_watch.run(),
                    self._send_heartbeats(),
                    self._change_config(),
                    self._read_config(),
                )
            ]
            try:
                await self._check_recovery("start")
                for number in range(1, rounds + 1):
                    await self._run_round(number)
            finally:
                end_tasks(tasks)
                for proxy in self.proxies:
                    proxy.close()
        self._verify()

    @property
    def proxies(self):
        """The proxies of upstreams and entries, in a fixed order."""
        found = [u.proxy for u in self.upstreams if u.proxy is not None]
        return [*found, *(p for _, p in sorted(self.entry_proxies.items()))]

    def check(self, promise, holds, detail):
        """Count a check of a promise and record a violation of it."""
        self.checked[promise] += 1
        if not holds:
            self.violations.append((promise, detail))

    async def call(self, method, path, body=None):
        """Call a random control instance; return status and body."""
        process = self.rng.choice(self.cluster.control)
        url = self.cluster.control_url(process, path)
        return await asyncio.to_thread(self.cluster.call, method, url, body)

    async def _run_round(self, number):
        callers = self._start_callers(f"r{number}")
        await self._prepare_round(number)
        faults = self._fault_injector_type(soak=self)
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + ROUND_S
        names = []
        while loop.time() < ends_s:
            names.append(faults.inject())
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        await faults.heal()
        await self._check_recovery(f"{names}")
        await asyncio.sleep(QUIET_S)
        await self._stop_entry()
        await self._drain_upstream()
        end_tasks(callers)
        await self._end_round()
        self.faults += names

    async def _prepare_round(self, number):
        """Run the steps of a subclass before the faults of a round."""

    async def _end_round(self):
        """End what a subclass started in ``_prepare_round``."""

    def _start_callers(self, prefix):
        entries = {n: p.address for n, p in self.entry_proxies.items()}
        return [
            asyncio.ensure_future(
                Caller(
                    name=f"{prefix}-c{number}",
                    entries=entries,
                    rng=random.Random(self.rng.randrange(1 << 30)),
                    attempts=self.attempts,
                    **self._caller_options(number),
                ).run()
            )
            for number in range(CALLERS)
        ]

    def _caller_options(self, number):
        """Return further options of one of the callers of a round."""
        return {}

    async def _send_heartbeats(self):
        while True:
            # A process that has ended sends no heartbeats.
            alive = [u for u in self.upstreams if u.standin.is_up]
            await asyncio.gather(*(self._send_heartbeat(u) for u in alive))
            await asyncio.sleep(HEARTBEAT_S)

    async def _send_heartbeat(self, upstream):
        path = f"/v1/instances/{upstream.name}"
        body = json.dumps(upstream.next_heartbeat()).encode()
        for _ in range(3):
            status, _ = await self.call("PUT", path, body)
            if status == 200:
                return

    async def _change_config(self):
        while True:
            self._version += self.rng.randint(1, 3)
            version = self._version
            body = self._config_body(version)
            self._sent[version] = body
            status = 0
            while status != 200:
                status, _ = await self.call("PUT", "/v1/config", body)
            now_s = asyncio.get_running_loop().time()
            self._acknowledged.append((now_s, version))
            await asyncio.sleep(self.rng.choice((0.05, 0.3, 1.5)))

    def _config_body(self, version):
        """Return the bytes of a version of the configuration."""
        return config_body(version=version, timeout_ms=3_000 + version)

    async def _read_config(self):
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            status, body = await self.call("GET", "/v1/config")
            if status == 200:
                self._verify_read(began_s, body)
            await asyncio.sleep(0.2)

    def _verify_read(self, began_s, body):
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

    async def _check_recovery(self, after):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RECOVER_S
        unready = {e.settings["instance"]: e for e in self.cluster.entries}
        while unready and loop.time() < ends_s:
            # Probes run concurrently: one after the other, they would take
            # longer than the recovery of many entries.
            names = tuple(unready)
            serving = await asyncio.gather(
                *(self._is_serving(name, unready[name]) for name in names)
            )
            for name in itertools.compress(names, serving):
                del unready[name]
            await asyncio.sleep(0.1)
        self.check(
            "the system recovers",
            not unready,
            f"after {after}: {sorted(unready)}",
        )

    async def _is_serving(self, name, entry):
        ready = await asyncio.to_thread(self.cluster.is_ready, entry)
        return ready and await self._serves_every_kind(name)

    async def _serves_every_kind(self, name):
        """Return True if an entry serves one request of each kind."""
        probes = []
        address = self.entry_proxies[name].address
        for kind in TARGETS:
            caller = Caller(
                name=f"probe-{self.rng.randrange(1 << 40):x}",
                entries={name: address},
                rng=FixedChoice(kind),
                attempts=probes,
            )
            await caller.send_one()
        self.attempts.extend(probes)
        return all(
            attempt.status == 200 and attempt.whole for attempt in probes
        )

    async def _stop_entry(self):
        entry = self.rng.choice(self.cluster.entries)
        name = entry.settings["instance"]
        loop = asyncio.get_running_loop()
        signalled_s = loop.time()
        self.stops.append((name, signalled_s))
        entry.send_signal(signal.SIGTERM)
        try:
            status = await asyncio.to_thread(entry.wait, STOP_S)
        except subprocess.TimeoutExpired:
            status = "still running"
            entry.kill()
        self.check("a planned stop ends by itself", status == 0, str(status))
        for attempt in self.attempts:
            # A late caller may notice only now that its time was over.
            over_s = attempt.began_s + DEADLINE_S - ANSWER_MARGIN_S
            ended_s = min(attempt.ended_s, over_s)
            if attempt.entry == name and (
                attempt.began_s < signalled_s < ended_s
            ):
                self.check(
                    "a planned stop cuts nothing",
                    attempt.whole or self._may_be_cut(attempt),
                    f"{attempt.request_id}: {attempt.status}",
                )
        entry.start()
        await self._check_recovery("a planned stop")

    def _may_be_cut(self, attempt):
        """Return whether an upstream broke off its answer to an attempt."""
        return False

    async def _drain_upstream(self):
        upstream = self.upstreams[0]
        upstream.state = "draining"
        if not await self._is_drain_acknowledged(upstream):
            return
        await self.check_idle(upstream, "no work after a drain")
        upstream.born += 1
        upstream.state = "ready"

    async def check_idle(self, upstream, promise):
        """Check that no request reaches an upstream that has left or drains.

        Called when a control instance has acknowledged it.
        """
        acknowledged_s = time.monotonic()
        await asyncio.sleep(DRAIN_S)
        before = len(upstream.standin.requests)
        await asyncio.sleep(1.0)
        late = upstream.standin.requests[before:]
        self.check(
            promise,
            not late,
            "; ".join(
                f"{request.method} {request.target} {request.request_id} "
                f"{request.received_s - acknowledged_s:.3f} s after"
                for request in late
            ),
        )

    async def _is_drain_acknowledged(self, upstream):
        """Return True if a control instance acknowledged a drain."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + RECOVER_S
        path = f"/v1/instances/{upstream.name}"
        status = 0
        while status != 200 and loop.time() < ends_s:
            body = json.dumps(upstream.next_heartbeat()).encode()
            status, _ = await self.call("PUT", path, body)
        self.check("a drain is acknowledged", status == 200, f"{status}")
        return status == 200

    def _verify(self):
        runs = Counter(
            request.request_id
            for upstream in self.upstreams
            for request in upstream.standin.runs
        )
        self.checked["what callers received"] += len(self.attempts)
        self.violations += self._violations(runs)

    def _violations(self, runs):
        """Return the violated promises to callers, see ``verify_attempts``."""
        return verify_attempts(self.attempts, runs)


def end_tasks(tasks):
    """Cancel tasks; raise the error of one that has ended by itself."""
    for task in tasks:
        task.cancel()
    for task in tasks:
        if task.done():
            task.result()
