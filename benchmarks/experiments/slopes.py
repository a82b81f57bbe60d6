"""Measures marginal costs as slopes, for the page on capacity.

The state is measured in this process with growing numbers of upstreams,
claims and callers.  The view of the state is measured over real processes at
three sizes, without proxies, with three replicas.  ``bin/bench control-cost``
measures the slopes of membership and homes, ``bin/bench stream-cost`` those
of streams and ``bin/bench decision-cost`` those of decisions.
"""

import tempfile
import time
import tracemalloc
from dataclasses import asdict, dataclass
from hashlib import sha256
from statistics import median

from benchmarks.consensus_cluster import Cluster
from benchmarks.experiments.control_cost import Slope, fit, line_of
from currantdeal.adapters.http.auth import KeyRing
from currantdeal.adapters.settings import KeyKind, KeySettings
from currantdeal.adapters.tests.home_builders import (
    Instances,
    build_request,
    until,
)
from currantdeal.core import CallerId, Role, Selector, WorkKind
from currantdeal.policy import OutputLengths
from currantdeal.state import (
    ApplySelector,
    ClaimCall,
    ClaimKey,
    ClusterState,
    Eligibility,
    FinishClaim,
    WorkClass,
    apply_command,
    encode_state,
)
from currantdeal.state.tests.builders import ANSWER, announce, origin

SUMMARY = "what each upstream, claim and instance adds to state and view"

UPSTREAMS = (85, 340, 680)
CLAIMS = (5_000, 20_000, 50_000)
CALLERS = (1_000, 5_000, 17_000)
RESERVATIONS = (100, 300, 1_000)
RENEW_EVERY = 50
CALL_S = 5.0
INSTANCES = (8, 32, 104)
REPLICAS = 3
CHANGES = 10
SETTLE_S = 3.0
IDLE_S = 10.0


@dataclass(frozen=True, kw_only=True)
class StatePoint:
    """The state with some number of records.

    Parameters
    ----------
    heap_bytes, snapshot_bytes : float
        Size in memory, and as an encoded snapshot.
    apply_us : float
        Median processor time to apply the last command.
    match_us : float
        Time to match all upstreams again after a change; 0 for claims.
    """

    count: int
    heap_bytes: float
    snapshot_bytes: float
    apply_us: float
    match_us: float = 0.0


@dataclass(frozen=True, kw_only=True)
class CallerPoint:
    """Memory that an entry uses for some number of callers, in bytes."""

    count: int
    heap_bytes: float


@dataclass(frozen=True, kw_only=True)
class ReservationPoint:
    """Processor time of reservations and releases at entry and home."""

    count: int
    cpu_us: float


@dataclass(frozen=True, kw_only=True)
class ViewPoint:
    """Cost and delay of the view at some number of instances.

    Parameters
    ----------
    leader_cpu_ms_per_s, replica_cpu_ms_per_s, entry_cpu_ms_per_s : float
        Processor time when idle; the mean over the instances of a kind.
    leader_rss_mb, entry_rss_mb : float
        Resident memory.
    in_force_s, in_force_max_s : float
        Time from a change's acceptance until in force at all instances.
    """

    instances: int
    leader_cpu_ms_per_s: float
    replica_cpu_ms_per_s: float
    entry_cpu_ms_per_s: float
    leader_rss_mb: float
    entry_rss_mb: float
    in_force_s: float
    in_force_max_s: float


@dataclass(frozen=True, kw_only=True)
class Report:
    """Points and slopes of a run."""

    experiment: str
    by_upstreams: tuple[StatePoint, ...]
    by_claims: tuple[StatePoint, ...]
    by_callers: tuple[CallerPoint, ...]
    by_reservations: tuple[ReservationPoint, ...]
    by_instances: tuple[ViewPoint, ...]
    slopes: tuple[Slope, ...]

    def render(self):
        """Return the report as text."""
        parts = (
            *self.by_upstreams,
            *self.by_claims,
            *self.by_callers,
            *self.by_reservations,
            *self.by_instances,
            *self.slopes,
        )
        return "\n".join(line_of(asdict(part)) for part in parts)


def run(*, seed, instances=INSTANCES):
    """Return a ``Report``; the seed has no effect."""
    by_upstreams = tuple(measure_upstreams(count) for count in UPSTREAMS)
    by_claims = tuple(measure_claims(count) for count in CLAIMS)
    by_callers = tuple(measure_callers(count) for count in CALLERS)
    by_reservations = measure_reservations(RESERVATIONS)
    by_instances = tuple(measure_view(count) for count in instances)
    return Report(
        experiment="slopes",
        by_upstreams=by_upstreams,
        by_claims=by_claims,
        by_callers=by_callers,
        by_reservations=by_reservations,
        by_instances=by_instances,
        slopes=(
            *_fits(by_upstreams, "count", ("heap_bytes", "snapshot_bytes")),
            *_fits(by_upstreams, "count", ("match_us",)),
            *_fits(by_claims, "count", ("heap_bytes", "snapshot_bytes")),
            *_fits(by_callers, "count", ("heap_bytes",)),
            *_fits(by_reservations, "count", ("cpu_us",)),
            *_fits(
                by_instances,
                "instances",
                ("leader_cpu_ms_per_s", "leader_rss_mb", "in_force_s"),
            ),
        ),
    )


