"""Random faults of all kinds for a while, and every promise checked.

Eight instances in three regions serve both users' load.  Faults overlap; in
between, everything is healed and the callers stop, so that what stays held
is seen.  Only callers' records and the stand-ins' journals are judged.
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

from benchmarks.soak_faults import FaultMaker
from benchmarks.soak_plays import SOAKS, play_seed
from currantdeal.adapters.settings import TimingSettings
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.traffic import Received
from currantdeal.testing.verdicts import (
    Violation,
    judge_answers,
    judge_cuts,
    judge_orders,
    judge_refused_orders,
    judge_withdrawal,
)
from currantdeal.testing.waiting import wait_until
from currantdeal.testing.world import World

INSTANCES = 8
ROUND_S = 25.0
MOST_AT_ONCE = 3
PAUSE_S = (0.2, 2.5)
HEAL_LIMIT_S = 90.0
HELD_LIMIT_S = 5.0
WATCH_S = 0.5

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


class Record:
    """What is judged in the end, beside what callers received."""

    def __init__(self):
        """Start empty."""
        self.withdrawals = []
        self.exits = []
        self.journals = {}
        self.violations = []
        self.checked = Counter()
        self.faults = Counter()

    def withdrawn(self, engine, began_s, ended_s):
        """Note a withdrawal that was in force for a time."""
        self.withdrawals.append((engine, began_s, ended_s))

    def exited(self, name, began_s, status):
        """Note how a planned stop ended."""
        self.exits.append((name, status))
        self.check("a planned stop is graceful")
        if status != 0:
            self.violate("a planned stop is graceful", f"{name}: {status}")

    def keep_journal(self, engine, client):
        """Keep the journal of an engine that is about to be killed."""
        self.journals.setdefault(engine, []).extend(client.events())

    def check(self, promise, count=1):
        """Count a check."""
        self.checked[promise] += count

    def violate(self, promise, detail):
        """Note a violation."""
        self.violations.append(Violation(promise=promise, detail=detail))


class VersionWatch:
    """Asks every instance for its version, which must never go back.

    A process that has just started and holds no lease does not count: it
    shows nothing to callers yet.
    """

    def __init__(self, *, world, record):
        """Ask nothing yet."""
        self._world = world
        self._record = record
        self._seen = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Begin to ask."""
        self._thread.start()

    def stop(self):
        """Ask no more."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(WATCH_S):
            for name in self._world.cluster.instances:
                self._look(name)

    def _look(self, name):
        status = self._world.status(name)
        if status is None or status["lease_remaining_s"] <= 0:
            return
        self._record.check("a change never reverts")
        if status["version"] < self._seen.get(name, 0):
            self._record.violate(
                "a change never reverts",
                f"{name}: {self._seen[name]}, then {status['version']}",
            )
        self._seen[name] = status["version"]


def run(*, minutes, seed, say):
    """Return the record of a soak and all that callers sent."""
    chance = random.Random(seed)
    record = Record()
    sent = []
    world = World(folder=pathlib.Path(tempfile.mkdtemp()))
    try:
        timing = TimingSettings(entries_keep_s=1.0)
        world.start(INSTANCES, proxied=True, timing=timing)
        watch = VersionWatch(world=world, record=record)
        watch.start()
        end_s = time.monotonic() + minutes * 60
        number = 0
        while time.monotonic() < end_s:
            number += 1
            begun = _round(world, chance, record, sent, number)
            say(f"round {number}: {', '.join(begun)}")
        watch.stop()
        _judge(world, record, sent)
    finally:
        world.close()
    return record, sent


def _round(world, chance, record, sent, number):
    world.send_load(
        streams=8, orders=4, browsers=2, seed=chance.randrange(1_000_000)
    )
    faults = FaultMaker(world=world, chance=chance, record=record)
    open_faults, names = [], []
    end_s = time.monotonic() + ROUND_S
    while time.monotonic() < end_s:
        _end_due(open_faults)
        if len(open_faults) < MOST_AT_ONCE:
            fault = faults.begin()
            if fault is not None:
                open_faults.append(fault)
                names.append(fault.name)
                record.faults[fault.name.split()[0]] += 1
        time.sleep(chance.uniform(*PAUSE_S))
    for fault in open_faults:
        fault.undo()
    world.cluster.heal()
    _recover(world, record, names)
    world.load.stop()
    sent.extend(world.load.sent)
    _check_held(world, record, names)
    return names


def _end_due(open_faults):
    for fault in list(open_faults):
        if time.monotonic() >= fault.ends_s:
            open_faults.remove(fault)
            fault.undo()


def _recover(world, record, names):
    record.check("the system recovers")
    try:
        world.cluster.wait_ready(limit_s=HEAL_LIMIT_S)
        world.await_served(10)
    except HarnessError as exc:
        record.violate("the system recovers", f"after {names}: {exc}")


def _check_held(world, record, names):
    # Counted from when the last caller is gone; what is still cancelled
    # after a late answer has the five seconds of the promise.
    record.check("no memory stays held")
    try:
        wait_until(
            lambda: not any(engine.held() for engine in world.engines()),
            what="free engine memory",
            limit_s=HELD_LIMIT_S,
        )
    except HarnessError as exc:
        held = [engine.held() for engine in world.engines()]
        record.violate("no memory stays held", f"after {names}: {exc} {held}")


def _judge(world, record, sent):
    runs = world.runs()
    orders = sum(one.kind.value == "order" for one in sent)
    record.check("whole answer to its own caller", len(sent))
    record.check("an order runs at most once", orders)
    record.check("an answered order ran", orders)
    refused = sum(one.received is Received.NOT_RUN for one in sent)
    record.check('"not run" is true', refused)
    record.violations += judge_answers(sent)
    record.violations += judge_orders(sent, runs)
    record.violations += judge_refused_orders(sent, runs)
    for engine, began_s, ended_s in record.withdrawals:
        record.check("no work after a withdrawal")
        client = world.cluster.stand_in(engine).client
        events = [
            event
            for event in (*record.journals.get(engine, ()), *client.events())
            if event.wall_s < ended_s
        ]
        record.violations += judge_withdrawal(events, withdrawn_s=began_s)


@click.group()
def main():
    """Put random faults on real processes and check every promise."""


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
    help="The same as --faults replacing.",
)
def nodes(seed, seeds, rounds, jobs, control, entries, faults):
    """Soak entry and control processes, for one seed after the other."""
    play = functools.partial(
        play_seed,
        rounds=rounds,
        control=control,
        entries=entries,
        faults=faults,
    )
    failed = []
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=spawn) as pool:
        for report in pool.map(play, range(seed, seed + seeds)):
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
        say=lambda text: click.echo(text, err=True),
    )
    violated = Counter(one.promise for one in record.violations)
    received = Counter(
        f"{one.kind.value} {one.received.value}" for one in sent
    )
    report = {
        "seed": seed,
        "minutes": minutes,
        "faults": dict(record.faults),
        "received": dict(received),
        "cut off at instances": len(judge_cuts(sent)),
        "promises": {
            name: {"checked": record.checked[name], "violated": violated[name]}
            for name in PROMISES
        },
    }
    click.echo(json.dumps(report, indent=2) if as_json else _table(report))
    for one in record.violations:
        click.echo(f"VIOLATED {one.promise}: {one.detail}", err=True)
    sys.exit(1 if record.violations else 0)


def _table(report):
    lines = [f"seed {report['seed']}, {report['minutes']} minutes"]
    for title in ("faults", "received"):
        found = sorted(report[title].items())
        lines.append(f"{title}: " + ", ".join(f"{k} {n}" for k, n in found))
    lines.append(f"{'promise':34}{'checked':>10}{'violated':>10}")
    for name, one in report["promises"].items():
        lines.append(f"{name:34}{one['checked']:10}{one['violated']:10}")
    return "\n".join(lines)


if __name__ == "__main__":
    main()
