import asyncio
import os
import signal
import time

import pytest

from currantdeal.adapters.metrics import Metrics
from currantdeal.cli import process
from currantdeal.cli.process import (
    StopSignal,
    call_periodically,
    keep_running,
    report_unhandled_errors,
)

LIMIT_S = 30.0


async def _raise_in_time():
    raise UnicodeEncodeError("latin-1", "\ufffd", 0, 1, "no such byte")


def _raise_at_once():
    raise ZeroDivisionError


def _end_after_two(calls):
    """Cancel the running task at its third call."""
    if len(calls) > 2:
        raise asyncio.CancelledError


def _run_to_end(work):
    """Run a coroutine function until it is cancelled; fails if that lasts."""

    async def run():
        async with asyncio.timeout(LIMIT_S):
            await work()

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(run())


@pytest.mark.parametrize("action", [_raise_at_once, _raise_in_time])
def test_a_call_that_raises_does_not_end_its_process(action):
    """Guards against one bad record that ends a control process."""
    metrics = Metrics()
    calls = []

    def count():
        calls.append(1)
        _end_after_two(calls)
        return action()

    _run_to_end(lambda: call_periodically(0.01, count, metrics=metrics))
    assert b"currantdeal_task_failures_total" in metrics.render()[1]


def test_a_task_that_raises_is_started_again(monkeypatch):
    """Guards against one bad message that ends a process."""
    monkeypatch.setattr(process, "RESTART_PAUSE_S", 0.01)
    metrics = Metrics()
    starts = []

    async def work():
        starts.append(1)
        _end_after_two(starts)
        await _raise_in_time()

    _run_to_end(lambda: keep_running(work, metrics=metrics))
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


async def _sleep_for_ever():
    await asyncio.Event().wait()


def test_task_that_is_dropped_is_named():
    """Guards against a line that does not tell which task was dropped."""
    metrics = Metrics()

    async def run():
        report_unhandled_errors(metrics)
        task = asyncio.ensure_future(_sleep_for_ever())
        context = {"task": task, "message": "Task was destroyed"}
        asyncio.get_running_loop().call_exception_handler(context)
        task.cancel()

    asyncio.run(run())
    assert 'task="_sleep_for_ever"' in metrics.render()[1].decode()


def test_stop_counts_from_the_signal_and_not_from_its_handling():
    """Guards against a late loop that outlasts the grace of its process."""

    async def run():
        stop_signal = StopSignal()
        stop_signal.install()
        sent_s = asyncio.get_running_loop().time()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.3)
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(0.3)
        async with asyncio.timeout(LIMIT_S):
            await stop_signal.requested.wait()
        return stop_signal.at_s - sent_s

    assert asyncio.run(run()) < 0.2
