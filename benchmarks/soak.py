"""Injects random faults into real processes and verifies every promise.

The ``instances`` command runs eight instances in three regions under both
users' load.  Faults overlap within a round.  After each round all faults are
undone and the callers stop, so that memory which is still reserved can be
detected.  The verdict uses only what callers received and the journals of the
stand-in upstreams.  The ``nodes`` command runs ``benchmarks.soak_nodes`` for
one seed after the other.
"""

import functools
import json
import multiprocessing
import pathlib
import random
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import click

from benchmarks.soak_faults import FaultInjector
from benchmarks.soak_runs import SOAKS, run_seed
from currantdeal.adapters.settings import TimingSettings
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.traffic import Received
from currantdeal.testing.verdicts import (
    Violation,
    find_interrupted_requests,
    find_order_violations,
    find_refused_orders_that_ran,
    find_work_after_withdrawal,
    find_wrong_answers,
)
from currantdeal.testing.waiting import wait_until
from currantdeal.testing.world import World

INSTANCES = 8
ROUND_S = 25.0
MAX_ACTIVE_FAULTS = 3
FAULT_GAP_S = (0.2, 2.5)
RECOVERY_LIMIT_S = 90.0
RELEASE_LIMIT_S = 5.0
POLL_S = 0.5

PROMISES = (
    "no memory stays held",
    "whole answer to its own caller",
    "an order runs at most once",
    "an answered order ran",
    '"not run" is true',
    "no work after a withdrawal",
    "a planned stop is graceful",
    "a change never reverts",
    "the system recovers",
)


class SoakRecord:
    """What is verified at the end, besides what callers received."""

    def __init__(self):
        """Create an empty record."""
        self.withdrawals = []
        self.exits = []
        self.journals = {}
        self.violations = []
        self.checked = Counter()
        self.faults = Counter()

    def record_withdrawal(self, engine, began_s, ended_s):
        """Record the period in which a withdrawal was in force."""
        self.withdrawals.append((engine, began_s, ended_s))

    def record_exit(self, name, began_s, status):
        """Record the exit status of a planned stop."""
        self.exits.append((name, status))
        self.check("a planned stop is graceful")
        if status != 0:
            self.record_violation(
                "a planned stop is graceful", f"{name}: {status}"
            )

    def save_journal(self, engine, client):
        """Save the journal of an engine that is about to be killed."""
        self.journals.setdefault(engine, []).extend(client.events())

    def check(self, promise, count=1):
        """Count checks of a promise."""
        self.checked[promise] += count

    def record_violation(self, promise, detail):
        """Record a violation."""
        self.violations.append(Violation(promise=promise, detail=detail))


class VersionMonitor:
    """Polls every instance's state version, which must never decrease.

    An instance without a lease is skipped, such as one that has just
    started: it does not serve its state to callers yet.
    """

    def __init__(self, *, world, record):
        """Prepare the polling thread without starting it."""
        self._world = world
        self._record = record
        self._versions = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Start polling."""
        self._thread.start()

    def stop(self):
        """Stop polling and wait for the thread to end."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(POLL_S):
            for name in self._world.cluster.instances:
                self._check_version(name)

    def _check_version(self, name):
        status = self._world.status(name)
        if status is None or status["lease_remaining_s"] <= 0:
            return
        self._record.check("a change never reverts")
        if status["version"] < self._versions.get(name, 0):
            self._record.record_violation(
                "a change never reverts",
                f"{name}: {self._versions[name]}, then {status['version']}",
            )
        self._versions[name] = status["version"]


def run(*, minutes, seed, report_progress):
    """Run a soak; return its record and all requests that callers sent."""
    rng = random.Random(seed)
    record = SoakRecord()
    sent = []
    world = World(folder=pathlib.Path(tempfile.mkdtemp()))
    try:
        timing = TimingSettings(entries_keep_s=1.0)
        world.start(INSTANCES, proxied=True, timing=timing)
        monitor = VersionMonitor(world=world, record=record)
        monitor.start()
        end_s = time.monotonic() + minutes * 60
        number = 0
        while time.monotonic() < end_s:
            number += 1
            injected = _run_round(world, rng, record, sent, number)
            report_progress(f"round {number}: {', '.join(injected)}")
        monitor.stop()
        _verify(world, record, sent)
    finally:
        world.close()
    return record, sent


def _run_round(world, rng, record, sent, number):
    world.start_load(
        streams=8, orders=4, browsers=2, seed=rng.randrange(1_000_000)
    )
    faults = FaultInjector(world=world, rng=rng, record=record)
    active_faults, names = [], []
    end_s = time.monotonic() + ROUND_S
    while time.monotonic() < end_s:
        _undo_due(active_faults)
        if len(active_faults) < MAX_ACTIVE_FAULTS:
            fault = faults.inject()
            if fault is not None:
                active_faults.append(fault)
                names.append(fault.name)
                record.faults[fault.name.split()[0]] += 1
        time.sleep(rng.uniform(*FAULT_GAP_S))
    for fault in active_faults:
        fault.undo()
    world.cluster.heal()
    _check_recovery(world, record, names)
    world.load.stop()
    sent.extend(world.load.sent)
    _check_memory_free(world, record, names)
    return names


