"""Steps of a demonstration: each with its time, its result, its failure."""

import contextlib
import threading
import time

import click

from currantdeal.core import CurrantdealError

TICK_S = 1.0


class StepFailedError(CurrantdealError):
    """A step did not bring what it has to bring.

    Parameters
    ----------
    step : str
        Name of the step.
    """

    def __init__(self, message, *, step):
        """Keep the message and the step."""
        super().__init__(message)
        self.step = step


class Steps:
    """Runs named steps and prints what each one got."""

    def __init__(self):
        """Count from one."""
        self._count = 0

    @contextlib.contextmanager
    def step(self, name):
        """Run the body as one step; it is given a function that prints.

        Raises
        ------
        StepFailedError
            If the body raises an error of the project or an assertion.
        """
        self._count += 1
        click.echo(f"[{self._count}] {name}")
        started_s = time.monotonic()
        done = threading.Event()
        threading.Thread(
            target=_tick, args=(done, started_s), daemon=True
        ).start()
        try:
            yield _say
        except (CurrantdealError, AssertionError) as exc:
            raise StepFailedError(str(exc), step=name) from exc
        finally:
            done.set()
        click.echo(f"    done in {time.monotonic() - started_s:.1f} s")


def check(condition, message):
    """Raise ``AssertionError`` with a message unless a condition holds."""
    if not condition:
        raise AssertionError(message)


def _say(text):
    click.echo(f"    {text}")


def _tick(done, started_s):
    while not done.wait(TICK_S):
        elapsed_s = time.monotonic() - started_s
        click.echo(f"    ... {elapsed_s:.0f} s", err=True)
