"""The main job from start to end, with real processes on loopback.

``bin/quickstart`` runs it: instances in three regions, engines and a plain
service; then what a caller and an operator do, each step checked.
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
    EntriesKeeper,
    Verdict,
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
    """The steps, over one cluster.

    Parameters
    ----------
    folder : Path
        Empty folder for settings, logs and data.
    """

    def __init__(self, *, folder):
        """Reserve addresses; ``run`` does the steps."""
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
        """What runs."""
        return self._cluster

    def run(self):
        """Do every step.

        Raises
        ------
        StepFailedError
            Naming the step that failed.
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
        with self._steps.step("start three instances in three regions") as say:
            self._cluster.start()
            self._cluster.wait_ready()
            for instance in self._cluster.instances.values():
                region = instance.settings.region
                say(f"{instance.name} in {region}: {instance.address}")

    def _start_upstreams(self):
        places = spread(3)
        with self._steps.step("start engines and a plain service") as say:
            for number in (1, 2):
                place = places[number - 1]
                for role in ("prefill", "decode"):
                    self._cluster.add_engine(
                        f"{role}-{number}", roles=(role,), place=place
                    )
            self._cluster.add_service("shop-1", place=places[0])
            self._cluster.wait_upstreams()
            for name, stand_in in self._cluster.stand_ins.items():
                say(f"{name} on {stand_in.client.address} is announced")

    def _apply_selector(self):
        with self._steps.step(
            "let every upstream serve, by a selector"
        ) as say:
            say(self._operate("selectors", "apply", "everything", "--wait"))

    def _ask_entries(self):
        with self._steps.step("ask which addresses to use") as say:
            found = wait_until(self._all_entries, what="all entries")
            for entry in found.entries:
                say(f"{entry.address} in {entry.region}")
            say(f"this may be kept for {found.keep_s:g} s")

    def _stream_chat(self):
        with self._steps.step("stream a chat completion") as say:
            content = f"write a wish for a cake tokens={CHAT_TOKENS}"
            body = msgspec.json.encode(
                {
                    "model": MODEL,
                    "messages": [{"role": "user", "content": content}],
                    "stream": True,
                }
            )
            stream = self._caller(0).open_stream_of(
                "/v1/chat/completions", body
            )
            found = stream.read()
            expected = expected_output(f"user: {content}", CHAT_TOKENS)
            check(found.text == expected, f"not the answer: {found.text!r}")
            say(f"{len(stream.texts)} pieces: {found.text[:40]}...")

    def _order_twice(self):
        with self._steps.step("order twice under one key") as say:
            body = b'{"cake": "tarta de Santiago", "for": "Saturday"}'
            first = self._caller(0).order("order-1", body)
            second = self._caller(1).order("order-1", body)
            say(f"first answer: {first.status} {first.body.decode()}")
            say(f"second answer: {second.status} {second.body.decode()}")
            check(first.status == 201, "the order was not taken")
            check(first == second, "the answers differ")
            runs = self._cluster.stand_in("shop-1").client.runs()
            ran = [run for run in runs if run.key == "order-1"]
            check(len(ran) == 1, f"the order ran {len(ran)} times")
            say("the shop ran it once")

    def _browse_menu(self):
        with self._steps.step("browse the menu") as say:
            answer = self._caller(2).call("GET", "/services/shop/menu")
            check(answer.status == 200, f"status {answer.status}")
            say(answer.body.decode())

    def _withdraw(self):
        with self._steps.step("withdraw an engine by label") as say:
            say(self._operate("upstreams", "withdraw", "prefill-1", "--wait"))
            before = self._prefills("prefill-1")
            for number in range(REQUESTS_AFTER_WITHDRAWAL):
                prompt = f"after the withdrawal {number} tokens=4"
                answer = self._caller(number).complete(prompt)
                check(answer.status == 200, answer.body.decode())
            after = self._prefills("prefill-1")
            check(before == after, "the withdrawn engine got work")
            say(
                f"{REQUESTS_AFTER_WITHDRAWAL} requests later it has "
                "got no new work"
            )

    def _drain_under_load(self):
        with self._steps.step("drain an instance under load") as say:
            keeper = EntriesKeeper(addresses=self._cluster.caller_addresses)
            callers = BackgroundCallers(pick=keeper.pick)
            callers.start()
            drained = list(self._cluster.instances.values())[2]
            wait_until(lambda: len(callers.received) > 3, what="load")
            say(self._operate("drain", drained.name))
            code = drained.process.wait(limit_s=60.0)
            seen = len(callers.received)
            wait_until(
                lambda: len(callers.received) >= seen + CALLS_UNDER_LOAD,
                what="load after the drain",
            )
            received = callers.stop()
            say(f"{drained.name} ended with exit code {code}")
            say(f"{len(received)} streams: {_counts(callers)}")
            check(code == 0, f"exit code {code}")
            bad = [one for one in received if one.verdict != Verdict.WHOLE]
            check(not bad, f"not whole: {bad[:3]}")

    def _caller(self, index):
        address = self._cluster.caller_addresses[index % INSTANCES]
        return CallerClient(address=address)

    def _all_entries(self):
        found = self._caller(0).entries()
        return found if len(found.entries) == INSTANCES else None

    def _prefills(self, name):
        events = self._cluster.stand_in(name).client.events()
        return sum(event.kind is EventKind.PREFILL for event in events)

    def _operate(self, *arguments):
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
@click.option("--keep", is_flag=True, help="Leave everything running.")
def main(keep):
    """Run the main job; exit non-zero naming the step that failed."""
    # Without this SIGTERM would end this process alone, and leave the ones
    # it started running for good.
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
                _keep_up(quickstart.cluster)


def _raise_interrupt(*_):
    raise KeyboardInterrupt


def _keep_up(cluster):
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
