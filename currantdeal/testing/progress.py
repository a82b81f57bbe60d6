"""Runs the steps of a demonstration and prints their progress.

Each step prints its name, its results and its duration; a failure names the
step.
"""

import contextlib
import threading
import time

import click

from currantdeal.core import CurrantdealError

ELAPSED_INTERVAL_S = 1.0


class StepFailedError(CurrantdealError):
    """A step of a demonstration failed.

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
    """Runs named steps and prints their results and durations."""

    def __init__(self):
        """Begin the numbering of steps."""
        self._count = 0

    @contextlib.contextmanager
    def step(self, name):
        """Run the ``with`` body as a step; yields a function that prints.

        Raises
        ------
        StepFailedError
            If the body raises ``CurrantdealError`` or ``AssertionError``.
        """
        self._count += 1
        click.echo(f"[{self._count}] {name}")
        started_s = time.monotonic()
        ended = threading.Event()
        threading.Thread(
            target=_print_elapsed, args=(ended, started_s), daemon=True
        ).start()
        try:
            yield _print_result
        except (CurrantdealError, AssertionError) as exc:
            raise StepFailedError(str(exc), step=name) from exc
        finally:
            ended.set()
        click.echo(f"    done in {time.monotonic() - started_s:.1f} s")


def check(condition, message):
    """Raise ``AssertionError`` with a message unless the condition holds."""
    if not condition:
        raise AssertionError(message)


def _print_result(text):
    click.echo(f"    {text}")


def _print_elapsed(ended, started_s):
    while not ended.wait(ELAPSED_INTERVAL_S):
        elapsed_s = time.monotonic() - started_s
        click.echo(f"    ... {elapsed_s:.0f} s", err=True)
