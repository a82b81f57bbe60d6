"""Runs an example deployment on one machine, with stand-ins as upstreams.

``bin/run-example NAME`` starts the eight instances with their settings and
the upstreams, which announce themselves, then applies the selectors and
sends a completion and an order through each instance.
"""

import contextlib
import os
import sys
import tempfile
from pathlib import Path

import click

from currantdeal.testing.caller import CallerClient
from currantdeal.testing.examples import (
    USERS,
    example_key,
    instance_shapes,
    selectors_of,
    settings_of,
    upstreams_of,
)
from currantdeal.testing.instance import Instance
from currantdeal.testing.output import expected_output
from currantdeal.testing.processes import ROOT, ChildProcess
from currantdeal.testing.progress import StepFailedError, Steps, check
from currantdeal.testing.shapes import SERVE_COMMAND
from currantdeal.testing.waiting import wait_until

PROMPT = "a summary tokens=20"
TOKENS = 20


class ExampleRun:
    """Runs the deployment of one user as processes on this machine.

    Parameters
    ----------
    user : User
        User whose deployment is run.
    folder : Path
        Empty folder for data and logs.
    """

    def __init__(self, *, user, folder):
        """Start no process before ``run``."""
        self._user = user
        self._folder = folder
        self._steps = Steps()
        self._cleanup = contextlib.ExitStack()
        self._instances = []

    def close(self):
        """End every process."""
        self._cleanup.close()

    def run(self):
        """Run every step.

        Raises
        ------
        StepFailedError
            If a step failed.
        """
        with self._steps.step("start eight instances from their files"):
            self._start_instances()
        with self._steps.step("start the upstreams"):
            for upstream in upstreams_of(self._user):
                self._start_upstream(upstream)
            wait_until(self._all_upstreams_listed, what="listed upstreams")
        with self._steps.step("apply the selectors") as report:
            for selector in selectors_of(self._user):
                report(self._apply_selector(selector.name))
        with self._steps.step("send work through each instance") as report:
            for instance in self._instances:
                self._send_work(instance)
                report(f"{instance.name} answered a completion and an order")

    def _start_instances(self):
        os.chdir(self._folder)
        for shape in instance_shapes(self._user):
            folder = self._folder / shape.name
            folder.mkdir()
            instance = Instance(
                settings=settings_of(self._user, shape),
                folder=folder,
                command=SERVE_COMMAND,
                key=example_key(self._user, "operators"),
            )
            self._instances.append(instance)
            instance.start()
            self._cleanup.callback(instance.kill)
        for instance in self._instances:
            instance.wait_ready()

    def _start_upstream(self, upstream):
        kind = upstream.kind.value
        arguments = ["-m", f"currantdeal.testing.{kind}"]
        target = "--model" if kind == "engine" else "--service"
        arguments += ["--id", upstream.upstream_id, target]
        arguments += [upstream.targets[0], "--address", upstream.address]
        arguments += ["--region", upstream.region]
        arguments += ["--data-center", upstream.data_center]
        arguments += ["--key", example_key(self._user, "upstreams")]
        for label in upstream.labels:
            arguments += ["--label", f"{label.name}={label.value}"]
        if kind == "engine":
            arguments += ["--role", upstream.roles[0].value]
        for instance in self._instances:
            arguments += ["--instance", instance.address]
        process = ChildProcess(
            arguments=arguments,
            log_path=self._folder / f"{upstream.upstream_id}.log",
        )
        self._cleanup.callback(process.kill)
        process.read_address()

    def _all_upstreams_listed(self):
        expected = len(upstreams_of(self._user))
        return all(
            len(instance.operator("/operator/upstreams")["upstreams"])
            == expected
            for instance in self._instances
        )

    def _apply_selector(self, name):
        path = ROOT / "examples" / self._user.name / "selectors"
        process = ChildProcess(
            arguments=[
                *("-m", "currantdeal.cli.main", "selectors", "apply", name),
                *("--file", str(path / f"{name}.json"), "--wait"),
                *("--address", self._instances[0].address),
            ],
            log_path=self._folder / "operator.log",
            environment={
                "CURRANTDEAL_OPERATOR_KEY": example_key(
                    self._user, "operators"
                )
            },
        )
        output = process.read_output().strip()
        check(process.wait() == 0, f"{output}\n{process.log}")
        return f"{name}: {output}"

    def _send_work(self, instance):
        caller = CallerClient(
            address=instance.address,
            key=example_key(self._user, self._user.callers[0]),
            model=self._user.model,
        )
        found = caller.stream(PROMPT)
        check(
            found.text == expected_output(PROMPT, TOKENS),
            f"{instance.name}: {found}",
        )
        answer = caller.order(instance.name, b"{}", service=self._user.service)
        check(answer.status == 201, f"{instance.name}: {answer}")


@click.command()
@click.argument("name", type=click.Choice([user.name for user in USERS]))
def main(name):
    """Run an example deployment on this machine."""
    user = next(user for user in USERS if user.name == name)
    with tempfile.TemporaryDirectory(prefix="currantdeal-") as folder:
        run = ExampleRun(user=user, folder=Path(folder))
        try:
            run.run()
        except StepFailedError as exc:
            click.echo(f"FAILED: {exc.step}: {exc}", err=True)
            sys.exit(1)
        finally:
            run.close()
    click.echo("everything worked")


if __name__ == "__main__":
    main()
