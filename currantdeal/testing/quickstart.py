"""Demonstrates the system from start to end with real processes on loopback.

``bin/quickstart`` runs it: it starts instances in three regions, engines and
a plain service, then sends the requests of a caller and of an operator, and
checks the result of each step.
"""

import signal
import sys
import tempfile
import threading
from pathlib import Path

import click
import msgspec

from currantdeal.adapters.settings import TimingSettings
from currantdeal.testing.caller import MODEL, CallerClient
from currantdeal.testing.cluster import Cluster
from currantdeal.testing.engine_messages import EventKind
from currantdeal.testing.load import (
    BackgroundCallers,
    EntriesCache,
    Result,
)
from currantdeal.testing.output import expected_output
from currantdeal.testing.processes import ChildProcess
from currantdeal.testing.progress import StepFailedError, Steps, check
from currantdeal.testing.shapes import (
    CALLER_KEY,
    OPERATOR_KEY,
    ClusterShape,
    spread,
)
from currantdeal.testing.waiting import wait_until

INSTANCES = 3
ENTRIES_KEEP_S = 2.0
CHAT_TOKENS = 40
REQUESTS_AFTER_WITHDRAWAL = 6
CALLS_UNDER_LOAD = 12


class Quickstart:
    """The steps of the demonstration, on one cluster.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, logs and data.
    """

    def __init__(self, *, folder):
        """Reserve addresses; ``run`` executes the steps."""
        self._folder = folder
        self._steps = Steps()
        self._cluster = Cluster(
            folder=folder,
            shape=ClusterShape(
                instances=spread(INSTANCES),
                timing=TimingSettings(entries_keep_s=ENTRIES_KEEP_S),
            ),
        )

    @property
    def cluster(self):
        """Cluster with all instances and upstreams."""
        return self._cluster

    def run(self):
        """Run every step.

        Raises
        ------
        StepFailedError
            If a step failed; the error names it.
        """
        self._start_instances()
        self._start_upstreams()
        self._apply_selector()
        self._ask_entries()
        self._stream_chat()
        self._order_twice()
        self._browse_menu()
        self._withdraw()
        self._drain_under_load()

    def _start_instances(self):
        with self._steps.step(
            "start three instances in three regions"
        ) as report:
            self._cluster.start()
            self._cluster.wait_ready()
            for instance in self._cluster.instances.values():
                region = instance.settings.region
                report(f"{instance.name} in {region}: {instance.address}")

    def _start_upstreams(self):
        places = spread(3)
        with self._steps.step("start engines and a plain service") as report:
            for number in (1, 2):
                place = places[number - 1]
                for role in ("prefill", "decode"):
                    self._cluster.add_engine(
                        f"{role}-{number}", roles=(role,), place=place
                    )
            self._cluster.add_service("shop-1", place=places[0])
            self._cluster.wait_upstreams()
            for name, stand_in in self._cluster.stand_ins.items():
                report(f"{name} on {stand_in.client.address} is announced")

    def _apply_selector(self):
        with self._steps.step(
            "admit every upstream with a selector"
        ) as report:
            report(
                self._run_command("selectors", "apply", "everything", "--wait")
            )

    def _ask_entries(self):
        with self._steps.step("ask which addresses to use") as report:
            found = wait_until(self._all_entries, what="all entries")
            for entry in found.entries:
                report(f"{entry.address} in {entry.region}")
            report(f"callers may cache this for {found.keep_s:g} s")

    def _stream_chat(self):
        with self._steps.step("stream a chat completion") as report:
            content = f"write a wish for a cake tokens={CHAT_TOKENS}"
            body = msgspec.json.encode(
                {
                    "model": MODEL,
                    "messages": [{"role": "user", "content": content}],
                    "stream": True,
                }
            )
            stream = self._caller(0).post_stream("/v1/chat/completions", body)
            found = stream.read()
            expected = expected_output(f"user: {content}", CHAT_TOKENS)
            check(found.text == expected, f"unexpected answer: {found.text!r}")
            report(f"{len(stream.texts)} pieces: {found.text[:40]}...")

    def _order_twice(self):
        with self._steps.step(
            "send an order twice with one idempotency key"
        ) as report:
            body = b'{"cake": "tarta de Santiago", "for": "Saturday"}'
            first = self._caller(0).order("order-1", body)
            second = self._caller(1).order("order-1", body)
            report(f"first answer: {first.status} {first.body.decode()}")
            report(f"second answer: {second.status} {second.body.decode()}")
            check(first.status == 201, "the order was not accepted")
            check(first == second, "the answers differ")
            runs = self._cluster.stand_in("shop-1").client.runs()
            ran = [run for run in runs if run.key == "order-1"]
            check(len(ran) == 1, f"the order ran {len(ran)} times")
            report("the shop ran it once")

    def _browse_menu(self):
        with self._steps.step("browse the menu") as report:
            answer = self._caller(2).call("GET", "/services/shop/menu")
            check(answer.status == 200, f"status {answer.status}")
            report(answer.body.decode())

    def _withdraw(self):
        with self._steps.step("withdraw an engine by label") as report:
            report(
                self._run_command(
                    "upstreams", "withdraw", "prefill-1", "--wait"
                )
            )
            before = self._prefill_count("prefill-1")
            for number in range(REQUESTS_AFTER_WITHDRAWAL):
                prompt = f"after the withdrawal {number} tokens=4"
                answer = self._caller(number).complete(prompt)
                check(answer.status == 200, answer.body.decode())
            after = self._prefill_count("prefill-1")
            check(before == after, "the withdrawn engine received work")
            report(
                f"{REQUESTS_AFTER_WITHDRAWAL} requests later it has "
                "received no new work"
            )

    def _drain_under_load(self):
        with self._steps.step("drain an instance under load") as report:
            cache = EntriesCache(addresses=self._cluster.caller_addresses)
            callers = BackgroundCallers(pick_client=cache.pick_client)
            callers.start()
            drained = list(self._cluster.instances.values())[2]
            wait_until(lambda: len(callers.records) > 3, what="load")
            report(self._run_command("drain", drained.name))
            code = drained.process.wait(limit_s=60.0)
            seen_count = len(callers.records)
            wait_until(
                lambda: len(callers.records) >= seen_count + CALLS_UNDER_LOAD,
                what="load after the drain",
            )
            records = callers.stop()
            report(f"{drained.name} ended with exit code {code}")
            report(f"{len(records)} streams: {_counts(callers)}")
            check(code == 0, f"exit code {code}")
            failed = [each for each in records if each.result != Result.WHOLE]
            check(not failed, f"not whole: {failed[:3]}")

    def _caller(self, index):
        address = self._cluster.caller_addresses[index % INSTANCES]
        return CallerClient(address=address)

    def _all_entries(self):
        found = self._caller(0).entries()
        return found if len(found.entries) == INSTANCES else None

    def _prefill_count(self, name):
        events = self._cluster.stand_in(name).client.events()
        return sum(event.kind is EventKind.PREFILL for event in events)

    def _run_command(self, *arguments):
        addresses = [
            part
            for address in self._cluster.caller_addresses
            for part in ("--address", address)
        ]
        log = self._folder / "operator.log"
        process = ChildProcess(
            arguments=["-m", "currantdeal.cli.main", *arguments, *addresses],
            log_path=log,
            environment={"CURRANTDEAL_OPERATOR_KEY": OPERATOR_KEY},
        )
        output = process.read_output()
        code = process.wait()
        command = "currantdeal " + " ".join(arguments)
        check(code == 0, f"{command}: exit code {code}\n{process.log}")
        return f"{command}: {output.strip()}"


