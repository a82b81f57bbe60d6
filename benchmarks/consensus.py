"""Measures the replicated state: rates, latencies, failover and cost.

Run by ``bin/bench-consensus``; ``docs/measurements/consensus.md`` has the
results.
"""

import contextlib
import statistics
import tempfile
import time

import click
import msgspec

from benchmarks.consensus_cluster import Cluster

DELAYS_S = (0.0, 0.012)
INSTANCES = 8


@contextlib.contextmanager
def running_cluster(*, replicas=3, instances=INSTANCES, delay_s=0.0):
    """Provide a running cluster and stop it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(
            folder=folder,
            replicas=replicas,
            instances=instances,
            delay_s=delay_s,
        )
        try:
            yield cluster
        finally:
            cluster.close()


def measure_rates(*, seconds=4.0):
    """Measure the throughput and latency of changes and claims."""
    rows = []
    for replicas in (3, 5):
        for delay_s in DELAYS_S:
            with running_cluster(
                replicas=replicas, instances=replicas + 1, delay_s=delay_s
            ) as cluster:
                client = cluster.children[cluster.names[-1]]
                for kind in ("change", "claim"):
                    for threads in (1, 32):
                        results = client.call(
                            "load", kind=kind, threads=threads, seconds=seconds
                        )
                        rows.append(
                            {
                                "replicas": replicas,
                                "delay_ms": delay_s * 1e3,
                                "kind": kind,
                                "clients": threads,
                                **results,
                            }
                        )
    return rows


def measure_in_force(*, changes=20):
    """Measure the time from a change's acceptance to in force everywhere."""
    rows = []
    for delay_s in DELAYS_S:
        with running_cluster(delay_s=delay_s) as cluster:
            client = cluster.children[cluster.names[-1]]
            time.sleep(2.5)
            rows.append(_in_force(client, changes, "whole", delay_s))
            leader = cluster.leader()
            lost = next(n for n in cluster.replicas if n != leader)
            cluster.kill(lost)
            first = client.call("change")
            rows.append(_row("replica just lost", delay_s, [first]))
            rows.append(_in_force(client, changes, "replica lost", delay_s))
            cluster.start(lost)
            cluster.wait_for_leases()
            cluster.kill(cluster.leader())
            first = client.call("change")
            rows.append(_row("leader just lost", delay_s, [first]))
    return rows


def _in_force(client, changes, state, delay_s):
    results = [client.call("change") for _ in range(changes)]
    return _row(state, delay_s, results)


def _row(state, delay_s, results):
    accepted = sorted(each["accepted_s"] for each in results)
    in_force = sorted(each["in_force_s"] for each in results)
    return {
        "state": state,
        "delay_ms": delay_s * 1e3,
        "changes": len(results),
        "accepted_p50_s": statistics.median(accepted),
        "accepted_max_s": accepted[-1],
        "in_force_p50_s": statistics.median(in_force),
        "in_force_max_s": in_force[-1],
    }


def measure_failover(*, trials=8):
    """Measure how long a failover leaves instances without leader or lease."""
    rows = []
    for delay_s in DELAYS_S:
        times, gaps = [], []
        with running_cluster(delay_s=delay_s) as cluster:
            client = cluster.children[cluster.names[-1]]
            for _ in range(trials):
                leader = cluster.leader()
                client.call("watch")
                cluster.kill(leader)
                times.append(client.call("first")["accepted_s"])
                time.sleep(2.5)
                gaps.append(client.call("unwatch")["longest_gap_s"])
                cluster.start(leader)
                cluster.wait_for_leases()
        rows.append(
            {
                "delay_ms": delay_s * 1e3,
                "trials": trials,
                "accepting_again_p50_s": statistics.median(times),
                "accepting_again_max_s": max(times),
                "without_lease_p50_s": statistics.median(gaps),
                "without_lease_max_s": max(gaps),
            }
        )
    return rows