def _undo_due(active_faults):
    for fault in list(active_faults):
        if time.monotonic() >= fault.ends_s:
            active_faults.remove(fault)
            fault.undo()


def _check_recovery(world, record, names):
    record.check("the system recovers")
    try:
        world.cluster.wait_ready(limit_s=RECOVERY_LIMIT_S)
        world.wait_served(10)
    except HarnessError as exc:
        record.record_violation("the system recovers", f"after {names}: {exc}")


def _check_memory_free(world, record, names):
    # The limit starts when the last caller has stopped.  Requests that are
    # cancelled after a late answer have the promised five seconds to release
    # their memory.
    record.check("no memory stays held")
    try:
        wait_until(
            lambda: not any(engine.held() for engine in world.engines()),
            what="free engine memory",
            limit_s=RELEASE_LIMIT_S,
        )
    except HarnessError as exc:
        held = [engine.held() for engine in world.engines()]
        record.record_violation(
            "no memory stays held", f"after {names}: {exc} {held}"
        )


def _verify(world, record, sent):
    runs = world.runs()
    orders = sum(request.kind.value == "order" for request in sent)
    record.check("whole answer to its own caller", len(sent))
    record.check("an order runs at most once", orders)
    record.check("an answered order ran", orders)
    refused = sum(request.received is Received.NOT_RUN for request in sent)
    record.check('"not run" is true', refused)
    record.violations += find_wrong_answers(sent)
    record.violations += find_order_violations(sent, runs)
    record.violations += find_refused_orders_that_ran(sent, runs)
    for engine, began_s, ended_s in record.withdrawals:
        record.check("no work after a withdrawal")
        client = world.cluster.stand_in(engine).client
        events = [
            event
            for event in (*record.journals.get(engine, ()), *client.events())
            if event.wall_s < ended_s
        ]
        record.violations += find_work_after_withdrawal(
            events, withdrawn_s=began_s
        )


@click.group()
def main():
    """Inject random faults into real processes and check every promise."""


@main.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True)
@click.option("--rounds", default=1, show_default=True)
@click.option("--jobs", default=2, show_default=True)
@click.option("--control", default=3, show_default=True)
@click.option("--entries", default=3, show_default=True)
@click.option(
    "--faults",
    type=click.Choice(sorted(SOAKS)),
    default="random",
    show_default=True,
    help="Set of faults.",
)
@click.option(
    "--replacing",
    "faults",
    flag_value="replacing",
    help="Same as --faults replacing.",
)
def nodes(seed, seeds, rounds, jobs, control, entries, faults):
    """Soak entry and control processes, one run for each seed."""
    run_one = functools.partial(
        run_seed,
        rounds=rounds,
        control=control,
        entries=entries,
        faults=faults,
    )
    failed = []
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=spawn) as pool:
        for report in pool.map(run_one, range(seed, seed + seeds)):
            click.echo(json.dumps(report))
            if report["violations"]:
                failed.append(report["seed"])
    click.echo(f"{seeds} seeds, failed: {failed or 'none'}")
    sys.exit(1 if failed else 0)


@main.command()
@click.option("--minutes", default=10.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def instances(minutes, seed, as_json):
    """Soak eight stand-alone instances for some minutes."""
    record, sent = run(
        minutes=minutes,
        seed=seed,
        report_progress=lambda text: click.echo(text, err=True),
    )
    violated = Counter(violation.promise for violation in record.violations)
    received = Counter(
        f"{request.kind.value} {request.received.value}" for request in sent
    )
    report = {
        "seed": seed,
        "minutes": minutes,
        "faults": dict(record.faults),
        "received": dict(received),
        "cut off at instances": len(find_interrupted_requests(sent)),
        "promises": {
            name: {"checked": record.checked[name], "violated": violated[name]}
            for name in PROMISES
        },
    }
    click.echo(json.dumps(report, indent=2) if as_json else _table(report))
    for violation in record.violations:
        click.echo(
            f"VIOLATED {violation.promise}: {violation.detail}", err=True
        )
    sys.exit(1 if record.violations else 0)


def _table(report):
    lines = [f"seed {report['seed']}, {report['minutes']} minutes"]
    for title in ("faults", "received"):
        counts = sorted(report[title].items())
        lines.append(f"{title}: " + ", ".join(f"{k} {n}" for k, n in counts))
    lines.append(f"{'promise':34}{'checked':>10}{'violated':>10}")
    for name, tally in report["promises"].items():
        lines.append(f"{name:34}{tally['checked']:10}{tally['violated']:10}")
    return "\n".join(lines)


if __name__ == "__main__":
    main()
