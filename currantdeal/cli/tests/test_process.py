import asyncio
import contextlib

import pytest

from currantdeal.adapters.metrics import Metrics
from currantdeal.cli import process
from currantdeal.cli.process import (
    call_periodically,
    keep_running,
    report_unhandled_errors,
)


async def _raise_in_time():
    raise UnicodeEncodeError("latin-1", "\ufffd", 0, 1, "no such byte")


def _raise_at_once():
    raise ZeroDivisionError


@pytest.mark.parametrize("action", [_raise_at_once, _raise_in_time])
def test_a_call_that_raises_does_not_end_its_process(action):
    """Guards against one bad record that ends a control process."""
    metrics = Metrics()
    calls = []

    def count():
        calls.append(1)
        return action()

    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await call_periodically(0.01, count, metrics=metrics)

    asyncio.run(run())
    assert len(calls) > 1
    assert b"currantdeal_task_failures_total" in metrics.render()[1]


def test_a_task_that_raises_is_started_again(monkeypatch):
    """Guards against one bad message that ends a process."""
    monkeypatch.setattr(process, "RESTART_PAUSE_S", 0.01)
    metrics = Metrics()
    starts = []

    async def work():
        starts.append(1)
        await _raise_in_time()

    async def run():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await keep_running(work, metrics=metrics)

    asyncio.run(run())
    assert len(starts) > 1
    assert b"currantdeal_task_failures_total" in metrics.render()[1]


def test_an_error_that_nobody_waits_for_is_counted():
    """Guards against errors that no log line or metric tells of."""
    metrics = Metrics()

    async def run():
        report_unhandled_errors(metrics)
        loop = asyncio.get_running_loop()
        task = asyncio.ensure_future(_raise_in_time())
        loop.call_soon(_raise_at_once)
        await asyncio.sleep(0.01)
        del task

    asyncio.run(run())
    text = metrics.render()[1].decode()
    for part in ("_raise_in_time", "callback"):
        line = f'currantdeal_task_failures_total{{task="{part}"}} 1'
        assert line in text