def measure_upstreams(count):
    """Return the ``StatePoint`` of a state with some upstreams."""
    commands = [
        announce(f"engine-{number}", labels=(("tier", "gold"), ("deal", "a")))
        for number in range(count)
    ]
    state, heap, apply_us = _build(commands)
    state, _ = apply_command(
        state,
        ApplySelector(
            origin=origin(),
            selector=Selector(name="gold", expression="tier=gold"),
            expected_version=0,
        ),
        version=state.version + 1,
    )
    wanted = WorkClass(
        kind=WorkKind.SERVICE,
        target="shop",
        role=Role.SERVICE,
        region="lagos",
    )
    return StatePoint(
        count=count,
        heap_bytes=heap,
        snapshot_bytes=len(encode_state(state)),
        apply_us=apply_us,
        match_us=_median_us(lambda: Eligibility(state=state).allowed(wanted)),
    )


def measure_claims(count):
    """Return the ``StatePoint`` of a state with some answered claims."""
    commands = []
    for number in range(count):
        key = ClaimKey(caller="nube", service="shop", key=f"order-{number}")
        commands.append(ClaimCall(origin=origin(), key=key, digest="d" * 64))
        commands.append(
            FinishClaim(
                origin=origin(), key=key, token=2 * number + 1, answer=ANSWER
            )
        )
    state, heap, apply_us = _build(commands)
    return StatePoint(
        count=count,
        heap_bytes=heap,
        snapshot_bytes=len(encode_state(state)),
        apply_us=apply_us,
    )


def measure_callers(count):
    """Return the ``CallerPoint`` of keys and observed output lengths."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    keys = tuple(_key_of(number) for number in range(count))
    ring = KeyRing(keys=keys)
    lengths = OutputLengths()
    for key in keys:
        for tokens in (100, 120, 150):
            lengths.observe(
                caller=key.caller, kind=WorkKind.CHAT, tokens=tokens
            )
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del ring
    return CallerPoint(count=count, heap_bytes=after - before)


def _key_of(number):
    name = f"organisation-{number}"
    return KeySettings(
        name=name,
        kind=KeyKind.CALLER,
        sha256=sha256(name.encode()).hexdigest(),
        caller=CallerId(name),
    )


def measure_reservations(counts):
    """Return the ``ReservationPoint`` of each count, over one connection."""
    instances = Instances(count=2)
    try:
        until(lambda: instances.shared.state.homes)
        instances.reserve(0, entry="i1", pieces=1)
        entry = instances.other(instances.home().instance)
        return tuple(_reserve(instances, entry, count) for count in counts)
    finally:
        instances.stop()


def _reserve(instances, entry, count):
    homes = instances.homes[entry]
    start_s = time.process_time()
    for number in range(count):
        if number % RENEW_EVERY == 0:
            instances.renew()
        request = build_request(f"{count}/{number}", entry=entry, pieces=1)
        homes.release(homes.reserve(request, timeout_s=CALL_S))
    spent_s = time.process_time() - start_s
    return ReservationPoint(count=count, cpu_us=1e6 * spent_s)


def measure_view(count):
    """Return the ``ViewPoint`` of some real processes."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            folder=folder, replicas=REPLICAS, instances=count, proxied=False
        )
        try:
            time.sleep(SETTLE_S)
            return _view_point(cluster)
        finally:
            cluster.close()


def _view_point(cluster):
    leader = cluster.leader()
    followers = [name for name in cluster.replicas if name != leader]
    entries = cluster.names[REPLICAS:]
    spent = _idle_cpu(cluster)
    client = cluster.children[cluster.names[-1]]
    changes = [client.call("change") for _ in range(CHANGES)]
    in_force = [change["in_force_s"] for change in changes]
    return ViewPoint(
        instances=len(cluster.names),
        leader_cpu_ms_per_s=spent[leader],
        replica_cpu_ms_per_s=_mean(spent[name] for name in followers),
        entry_cpu_ms_per_s=_mean(spent[name] for name in entries),
        leader_rss_mb=cluster.children[leader].call("memory")["rss_mb"],
        entry_rss_mb=client.call("memory")["rss_mb"],
        in_force_s=median(in_force),
        in_force_max_s=max(in_force),
    )


def _idle_cpu(cluster):
    before = _cpu(cluster)
    time.sleep(IDLE_S)
    after = _cpu(cluster)
    return {n: 1e3 * (after[n] - before[n]) / IDLE_S for n in before}


def _cpu(cluster):
    return {
        name: child.call("usage")["cpu_s"]
        for name, child in cluster.children.items()
    }


def _build(commands):
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = ClusterState()
    for command in commands:
        state, _ = apply_command(state, command, version=state.version + 1)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    last = commands[-1]
    apply_us = _median_us(
        lambda: apply_command(state, last, version=state.version + 1)
    )
    return state, after - before, apply_us


def _median_us(work, *, rounds=51):
    times = []
    for _ in range(rounds):
        start_s = time.process_time()
        work()
        times.append(time.process_time() - start_s)
    return 1e6 * median(times)


def _mean(values):
    values = list(values)
    return sum(values) / len(values)


def _fits(points, over, costs):
    return tuple(fit(points, cost=cost, over=over) for cost in costs)
