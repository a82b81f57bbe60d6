"""Runs one instance of the replicated state, driven by lines of JSON.

It reads one request per line from standard input and writes one answer per
line.  It runs nothing but the replicated state, so that its processor time
and traffic are those of control alone.
"""

import os
import random
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import structlog

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.peers import PeerPool, PeerServer
from currantdeal.adapters.replication import build_state
from currantdeal.adapters.settings import read_settings
from currantdeal.core import (
    Label,
    Role,
    Selector,
    StateUnavailableError,
    Upstream,
    UpstreamKind,
)
from currantdeal.state import (
    AnnounceUpstream,
    ApplySelector,
    ClaimCall,
    ClaimKey,
    Origin,
    SetLabels,
)

TIMEOUT_S = 30.0
SAMPLE_S = 0.01


@dataclass(frozen=True, kw_only=True)
class ProcessRequest:
    """A request to this process.

    Parameters
    ----------
    op : str
        Name of the method to call.
    kind : str
        Kind of the commands of a load, ``change`` or ``claim``.
    threads, seconds, rate, count : number
        Clients, duration, commands a second and number of commands of a load.
    version : int
        State version to wait for.
    """

    op: str
    kind: str = "change"
    threads: int = 1
    seconds: float = 1.0
    rate: float = 0.0
    count: int = 0
    version: int = 0


class WorkCounter(threading.Thread):
    """Counts the work that this instance would send to upstreams.

    Every 10 ms one unit of work arrives for an upstream that an operator
    withdraws at some time, and one for another upstream.
    """

    def __init__(self, *, port):
        """Start the counting thread."""
        super().__init__(daemon=True)
        self._port = port
        self._counts = {"sent": 0, "refused": 0, "sent_withdrawn": 0}
        self._sent_ignoring_lease = 0
        self.longest_gap_s = 0.0
        self._stopped = False
        self.start()

    def run(self):
        """Sample until stopped."""
        gap_start_s = None
        while not self._stopped:
            now_s = time.monotonic()
            has_lease = self._port.lease_remaining_s() > 0
            record = self._port.view().upstreams.get("shop-1")
            is_open = record is not None and not record.withdrawn
            self._counts["sent" if has_lease else "refused"] += 1
            self._counts["sent_withdrawn"] += has_lease and is_open
            self._sent_ignoring_lease += is_open
            if has_lease:
                gap_start_s = None
            else:
                gap_start_s = gap_start_s or now_s
                gap_s = now_s - gap_start_s
                self.longest_gap_s = max(self.longest_gap_s, gap_s)
            time.sleep(SAMPLE_S)

    def stop(self):
        """Stop counting and return the counts."""
        self._stopped = True
        self.join()
        return self._counts | {
            "sent_withdrawn_without_lease": self._sent_ignoring_lease,
            "longest_gap_s": round(self.longest_gap_s, 3),
        }