@click.command()
@click.option(
    "--keep", is_flag=True, help="Keep everything running until Ctrl-C."
)
def main(keep):
    """Run the demonstration; on failure exit with 1 and name the step."""
    # Without this handler SIGTERM would end this process only, and leave the
    # processes that it started running.
    signal.signal(signal.SIGTERM, _raise_interrupt)
    with tempfile.TemporaryDirectory(prefix="currantdeal-") as folder:
        quickstart = Quickstart(folder=Path(folder))
        with quickstart.cluster:
            try:
                quickstart.run()
            except StepFailedError as exc:
                click.echo(f"FAILED: {exc.step}: {exc}", err=True)
                sys.exit(1)
            click.echo("everything worked")
            if keep:
                _wait_for_interrupt(quickstart.cluster)


def _raise_interrupt(*_):
    raise KeyboardInterrupt


def _wait_for_interrupt(cluster):
    click.echo(f"instances: {' '.join(cluster.caller_addresses)}")
    click.echo(f"caller's key: {CALLER_KEY}")
    click.echo(f"operator's key: {OPERATOR_KEY}")
    click.echo("everything runs until Ctrl-C")
    try:
        threading.Event().wait()
    except KeyboardInterrupt:
        click.echo("stopping")


def _counts(callers):
    counts = callers.counts.items()
    return ", ".join(f"{number} {kind.value}" for kind, number in counts)


if __name__ == "__main__":
    main()