def measure_catch_up(*, changes=(1_000, 6_000)):
    """Measure the time to catch up after missed changes."""
    rows = []
    for missed in changes:
        with running_cluster() as cluster:
            client = cluster.children[cluster.names[-1]]
            leader = cluster.leader()
            replica = next(n for n in cluster.replicas if n != leader)
            entry = cluster.names[-2]
            cluster.kill(replica)
            cluster.kill(entry)
            client.call("load", kind="claim", threads=20, count=missed // 20)
            version = client.call("status")["version"]
            for role, name in (("entry", entry), ("replica", replica)):
                cluster.start(name)
                results = cluster.children[name].call(
                    "caught_up", version=version
                )
                rows.append({"missed": missed, "role": role, **results})
    return rows


def measure_cost(*, seconds=10.0, rate=20.0):
    """Measure bytes and processor time, idle and per change."""
    rows = []
    with running_cluster() as cluster:
        time.sleep(3.0)
        leader = cluster.leader()
        idle = _usage_over(cluster, lambda: time.sleep(seconds))
        client = cluster.children[cluster.names[-1]]
        busy = _usage_over(
            cluster,
            lambda: client.call("load", rate=rate, seconds=seconds),
        )
        for name in cluster.names:
            role = "entry"
            if name in cluster.replicas:
                role = "leader" if name == leader else "replica"
            if name == cluster.names[-1]:
                role = "entry that proposes"
            memory = cluster.children[name].call("memory")
            rows.append(_cost_row(name, role, idle, busy, rate) | memory)
    return rows


def _cost_row(name, role, idle, busy, rate):
    idle_cpu, idle_bytes = idle[name]
    busy_cpu, busy_bytes = busy[name]
    return {
        "instance": name,
        "role": role,
        "idle_cpu_ms_per_s": 1e3 * idle_cpu,
        "idle_bytes_per_s": idle_bytes,
        "cpu_ms_per_change": 1e3 * (busy_cpu - idle_cpu) / rate,
        "bytes_per_change": (busy_bytes - idle_bytes) / rate,
    }


def _usage_over(cluster, work):
    start_s = time.monotonic()
    before = _usage(cluster)
    work()
    after = _usage(cluster)
    elapsed_s = time.monotonic() - start_s
    return {
        name: tuple(
            (late - early) / elapsed_s
            for early, late in zip(before[name], after[name], strict=True)
        )
        for name in cluster.names
    }


def _usage(cluster):
    return {
        name: (child.call("usage")["cpu_s"], cluster.bytes_of(name))
        for name, child in cluster.children.items()
    }


def measure_lease(*, cut_s=15.0):
    """Measure the work that an isolated instance sends under a stale view."""
    with running_cluster() as cluster:
        client = cluster.children[cluster.names[0]]
        isolated = cluster.children[cluster.names[-1]]
        client.call("announce")
        cluster.wait_for_leases()
        time.sleep(2.5)
        cluster.isolate(cluster.names[-1])
        isolated.call("watch")
        withdrawn = client.call("withdraw")
        time.sleep(cut_s)
        counts = isolated.call("unwatch")
        cluster.heal(cluster.names[-1])
    return [{"cut_s": cut_s, "in_force_s": withdrawn["in_force_s"]} | counts]


MEASUREMENTS = {
    "rates": measure_rates,
    "in-force": measure_in_force,
    "failover": measure_failover,
    "catch-up": measure_catch_up,
    "cost": measure_cost,
    "lease": measure_lease,
}


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(tuple(MEASUREMENTS)))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(names, as_json):
    """Measure the replicated state over real processes on loopback."""
    results = {}
    for name in names or MEASUREMENTS:
        click.echo(f"measuring {name}", err=True)
        results[name] = MEASUREMENTS[name]()
        if not as_json:
            click.echo(f"\n{name}\n")
            _print_table(results[name])
    if as_json:
        click.echo(msgspec.json.encode(results).decode())


def _print_table(rows):
    heads = list(rows[0])
    click.echo("| " + " | ".join(heads) + " |")
    click.echo("|" + "---|" * len(heads))
    for row in rows:
        cells = [
            f"{value:.3g}" if isinstance(value, float) else str(value)
            for value in row.values()
        ]
        click.echo("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