class Instance:
    """The replicated state and the operations that the benchmark calls."""

    def __init__(self, *, settings):
        """Start the instance."""
        self._settings = settings
        host, _, port = settings.peer_address.rpartition(":")
        server = PeerServer(host=host, port=int(port))
        clock = SystemClock()
        self._state = build_state(settings, server, PeerPool(), clock)
        self._port = self._state.port
        self._started_s = time.monotonic()
        self._counter = None
        server.start()
        self._state.start()

    def status(self, request):
        """Return the version, lease and replica status of this instance."""
        replica = self._state.replica and self._state.replica.status()
        return {
            "version": self._port.view().version,
            "lease_s": self._port.lease_remaining_s(),
            "leads": bool(replica and replica.ready),
            "voters": len(replica.configuration.voters) if replica else 0,
        }

    def usage(self, request):
        """Return the processor time of this process."""
        times = os.times()
        return {"cpu_s": times.user + times.system}

    def memory(self, request):
        """Return the resident memory of this process."""
        for line in Path("/proc/self/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return {"rss_mb": int(line.split()[1]) / 1024}
        return {}

    def announce(self, request):
        """Announce the upstream that is withdrawn later."""
        upstream = Upstream(
            upstream_id="shop-1",
            incarnation=1,
            address="127.0.0.1:1",
            kind=UpstreamKind.SERVICE,
            region="r1",
            data_center="d1",
            roles=(Role.SERVICE,),
            targets=("shop",),
        )
        command = AnnounceUpstream(origin=self._origin(), upstream=upstream)
        return self._propose(command)

    def withdraw(self, request):
        """Withdraw that upstream and measure the time until in force."""
        record = self._port.view().upstreams["shop-1"]
        command = SetLabels(
            origin=self._origin(),
            upstream_id="shop-1",
            labels=(Label(name="withdrawn", value="yes"),),
            expected_version=record.labels_version,
        )
        return self._propose(command) | self._wait()

    def change(self, request):
        """Make one change and measure when it is in force everywhere."""
        start_s = time.monotonic()
        done = self._propose(self._command("change"))
        accepted_s = time.monotonic() - start_s
        return done | {"accepted_s": accepted_s} | self._wait()

    def first(self, request):
        """Return the time until a change is accepted, with retries."""
        start_s = time.monotonic()
        self._propose(self._command("change"))
        return {"accepted_s": time.monotonic() - start_s}

    def load(self, request):
        """Propose commands from several threads for a time or a number."""
        latencies, errors = [], []
        start_s = time.monotonic()
        threads = [
            threading.Thread(
                target=self._client, args=(request, start_s, latencies, errors)
            )
            for _ in range(request.threads)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed_s = time.monotonic() - start_s
        latencies.sort()
        return {
            "count": len(latencies),
            "errors": len(errors),
            "per_s": len(latencies) / elapsed_s,
            "p50_ms": 1e3 * latencies[len(latencies) // 2],
            "p99_ms": 1e3 * latencies[len(latencies) * 99 // 100],
        }

    def caught_up(self, request):
        """Return the time from start until a version is held with a lease."""
        while True:
            fresh = self._port.view().version >= request.version
            if fresh and self._port.lease_remaining_s() > 0:
                return {"took_s": time.monotonic() - self._started_s}
            time.sleep(0.002)

    def watch(self, request):
        """Start to count work."""
        self._counter = WorkCounter(port=self._port)
        return {}

    def unwatch(self, request):
        """Stop counting work and return the counts."""
        return self._counter.stop()

    def _wait(self):
        version = self._port.view().version
        waited_s = self._port.wait_in_force(version, timeout_s=TIMEOUT_S)
        return {"in_force_s": waited_s}

    def _propose(self, command):
        result = self._port.propose(command, timeout_s=TIMEOUT_S)
        return {"version": getattr(result, "version", 0)}

    def _client(self, request, start_s, latencies, errors):
        number = 0
        while True:
            now_s = time.monotonic()
            if request.count and number >= request.count:
                return
            if not request.count and now_s - start_s >= request.seconds:
                return
            try:
                self._propose(self._command(request.kind))
                latencies.append(time.monotonic() - now_s)
            except StateUnavailableError as exc:
                errors.append(exc)
            number += 1
            if request.rate:
                due_s = start_s + number / request.rate
                time.sleep(max(0.0, due_s - time.monotonic()))

    def _origin(self):
        return Origin(
            request_id=f"{random.getrandbits(64):x}",
            actor="bench",
            instance=self._settings.instance,
            wall_s=time.time(),
        )

    def _command(self, kind):
        origin = self._origin()
        if kind == "claim":
            return ClaimCall(
                origin=origin,
                key=ClaimKey(
                    caller="nube", service="shop", key=origin.request_id
                ),
                digest="0" * 32,
            )
        # Selectors have many names, so that concurrent changes seldom
        # conflict in a version; their number is bounded, as in production.
        name = f"s{random.randrange(50)}"
        known = self._port.view().selectors.get(name)
        return ApplySelector(
            origin=origin,
            selector=Selector(name=name, expression="tier=gold"),
            expected_version=known.version if known else 0,
        )


def main():
    """Answer requests until standard input ends."""
    structlog.configure(
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr)
    )
    instance = Instance(settings=read_settings(sys.argv[1]))
    print("{}", flush=True)
    decoder = msgspec.json.Decoder(ProcessRequest)
    for line in sys.stdin:
        request = decoder.decode(line)
        answer = getattr(instance, request.op)(request)
        print(msgspec.json.encode(answer).decode(), flush=True)


if __name__ == "__main__":
    main()
